// Small table; a new entry replaces the first to expire.
#include "relay/avoid.h"

#include <string.h>

static int find(const struct avoid *a, const char *node)
{
	for (int i = 0; i < a->n; i++) {
		if (strcmp(a->list[i].node, node) == 0)
			return i;
	}
	return -1;
}

static int first_to_end(const struct avoid *a)
{
	int at = 0;

	for (int i = 1; i < a->n; i++) {
		if (a->list[i].until_ms < a->list[at].until_ms)
			at = i;
	}
	return at;
}

void avoid_add(struct avoid *a, const char *node, int64_t until_ms)
{
	int at = find(a, node);

	if (at < 0)
		at = a->n < AVOID_NODES ? a->n++ : first_to_end(a);
	memset(a->list[at].node, 0, AVOID_NODE);
	strncpy(a->list[at].node, node, AVOID_NODE - 1);
	a->list[at].until_ms = until_ms;
}

bool avoid_has(const struct avoid *a, const char *node, int64_t now)
{
	int at = find(a, node);

	return at >= 0 && now < a->list[at].until_ms;
}
