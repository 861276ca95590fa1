// Load balancing over the backend servers of one pool.
#include "route/route.h"

#include <stdlib.h>

#include "prefix.h"
#include "ring.h"

enum {
	LOAD_HALF_LIFE_MS = 2000, ///< age at which a load report counts half
	CACHE_HALF_LIFE_MS = 60000, ///< same for a cache entry
	N_CHOICES = 2, ///< power of two choices
	TRIES_PER_CHOICE = 4, ///< until one is eligible
};

static const double CACHE_BONUS = 0.5; ///< in load: a full server is 1
static const double RING_BONUS = 0.4; ///< likely to cache it, but no evidence
static const double EVENTS_LOST_FACTOR = 0.5; ///< for earlier cache entries

struct server_state {
	int free;
	int own;
	bool cheap;
	int16_t available_i; ///< index into `available`, or ROUTE_NONE
	struct route_load load;
	int64_t events_lost_ms;
	int64_t flushed_ms;
};

struct route {
	struct server_state servers[ROUTE_MAX_SERVERS];
	int16_t available[ROUTE_MAX_SERVERS]; ///< servers with a free slot
	int n_available;
	struct prefix_entry prefixes[ROUTE_PREFIX_ENTRIES];
	struct ring ring;
};

struct route *route_new(void)
{
	struct route *r = calloc(1, sizeof(*r));

	for (int i = 0; r && i < ROUTE_MAX_SERVERS; i++)
		r->servers[i].available_i = ROUTE_NONE;
	return r;
}

void route_free(struct route *r)
{
	free(r);
}

static void available_add(struct route *r, int server)
{
	r->servers[server].available_i = (int16_t)r->n_available;
	r->available[r->n_available++] = (int16_t)server;
}

static void available_remove(struct route *r, int server)
{
	int place = r->servers[server].available_i;
	int last = r->available[--r->n_available];

	r->available[place] = (int16_t)last;
	r->servers[last].available_i = (int16_t)place;
	r->servers[server].available_i = ROUTE_NONE;
}

void route_set_slots(struct route *r, int server, int free, int own, bool cheap)
{
	struct server_state *v = &r->servers[server];

	v->free = free;
	v->own = own;
	v->cheap = cheap;
	if (free > 0 && v->available_i == ROUTE_NONE)
		available_add(r, server);
	else if (free <= 0 && v->available_i != ROUTE_NONE)
		available_remove(r, server);
}

void route_add_server(struct route *r, int server, uint64_t id)
{
	ring_add(&r->ring, server, id);
}

void route_remove_server(struct route *r, int server)
{
	int16_t place = r->servers[server].available_i;

	if (place != ROUTE_NONE)
		available_remove(r, server);
	ring_remove(&r->ring, server);
	r->servers[server] = (struct server_state){.available_i = ROUTE_NONE};
}

void route_load_report(struct route *r, int server,
		       const struct route_load *load)
{
	if (load->as_of_ms > r->servers[server].load.as_of_ms)
		r->servers[server].load = *load;
}

void route_prefix_cached(struct route *r, uint64_t prefix, int server,
			 int64_t now)
{
	if (prefix)
		prefix_add(r->prefixes, prefix, server, now);
}

void route_prefix_evicted(struct route *r, uint64_t prefix, int server)
{
	prefix_remove(r->prefixes, prefix, server);
}

void route_cache_events_lost(struct route *r, int server, int64_t now)
{
	r->servers[server].events_lost_ms = now;
}

void route_cache_flushed(struct route *r, int server, int64_t now)
{
	r->servers[server].flushed_ms = now;
}

/* 1 when new, 1/2 at the half-life, 1/3 at twice that. */
static double decay(int64_t age_ms, int half_life_ms)
{
	return age_ms <= 0
		       ? 1
		       : (double)half_life_ms / (double)(half_life_ms + age_ms);
}

/* Used part of the slots that this node sees: its own requests are exact; those
 * of others count less with the report's age. */
static double route_load_of(const struct server_state *v, int64_t now)
{
	int others = v->load.busy - v->load.own;
	double others_now = others > 0 ? others * decay(now - v->load.as_of_ms,
							LOAD_HALF_LIFE_MS)
				       : 0;
	double busy = v->own + others_now;

	return busy / (busy + v->free);
}

static double route_cache_bonus(const struct server_state *v, int64_t seen_ms,
				int64_t now)
{
	double weight = decay(now - seen_ms, CACHE_HALF_LIFE_MS);

	if (seen_ms <= v->flushed_ms)
		return 0;
	if (seen_ms <= v->events_lost_ms)
		weight *= EVENTS_LOST_FACTOR;
	return CACHE_BONUS * weight;
}

static bool route_eligible(const struct route *r, int server,
			   const struct route_request *req)
{
	const struct server_state *v = &r->servers[server];

	return v->free > 0 && server != req->avoid &&
	       (req->preemptible || !v->cheap);
}

/* A random eligible server, after a few tries. */
static int route_pick_random(const struct route *r, struct rng *rng,
			     const struct route_request *req)
{
	for (int i = 0; i < TRIES_PER_CHOICE && r->n_available > 0; i++) {
		int server =
			r->available[rng_below(rng, (uint64_t)r->n_available)];

		if (route_eligible(r, server, req))
			return server;
	}
	return ROUTE_NONE;
}

/* Random picks can miss the only eligible server: scan all, and then accept the
 * one to avoid. */
static int route_scan(const struct route *r, const struct route_request *req)
{
	struct route_request relaxed = *req;

	for (int i = 0; i < r->n_available; i++) {
		if (route_eligible(r, r->available[i], req))
			return r->available[i];
	}
	relaxed.avoid = ROUTE_NONE;
	for (int i = 0; i < r->n_available; i++) {
		if (route_eligible(r, r->available[i], &relaxed))
			return r->available[i];
	}
	return ROUTE_NONE;
}

struct route_best {
	int server;
	double score; ///< lower is better
};

static void route_consider(const struct route *r,
			   const struct route_request *req, int64_t now,
			   int server, double bonus, struct route_best *best)
{
	double score;

	if (server == ROUTE_NONE || !route_eligible(r, server, req))
		return;
	score = route_load_of(&r->servers[server], now) - bonus;
	if (best->server == ROUTE_NONE || score < best->score)
		*best = (struct route_best){server, score};
}

/* Servers that may cache the prefix: those in the table, and the ring's. */
static void route_consider_prefix(const struct route *r,
				  const struct route_request *req, int64_t now,
				  struct route_best *best)
{
	const struct prefix_entry *e = prefix_find(r->prefixes, req->prefix);

	for (int i = 0; e && i < ROUTE_PREFIX_SERVERS; i++) {
		int server = e->server[i];

		if (server != ROUTE_NONE)
			route_consider(r, req, now, server,
				       route_cache_bonus(&r->servers[server],
							 e->seen_ms[i], now),
				       best);
	}
	route_consider(r, req, now, ring_lookup(&r->ring, req->prefix),
		       RING_BONUS, best);
}

int route_choose(struct route *r, struct rng *rng, int64_t now,
		 const struct route_request *req)
{
	struct route_best best = {.server = ROUTE_NONE};

	for (int i = 0; i < N_CHOICES; i++)
		route_consider(r, req, now, route_pick_random(r, rng, req), 0,
			       &best);
	if (req->prefix)
		route_consider_prefix(r, req, now, &best);
	return best.server == ROUTE_NONE ? route_scan(r, req) : best.server;
}
