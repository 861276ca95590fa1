// Speed classes of a service's servers.
#include "speed.h"

#include <stdlib.h>

#include "server_index.h"
#include "server_table.h"

enum {
	SPEED_SERVERS = 120, ///< whose speeds are looked at
	SPEED_KNOWN = 8, ///< servers whose speed must be known
	SPEED_EVERY_MS = 500, ///< between two looks
	/// Of a run whose mean pace counts: a few may come late and together.
	SPEED_EVENTS = 8,
	PACE_EVENTS = 4, ///< that a recent pace must be taken from to count
	PACE_FRESH_MS =
		2000, ///< a pace is older: the server may have recovered
};

static const double RUN_WEIGHT = 0.2; ///< of a new run in a server's speed
static const double UNEVEN_FROM = 1.5; ///< typical pace against the fast one
static const double FAST_TO =
	1.3; ///< pace of a fast server against the fast pace
static const double SLOW_FROM = 1.25; ///< differences below are of the load
static const double SLOW_LOAD = 1.0; ///< for each time that it is slower
/* A slot that a long sample may want soon, against a busy slot of a slow server. */
static const double RESERVED_LOAD = 1.5;

void site_server_ran(struct site_server *s, int events, int64_t ms)
{
	double pace;

	if (events < SPEED_EVENTS)
		return;
	pace = (double)ms / (events - 1);
	s->run_ms = s->run_ms > 0 ? s->run_ms + RUN_WEIGHT * (pace - s->run_ms)
				  : pace;
}

static int double_compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static size_t speeds_of(const struct index_group *g, double *speeds)
{
	size_t n = 0;

	for (int w = 0; w < g->words; w++) {
		uint64_t left = g->used.bits[w];

		for (; left && n < SPEED_SERVERS; left &= left - 1) {
			const struct site_server *s =
				g->places[w * INDEX_WORD_BITS +
					  __builtin_ctzll(left)]
					.server;

			if (s->run_ms > 0)
				speeds[n++] = s->run_ms;
		}
	}
	return n;
}

static struct site_speeds look_at_speeds(const struct index_group *g)
{
	double speeds[SPEED_SERVERS];
	size_t n = speeds_of(g, speeds);
	struct site_speeds out = {0};
	size_t fast = 0;

	if (n < SPEED_KNOWN)
		return out;
	qsort(speeds, n, sizeof(*speeds), double_compare);
	out.fast_ms = speeds[n / 8];
	out.typical_ms = speeds[n / 2];
	out.uneven = out.typical_ms >= UNEVEN_FROM * out.fast_ms;
	while (fast < n && speeds[fast] <= FAST_TO * out.fast_ms)
		fast++;
	out.fast_share = (double)fast / (double)n;
	return out;
}

void site_servers_speeds(struct site_servers *t, const char *service,
			 int64_t now, struct site_speeds *out)
{
	struct index_group *g = server_index_group(&t->index, service);

	*out = (struct site_speeds){0};
	if (!g)
		return;
	if (!g->speeds_ms || now - g->speeds_ms >= SPEED_EVERY_MS) {
		g->speeds = look_at_speeds(g);
		g->speeds_ms = now;
	}
	*out = g->speeds;
}

bool site_server_fast(const struct site_server *s,
		      const struct site_speeds *speeds)
{
	return s->run_ms > 0 && s->run_ms <= FAST_TO * speeds->fast_ms;
}

double site_server_expected_pace(const struct site_server *s, int64_t now,
				 const struct site_speeds *speeds)
{
	if (s->pace_events >= PACE_EVENTS && now - s->paced_ms <= PACE_FRESH_MS)
		return s->pace_ms;
	return s->run_ms > 0 ? s->run_ms : speeds->typical_ms;
}

double speed_load(const struct site_server *s, int64_t now,
		  const struct site_ask *ask)
{
	double pace = site_server_expected_pace(s, now, &ask->speeds);
	bool fast_first = ask->speed == SITE_FAST_FIRST;
	double slowness = pace / (fast_first ? ask->speeds.fast_ms
					     : ask->speeds.typical_ms);

	if (!fast_first && site_server_fast(s, &ask->speeds))
		return RESERVED_LOAD;
	return slowness > SLOW_FROM ? (slowness - 1) * SLOW_LOAD : 0;
}
