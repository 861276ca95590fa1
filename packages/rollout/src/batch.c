// Slot names, slot seeds and prompt prefix hashes.
#include "rollout/batch.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
	BATCH_PREFIX_TOKENS = 256,
};

static const uint64_t batch_seed_mask = (1ull << 53) - 1;

void batch_free(struct batch *b)
{
	if (!b)
		return;
	for (size_t i = 0; i < b->n_groups; i++)
		free(b->groups[i].prompt);
	free(b->groups);
	free(b);
}

int batch_name_is_valid(const char *name)
{
	size_t n = name ? strlen(name) : 0;

	if (n == 0 || n >= BATCH_NAME_SIZE)
		return 0;
	for (size_t i = 0; i < n; i++) {
		if (!isalnum((unsigned char)name[i]) &&
		    !strchr("._-:", name[i]))
			return 0;
	}
	return 1;
}

const struct batch_group *batch_group_of(const struct batch *b, size_t slot)
{
	size_t lo = 0;
	size_t hi = b->n_groups;

	while (hi - lo > 1) {
		size_t mid = (lo + hi) / 2;

		if (b->groups[mid].first <= slot)
			lo = mid;
		else
			hi = mid;
	}
	return &b->groups[lo];
}

void batch_slot_name(const struct batch *b, size_t slot, char *buf)
{
	const struct batch_group *g = batch_group_of(b, slot);

	snprintf(buf, BATCH_SLOT_NAME_SIZE, "%s/%u", g->name,
		 (unsigned int)(slot - g->first));
}

static const struct batch_group *batch_group_find(const struct batch *b,
						  const char *name, size_t len)
{
	for (size_t i = 0; i < b->n_groups; i++) {
		if (strlen(b->groups[i].name) == len &&
		    memcmp(b->groups[i].name, name, len) == 0)
			return &b->groups[i];
	}
	return NULL;
}

enum err batch_slot_find(const struct batch *b, const char *name, size_t *slot)
{
	const char *slash = strrchr(name, '/');
	const struct batch_group *g;
	unsigned long i;
	char *end;

	if (!slash || !isdigit((unsigned char)slash[1]))
		return ERR_NOT_FOUND;
	g = batch_group_find(b, name, (size_t)(slash - name));
	i = strtoul(slash + 1, &end, 10);
	if (!g || *end != '\0' || i >= g->n)
		return ERR_NOT_FOUND;
	*slot = g->first + i;
	return ERR_OK;
}

uint64_t batch_slot_seed(const struct batch *b, size_t slot)
{
	char text[BATCH_NAME_SIZE + BATCH_SLOT_NAME_SIZE + 1];
	char name[BATCH_SLOT_NAME_SIZE];
	int n;

	batch_slot_name(b, slot, name);
	n = snprintf(text, sizeof(text), "%s/%s", b->id, name);
	return XXH64(text, (size_t)n, 0) & batch_seed_mask;
}

uint64_t batch_prefix_hash(const uint32_t *prompt, size_t n)
{
	if (n > BATCH_PREFIX_TOKENS)
		n = BATCH_PREFIX_TOKENS;
	return XXH64(prompt, n * sizeof(*prompt), 0);
}
