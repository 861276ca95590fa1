// LRU prefix cache and event ring.
#include "cache.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>

enum {
	CACHE_LOST_ONE_IN = 10, ///< one event in this many is lost
};

static void cache_event(struct engine *e, bool add, uint64_t prefix,
			int64_t now_ms)
{
	struct cache_event *ev = &e->events[e->next_seq % ENGINE_EVENTS_MAX];

	*ev = (struct cache_event){
		.seq = e->next_seq++,
		.at_ms = now_ms,
		.add = add,
		.hidden = rng_below(&e->rng, CACHE_LOST_ONE_IN) == 0,
		.prefix = prefix,
	};
}

static struct cache_entry *cache_find_lru(struct engine *e)
{
	struct cache_entry *oldest = &e->cache[0];

	for (size_t i = 1; i < e->n_cache; i++) {
		if (e->cache[i].last_used < oldest->last_used)
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
		e->cache[i].last_used = ++e->cache_clock;
		e->cache_hits++;
		return true;
	}
	if (e->n_cache < ENGINE_CACHE_MAX) {
		slot = &e->cache[e->n_cache++];
	} else {
		slot = cache_find_lru(e);
		cache_event(e, false, slot->prefix, now_ms);
	}
	*slot = (struct cache_entry){prefix, ++e->cache_clock};
	cache_event(e, true, prefix, now_ms);
	return false;
}

void cache_clear(struct engine *e)
{
	e->n_cache = 0;
}

static bool cache_event_visible(const struct engine *e,
				const struct cache_event *ev, int64_t now_ms)
{
	return !ev->hidden && ev->at_ms + e->opts.load_lag_ms <= now_ms;
}

struct json_t *cache_events(struct engine *e, uint64_t after, int64_t now_ms)
{
	json_t *events = json_array();
	uint64_t next = after;
	uint64_t first = after + 1;

	pthread_mutex_lock(&e->lock);
	if (e->next_seq > ENGINE_EVENTS_MAX &&
	    first < e->next_seq - ENGINE_EVENTS_MAX)
		first = e->next_seq - ENGINE_EVENTS_MAX;
	for (uint64_t s = first; s < e->next_seq; s++) {
		const struct cache_event *ev =
			&e->events[s % ENGINE_EVENTS_MAX];
		char hash[17];

		if (ev->at_ms + e->opts.load_lag_ms > now_ms)
			break;
		next = s;
		if (!cache_event_visible(e, ev, now_ms))
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
