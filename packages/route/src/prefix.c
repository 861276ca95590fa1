// Which servers are believed to hold which prefixes.
#include "prefix.h"

enum {
	PREFIX_BUCKET = 4, ///< entries looked at for a prefix
};

static struct prefix_entry *bucket(struct prefix_entry *table, uint64_t prefix)
{
	size_t at = prefix * 0x9e3779b97f4a7c15u >> 32;

	return &table[at & (ROUTE_PREFIXES - PREFIX_BUCKET)];
}

static int64_t entry_at(const struct prefix_entry *e)
{
	int64_t at = e->at_ms[0];

	for (int i = 1; i < ROUTE_HOLDERS; i++)
		at = e->at_ms[i] > at ? e->at_ms[i] : at;
	return e->prefix ? at : INT64_MIN;
}

const struct prefix_entry *prefix_find(const struct prefix_entry *table,
				       uint64_t prefix)
{
	const struct prefix_entry *b =
		bucket((struct prefix_entry *)table, prefix);

	for (int i = 0; i < PREFIX_BUCKET; i++) {
		if (b[i].prefix == prefix)
			return &b[i];
	}
	return NULL;
}

static struct prefix_entry *entry_take(struct prefix_entry *table,
				       uint64_t prefix)
{
	struct prefix_entry *b = bucket(table, prefix);
	struct prefix_entry *oldest = b;

	for (int i = 0; i < PREFIX_BUCKET; i++) {
		if (b[i].prefix == prefix)
			return &b[i];
		if (entry_at(&b[i]) < entry_at(oldest))
			oldest = &b[i];
	}
	*oldest = (struct prefix_entry){.prefix = prefix};
	for (int i = 0; i < ROUTE_HOLDERS; i++)
		oldest->server[i] = ROUTE_NONE;
	return oldest;
}

void prefix_add(struct prefix_entry *table, uint64_t prefix, int server,
		int64_t now)
{
	struct prefix_entry *e = entry_take(table, prefix);
	int at = 0;

	for (int i = 0; i < ROUTE_HOLDERS; i++) {
		if (e->server[i] == server) {
			at = i;
			break;
		}
		if (e->server[i] == ROUTE_NONE || e->at_ms[i] < e->at_ms[at])
			at = i;
	}
	e->server[at] = (int16_t)server;
	e->at_ms[at] = now;
}

void prefix_drop(struct prefix_entry *table, uint64_t prefix, int server)
{
	struct prefix_entry *e =
		(struct prefix_entry *)prefix_find(table, prefix);

	for (int i = 0; e && i < ROUTE_HOLDERS; i++) {
		if (e->server[i] == server)
			e->server[i] = ROUTE_NONE;
	}
}
