// LRU prefix cache and event ring.
#include "cache.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

enum {
	CACHE_GAP = 10, ///< one event in this many is lost
};

static void cache_event(struct engine *e, bool add, uint64_t prefix,
			int64_t now_ms)
{
	struct cache_event *ev = &e->events[e->next_seq % ENGINE_EVENTS];

	*ev = (struct cache_event){
		.seq = e->next_seq++,
		.at_ms = now_ms,
		.add = add,
		.lost = rng_below(&e->rng, CACHE_GAP) == 0,
		.prefix = prefix,
	};
}

static struct cache_entry *cache_oldest(struct engine *e)
{
	struct cache_entry *oldest = &e->cache[0];

	for (size_t i = 1; i < e->n_cache; i++) {
		if (e->cache[i].used < oldest->used)
			oldest = &e->cache[i];
	}
	return oldest;
}

bool cache_touch(struct engine *e, uint64_t prefix, int64_t now_ms)
{
	struct cache_entry *slot;

	for (size_t i = 0; i < e->n_cache; i++) {
		if (e->cache[i].prefix != prefix)
			continue;
		e->cache[i].used = ++e->cache_clock;
		e->cache_hits++;
		return true;
	}
	if (e->n_cache < ENGINE_CACHE) {
		slot = &e->cache[e->n_cache++];
	} else {
		slot = cache_oldest(e);
		cache_event(e, false, slot->prefix, now_ms);
	}
	*slot = (struct cache_entry){prefix, ++e->cache_clock};
	cache_event(e, true, prefix, now_ms);
	return false;
}

void cache_drop(struct engine *e)
{
	e->n_cache = 0;
}

static bool cache_shown(const struct engine *e, const struct cache_event *ev,
			int64_t now_ms)
{
	return !ev->lost && ev->at_ms + e->opts.load_lag_ms <= now_ms;
}

struct json_t *cache_events(struct engine *e, uint64_t after, int64_t now_ms)
{
	json_t *events = json_array();
	uint64_t next = after;
	uint64_t first = after + 1;

	pthread_mutex_lock(&e->lock);
	if (e->next_seq > ENGINE_EVENTS && first < e->next_seq - ENGINE_EVENTS)
		first = e->next_seq - ENGINE_EVENTS;
	for (uint64_t s = first; s < e->next_seq; s++) {
		const struct cache_event *ev = &e->events[s % ENGINE_EVENTS];
		char hash[17];

		if (ev->at_ms + e->opts.load_lag_ms > now_ms)
			break;
		next = s;
		if (!cache_shown(e, ev, now_ms))
			continue;
		snprintf(hash, sizeof(hash), "%016" PRIx64, ev->prefix);
		json_array_append_new(
			events,
			json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)s, "op",
				  ev->add ? "add" : "evict", "prefix", hash));
	}
	pthread_mutex_unlock(&e->lock);
	return json_pack("{s:o,s:I}", "events", events, "next",
			 (json_int_t)next);
}
