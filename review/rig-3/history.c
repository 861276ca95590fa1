// Pages of owner keys: old ones, which are generated, merged with those of the store.
#include "history.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum {
	PAGE_ITEMS = 500, ///< PROTOCOL.md, the platform's metadata store
	ANSWER_MS = 4, ///< the sheets: "4 ms an answer"
	ITEM_BYTES = 512,
	STORE_KEYS_MAX = 64,
	KEY_BYTES = 64,
	BODY_SLACK_BYTES = 65536,
};

static struct rig *rig;
static int count;
/* {"node":"n0","run":"8335b253aa2438d9","team":"t0","ended":false,"over":true,"total":12,"at_ms":1} */
static const char old_value[] =
	"eyJub2RlIjoibjAiLCJydW4iOiI4MzM1YjI1M2FhMjQzOGQ5IiwidGVhbSI6InQwIiwi"
	"ZW5kZWQiOmZhbHNlLCJvdmVyIjp0cnVlLCJ0b3RhbCI6MTIsImF0X21zIjoxfQ==";

void history_init(struct rig *r, int n)
{
	rig = r;
	count = n;
}

int history_count(void)
{
	return count;
}

static void old_key(int i, char key[KEY_BYTES])
{
	snprintf(key, KEY_BYTES, "catkin/run/%016llx",
		 (unsigned long long)i << 32);
}

/* First old key after a key. */
static int first_after(const char *after)
{
	int low = 0;
	int high = count;

	while (low < high) {
		int mid = low + (high - low) / 2;
		char key[KEY_BYTES];

		old_key(mid, key);
		if (strcmp(key, after) > 0)
			high = mid;
		else
			low = mid + 1;
	}
	return low;
}

struct store_key {
	char key[KEY_BYTES];
	char value[ITEM_BYTES];
	unsigned long long rev;
};

static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const struct store_key *)a)->key,
		      ((const struct store_key *)b)->key);
}

/* Owner keys of the store after a key, sorted. */
static int store_keys(const char *after, struct store_key *out)
{
	int n = 0;

	pthread_mutex_lock(&rig->h.lock);
	for (size_t i = 0; i < rig->h.kv.n && n < STORE_KEYS_MAX; i++) {
		const struct kv_entry *e = &rig->h.kv.entries[i];

		if (!e->value || strncmp(e->key, "catkin/run/", 11) != 0 ||
		    strcmp(e->key, after) <= 0)
			continue;
		snprintf(out[n].key, sizeof(out[n].key), "%s", e->key);
		snprintf(out[n].value, sizeof(out[n].value), "%s", e->value);
		out[n++].rev = e->rev;
	}
	pthread_mutex_unlock(&rig->h.lock);
	qsort(out, (size_t)n, sizeof(*out), compare_keys);
	return n;
}

static int put_item(char *to, bool first, const char *key, const char *value,
		    unsigned long long rev)
{
	return snprintf(to, ITEM_BYTES * 2,
			"%s{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%llu,"
			"\"created\":%llu,\"lease\":0}",
			first ? "" : ",", key, value, rev, rev);
}

/* @return bytes of the page's body */
static int make_page(char *body, const char *after)
{
	static const int max = PAGE_ITEMS;
	struct store_key *own = calloc(STORE_KEYS_MAX, sizeof(*own));
	int n_own = store_keys(after, own);
	int i = first_after(after);
	int k = 0;
	int n = 0;
	int len = snprintf(body, ITEM_BYTES, "{\"items\":[");

	for (; n < max && (i < count || k < n_own); n++) {
		char key[KEY_BYTES] = "";

		if (i < count)
			old_key(i, key);
		if (k < n_own && (!*key || strcmp(own[k].key, key) < 0)) {
			len += put_item(body + len, !n, own[k].key,
					own[k].value, own[k].rev);
			k++;
		} else {
			len += put_item(body + len, !n, key, old_value, 1);
			i++;
		}
	}
	len += snprintf(body + len, ITEM_BYTES,
			"],\"has_more\":%s,\"at\":%llu}",
			i < count || k < n_own ? "true" : "false",
			(unsigned long long)rig->h.kv.rev);
	free(own);
	return len;
}

/* The key after which the page begins, with its escapes undone. */
static void after_of(const char *request, char after[KEY_BYTES])
{
	const char *p = strstr(request, "&after=");
	int n = 0;

	for (p = p ? p + 7 : "";
	     *p && *p != ' ' && *p != '&' && n < KEY_BYTES - 1; p++) {
		if (strncasecmp(p, "%2F", 3) == 0) {
			after[n++] = '/';
			p += 2;
		} else {
			after[n++] = *p;
		}
	}
	after[n] = '\0';
}

bool history_answer(int fd, const char *request)
{
	char *body = malloc((size_t)PAGE_ITEMS * ITEM_BYTES + BODY_SLACK_BYTES);
	char after[KEY_BYTES];
	char head[128];
	int len, head_len;
	bool ok;

	after_of(request, after);
	rig_sleep_ms(ANSWER_MS);
	len = make_page(body, after);
	head_len = snprintf(head, sizeof(head),
			    "HTTP/1.1 200 OK\r\nContent-Type: "
			    "application/json\r\nContent-Length: %d\r\n\r\n",
			    len);
	ok = send(fd, head, (size_t)head_len, MSG_NOSIGNAL | MSG_MORE) ==
	     head_len;
	for (int sent = 0; ok && sent < len;) {
		ssize_t n = send(fd, body + sent, (size_t)(len - sent),
				 MSG_NOSIGNAL);

		ok = n > 0;
		sent += ok ? (int)n : 0;
	}
	free(body);
	return ok;
}
