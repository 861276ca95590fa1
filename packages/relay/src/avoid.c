// Small table; a new entry replaces the first to expire.
#include "relay/avoid.h"

#include <string.h>

static int find(const struct avoid *a, const char *node)
{
	for (int i = 0; i < a->n; i++) {
		if (strcmp(a->entries[i].node, node) == 0)
			return i;
	}
	return -1;
}

static int first_to_expire(const struct avoid *a)
{
	int first = 0;

	for (int i = 1; i < a->n; i++) {
		if (a->entries[i].until_ms < a->entries[first].until_ms)
			first = i;
	}
	return first;
}

void avoid_add(struct avoid *a, const char *node, int64_t until_ms)
{
	int i = find(a, node);

	if (i < 0)
		i = a->n < AVOID_ENTRIES_MAX ? a->n++ : first_to_expire(a);
	memset(a->entries[i].node, 0, AVOID_ID_MAX);
	strncpy(a->entries[i].node, node, AVOID_ID_MAX - 1);
	a->entries[i].until_ms = until_ms;
}

bool avoid_has(const struct avoid *a, const char *node, int64_t now)
{
	int i = find(a, node);

	return i >= 0 && now < a->entries[i].until_ms;
}
