// Speeds of a service's servers: the recent pace of each, and those that are fast.
#include "speed.h"

#include <stdlib.h>

#include "server_table.h"

enum {
	/// Servers whose speeds are looked at; the C library's qsort() allocates from
	/// 1 KB on.
	SPEED_SERVERS = 120,
	SPEED_KNOWN = 8, ///< servers whose speed must be known
	SPEED_EVERY_MS = 500, ///< between two looks
	/// Of a run whose mean pace counts: a few may come late and together.
	SPEED_EVENTS = 8,
	PACE_EVERY_MS = 100, ///< between two looks at a large service's paces
	PACE_EVENTS = 4, ///< that a recent pace must be taken from to count
	PACE_KEEP_MS = 2000, ///< without events for longer, a pace is forgotten
};

static const double PACE_WEIGHT = 0.2; ///< of a new event in the pace
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

void site_server_paced(struct site_server *s, int64_t now, double ms)
{
	s->rejections = 0;
	if (now - s->paced_ms > PACE_KEEP_MS)
		s->pace_events = 0;
	s->pace_ms = s->pace_events
			     ? s->pace_ms + PACE_WEIGHT * (ms - s->pace_ms)
			     : ms;
	s->pace_events++;
	s->paced_ms = now;
}

static bool pace_known(const struct site_server *s, int64_t now)
{
	return s->pace_events >= PACE_EVENTS &&
	       now - s->paced_ms <= PACE_KEEP_MS;
}

static int double_compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Recent pace of a server, 0 if not known. */
static double recent_of(const struct site_server *s, int64_t now)
{
	return pace_known(s, now) ? s->pace_ms : 0;
}

static double run_of(const struct site_server *s, int64_t now)
{
	return s->run_ms;
}

/* Known figures of a group's servers, in order; from a word of the index on.
 *
 * @return count */
static size_t sorted(const struct index_group *g, int word, int64_t now,
		     double (*figure)(const struct site_server *s, int64_t now),
		     double *out)
{
	size_t n = 0;

	for (int i = 0; i < g->words; i++) {
		uint64_t left = g->used.bits[word];

		for (; left && n < SPEED_SERVERS; left &= left - 1) {
			int place =
				word * INDEX_WORD_BITS + __builtin_ctzll(left);

			out[n] = figure(g->places[place].server, now);
			n += out[n] > 0;
		}
		word = word + 1 < g->words ? word + 1 : 0;
	}
	if (n)
		qsort(out, n, sizeof(*out), double_compare);
	return n;
}

/* Quarter of the paces of servers from a drawn place on. */
static double pace_of(struct site_servers *t, const struct index_group *g,
		      int64_t now)
{
	int word = (int)(site_servers_draw(t, now) % (uint64_t)g->words);
	double paces[SPEED_SERVERS];
	size_t n = sorted(g, word, now, recent_of, paces);

	return n ? paces[n / 4] : 0;
}

double site_servers_pace(struct site_servers *t, const char *service,
			 int64_t now)
{
	struct index_group *g = server_index_group(&t->index, service);

	if (!g)
		return 0;
	if (g->n <= SITE_SMALL)
		return pace_of(t, g, now);
	if (!g->paced_ms || now - g->paced_ms >= PACE_EVERY_MS) {
		g->pace_ms = pace_of(t, g, now);
		g->paced_ms = now;
	}
	return g->pace_ms;
}

double site_server_slowness(const struct site_server *s, int64_t now,
			    double usual_ms)
{
	if (usual_ms <= 0 || !pace_known(s, now))
		return 1;
	return s->pace_ms / usual_ms;
}

static struct site_speeds look_at_speeds(const struct index_group *g,
					 int64_t now)
{
	double speeds[SPEED_SERVERS];
	size_t n = sorted(g, 0, now, run_of, speeds);
	struct site_speeds out = {0};
	size_t fast = 0;

	if (n < SPEED_KNOWN)
		return out;
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
		g->speeds = look_at_speeds(g, now);
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
	if (pace_known(s, now))
		return s->pace_ms;
	return s->run_ms > 0 ? s->run_ms : speeds->typical_ms;
}

static double slow_load(double slowness)
{
	return slowness > SLOW_FROM ? (slowness - 1) * SLOW_LOAD : 0;
}

double speed_load(const struct site_server *s, int64_t now,
		  const struct site_ask *ask)
{
	double pace;

	if (ask->speed == SITE_ANY_SPEED)
		return slow_load(site_server_slowness(s, now, ask->pace_ms));
	pace = site_server_expected_pace(s, now, &ask->speeds);
	if (ask->speed == SITE_FAST_FIRST)
		return slow_load(pace / ask->speeds.fast_ms);
	if (site_server_fast(s, &ask->speeds))
		return RESERVED_LOAD;
	return slow_load(pace / ask->speeds.typical_ms);
}
