// Choice of a backend server in one pool.
#include "route/route.h"

#include <stdlib.h>

#include "prefix.h"
#include "ring.h"

enum {
	LOAD_HALF_MS = 2000, ///< age at which a report counts half
	CACHE_HALF_MS = 60000, ///< age at which a belief counts half
	DRAWS = 2, ///< power of two choices
	DRAW_TRIES = 4, ///< draws for one choice that fits
};

static const double CACHE_BONUS = 0.5; ///< in loads: a full server is 1
static const double HOME_BONUS = 0.4; ///< likely, but no sign of it
static const double GAP_TRUST = 0.5; ///< of what was known before a gap

struct route_server {
	int free;
	int own;
	bool cheap;
	int16_t at; ///< index into `open`, ROUTE_NONE
	struct route_load load;
	int64_t gap_ms; ///< cache events were lost then
	int64_t flushed_ms; ///< the cache was emptied then
};

struct route {
	struct route_server servers[ROUTE_SERVERS];
	int16_t open[ROUTE_SERVERS]; ///< servers with a free slot
	int n_open;
	struct prefix_entry prefixes[ROUTE_PREFIXES];
	struct ring ring;
};

struct route *route_new(void)
{
	struct route *r = calloc(1, sizeof(*r));

	for (int i = 0; r && i < ROUTE_SERVERS; i++)
		r->servers[i].at = ROUTE_NONE;
	return r;
}

void route_free(struct route *r)
{
	free(r);
}

static void route_open(struct route *r, int server)
{
	r->servers[server].at = (int16_t)r->n_open;
	r->open[r->n_open++] = (int16_t)server;
}

static void route_shut(struct route *r, int server)
{
	int at = r->servers[server].at;
	int last = r->open[--r->n_open];

	r->open[at] = (int16_t)last;
	r->servers[last].at = (int16_t)at;
	r->servers[server].at = ROUTE_NONE;
}

void route_server(struct route *r, int server, int free, int own, bool cheap)
{
	struct route_server *v = &r->servers[server];

	v->free = free;
	v->own = own;
	v->cheap = cheap;
	if (free > 0 && v->at == ROUTE_NONE)
		route_open(r, server);
	else if (free <= 0 && v->at != ROUTE_NONE)
		route_shut(r, server);
}

void route_join(struct route *r, int server, uint64_t id)
{
	ring_add(&r->ring, server, id);
}

void route_leave(struct route *r, int server)
{
	int16_t at = r->servers[server].at;

	if (at != ROUTE_NONE)
		route_shut(r, server);
	ring_remove(&r->ring, server);
	r->servers[server] = (struct route_server){.at = ROUTE_NONE};
}

void route_report(struct route *r, int server, const struct route_load *load)
{
	if (load->as_of_ms > r->servers[server].load.as_of_ms)
		r->servers[server].load = *load;
}

void route_cached(struct route *r, uint64_t prefix, int server, int64_t now)
{
	if (prefix)
		prefix_add(r->prefixes, prefix, server, now);
}

void route_evicted(struct route *r, uint64_t prefix, int server)
{
	prefix_drop(r->prefixes, prefix, server);
}

void route_gap(struct route *r, int server, int64_t now)
{
	r->servers[server].gap_ms = now;
}

void route_flushed(struct route *r, int server, int64_t now)
{
	r->servers[server].flushed_ms = now;
}

/* 1 when new, a half at the half time, and so on down. */
static double fade(int64_t age_ms, int half_ms)
{
	return age_ms <= 0 ? 1 : (double)half_ms / (double)(half_ms + age_ms);
}

/* Requests there, as a part of what this node could see there: its own are
 * exact; the others' count less the older the report. */
static double route_load_of(const struct route_server *v, int64_t now)
{
	int others = v->load.busy - v->load.own;
	double seen =
		others > 0 ? others * fade(now - v->load.as_of_ms, LOAD_HALF_MS)
			   : 0;
	double busy = v->own + seen;

	return busy / (busy + v->free);
}

static double route_cache_bonus(const struct route_server *v, int64_t at_ms,
				int64_t now)
{
	double trust = fade(now - at_ms, CACHE_HALF_MS);

	if (at_ms <= v->flushed_ms)
		return 0;
	if (at_ms <= v->gap_ms)
		trust *= GAP_TRUST;
	return CACHE_BONUS * trust;
}

static bool route_fits(const struct route *r, int server,
		       const struct route_ask *ask)
{
	const struct route_server *v = &r->servers[server];

	return v->free > 0 && server != ask->avoid &&
	       (ask->may_cut || !v->cheap);
}

/* A random server that fits, tried a few times. */
static int route_draw(const struct route *r, struct rng *rng,
		      const struct route_ask *ask)
{
	for (int i = 0; i < DRAW_TRIES && r->n_open > 0; i++) {
		int server = r->open[rng_below(rng, (uint64_t)r->n_open)];

		if (route_fits(r, server, ask))
			return server;
	}
	return ROUTE_NONE;
}

/* Draws can miss the only one that fits: then look at each. */
static int route_scan(const struct route *r, const struct route_ask *ask)
{
	struct route_ask any = *ask;

	for (int i = 0; i < r->n_open; i++) {
		if (route_fits(r, r->open[i], ask))
			return r->open[i];
	}
	any.avoid = ROUTE_NONE;
	for (int i = 0; i < r->n_open; i++) {
		if (route_fits(r, r->open[i], &any))
			return r->open[i];
	}
	return ROUTE_NONE;
}

/// Best server so far.
struct route_best {
	int server;
	double score; ///< less is better
};

static void route_consider(const struct route *r, const struct route_ask *ask,
			   int64_t now, int server, double bonus,
			   struct route_best *best)
{
	double score;

	if (server == ROUTE_NONE || !route_fits(r, server, ask))
		return;
	score = route_load_of(&r->servers[server], now) - bonus;
	if (best->server == ROUTE_NONE || score < best->score)
		*best = (struct route_best){server, score};
}

/* Servers that may hold the prefix: believed ones, and its home. */
static void route_consider_prefix(const struct route *r,
				  const struct route_ask *ask, int64_t now,
				  struct route_best *best)
{
	const struct prefix_entry *e = prefix_find(r->prefixes, ask->prefix);

	for (int i = 0; e && i < ROUTE_HOLDERS; i++) {
		int server = e->server[i];

		if (server != ROUTE_NONE)
			route_consider(r, ask, now, server,
				       route_cache_bonus(&r->servers[server],
							 e->at_ms[i], now),
				       best);
	}
	route_consider(r, ask, now, ring_home(&r->ring, ask->prefix),
		       HOME_BONUS, best);
}

int route_choose(struct route *r, struct rng *rng, int64_t now,
		 const struct route_ask *ask)
{
	struct route_best best = {.server = ROUTE_NONE};

	for (int i = 0; i < DRAWS; i++)
		route_consider(r, ask, now, route_draw(r, rng, ask), 0, &best);
	if (ask->prefix)
		route_consider_prefix(r, ask, now, &best);
	return best.server == ROUTE_NONE ? route_scan(r, ask) : best.server;
}
