// Table of the servers that probably cache a prefix.
#include "prefix.h"

enum {
	PREFIX_BUCKET = 4, ///< entries that may hold a prefix
};

static struct prefix_entry *prefix_bucket(struct prefix_entry *table,
					  uint64_t prefix)
{
	size_t hash = prefix * 0x9e3779b97f4a7c15u >> 32;

	return &table[hash & (ROUTE_PREFIX_ENTRIES - PREFIX_BUCKET)];
}

static int64_t entry_seen_ms(const struct prefix_entry *e)
{
	int64_t last_ms = e->seen_ms[0];

	for (int i = 1; i < ROUTE_PREFIX_SERVERS; i++)
		last_ms = e->seen_ms[i] > last_ms ? e->seen_ms[i] : last_ms;
	return e->prefix ? last_ms : INT64_MIN;
}

const struct prefix_entry *prefix_find(const struct prefix_entry *table,
				       uint64_t prefix)
{
	const struct prefix_entry *b =
		prefix_bucket((struct prefix_entry *)table, prefix);

	for (int i = 0; i < PREFIX_BUCKET; i++) {
		if (b[i].prefix == prefix)
			return &b[i];
	}
	return NULL;
}

static struct prefix_entry *entry_get(struct prefix_entry *table,
				      uint64_t prefix)
{
	struct prefix_entry *b = prefix_bucket(table, prefix);
	struct prefix_entry *oldest = b;

	for (int i = 0; i < PREFIX_BUCKET; i++) {
		if (b[i].prefix == prefix)
			return &b[i];
		if (entry_seen_ms(&b[i]) < entry_seen_ms(oldest))
			oldest = &b[i];
	}
	*oldest = (struct prefix_entry){.prefix = prefix};
	for (int i = 0; i < ROUTE_PREFIX_SERVERS; i++)
		oldest->server[i] = ROUTE_NONE;
	return oldest;
}

void prefix_add(struct prefix_entry *table, uint64_t prefix, int server,
		int64_t now)
{
	struct prefix_entry *e = entry_get(table, prefix);
	int place = 0;

	for (int i = 0; i < ROUTE_PREFIX_SERVERS; i++) {
		if (e->server[i] == server) {
			place = i;
			break;
		}
		if (e->server[i] == ROUTE_NONE ||
		    e->seen_ms[i] < e->seen_ms[place])
			place = i;
	}
	e->server[place] = (int16_t)server;
	e->seen_ms[place] = now;
}

void prefix_remove(struct prefix_entry *table, uint64_t prefix, int server)
{
	struct prefix_entry *e =
		(struct prefix_entry *)prefix_find(table, prefix);

	for (int i = 0; e && i < ROUTE_PREFIX_SERVERS; i++) {
		if (e->server[i] == server)
			e->server[i] = ROUTE_NONE;
	}
}
