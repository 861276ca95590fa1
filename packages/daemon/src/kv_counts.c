// Counts store calls, one row per operation and key prefix.
#include "kv_counts.h"

#include <stdio.h>
#include <string.h>

static const char *const op_names[KV_OP_COUNT] = {
	[KV_GET] = "get",     [KV_LIST] = "list",     [KV_PUT] = "put",
	[KV_DEL] = "del",     [KV_WATCH] = "watch",   [KV_GRANT] = "grant",
	[KV_RENEW] = "renew", [KV_REVOKE] = "revoke",
};

/* Up to the second slash for keys below catkin/, to the first for others. */
static void key_prefix(const char *key, char out[KV_COUNTS_PREFIX_SIZE])
{
	size_t len = key ? strcspn(key, "/") : 0;

	if (key && key[len] && strncmp(key, "catkin/", len + 1) == 0)
		len += 1 + strcspn(key + len + 1, "/");
	snprintf(out, KV_COUNTS_PREFIX_SIZE, "%.*s", (int)len, key ? key : "");
}

static int find_row(struct kv_counts *counts, enum kv_op op, const char *prefix)
{
	int i = 0;

	while (i < counts->n && (counts->rows[i].op != op ||
				 strcmp(counts->rows[i].prefix, prefix) != 0))
		i++;
	if (i < counts->n)
		return i;
	if (counts->n >= KV_COUNTS_ROWS_MAX - KV_OP_COUNT &&
	    strcmp(prefix, "other") != 0)
		return find_row(counts, op, "other");
	counts->rows[counts->n].op = op;
	counts->rows[counts->n].n = 0;
	snprintf(counts->rows[counts->n].prefix, KV_COUNTS_PREFIX_SIZE, "%s",
		 prefix);
	return counts->n++;
}

void kv_counts_add(struct kv_counts *counts, enum kv_op op, const char *key)
{
	char prefix[KV_COUNTS_PREFIX_SIZE];

	key_prefix(key, prefix);
	counts->rows[find_row(counts, op, prefix)].n++;
}

uint64_t kv_counts_sum(const struct kv_counts *counts, enum kv_op op)
{
	uint64_t n = 0;

	for (int i = 0; i < counts->n; i++)
		n += counts->rows[i].op == op ? counts->rows[i].n : 0;
	return n;
}

void kv_counts_format(const struct kv_counts *counts,
		      char text[KV_COUNTS_TEXT_SIZE])
{
	size_t used = 0;

	text[0] = '\0';
	for (int i = 0; i < counts->n; i++) {
		char row[2 * KV_COUNTS_PREFIX_SIZE + 32];
		int len = snprintf(
			row, sizeof(row), "%s%s:%s=%llu", used ? "," : "",
			op_names[counts->rows[i].op], counts->rows[i].prefix,
			(unsigned long long)counts->rows[i].n);

		if (used + (size_t)len >= KV_COUNTS_TEXT_SIZE)
			return;
		memcpy(text + used, row, (size_t)len + 1);
		used += (size_t)len;
	}
}
