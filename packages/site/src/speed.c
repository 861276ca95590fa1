// Speeds of a service's servers: the recent pace of each, and which are fast.
#include "speed.h"

#include <stdlib.h>

#include "server_table.h"

enum {
	/// Servers compared; the C library's qsort() allocates memory from 1 KB on.
	SPEED_SERVERS_MAX = 120,
	SPEED_SERVERS_MIN = 8, ///< servers whose speed must be known
	SPEEDS_REFRESH_MS = 500, ///< between two computations
	/// Events needed for the mean pace of a run: a few may arrive late in a burst.
	RUN_EVENTS_MIN = 8,
	PACE_REFRESH_MS = 100, ///< between two computations for a large service
	PACE_EVENTS_MIN = 4, ///< events needed for a recent pace
	/// A pace expires without events for this time.
	PACE_EXPIRY_MS = 2000,
};

static const double PACE_WEIGHT = 0.2; ///< of a new event in the moving average
static const double RUN_WEIGHT = 0.2; ///< of a new run in the moving average
/// Pace of the slow servers to that of the fast ones, from which speeds are uneven.
static const double UNEVEN_RATIO = 1.25;
/// Pace of a fast server to the fast pace, at most: a loaded server is slower.
static const double FAST_RATIO = 1.2;
static const double SLOW_RATIO = 1.25; ///< smaller differences come from load
/// Per multiple of the usual pace above 1.
static const double SLOWNESS_LOAD = 1.0;
/* Penalty of a fast server for short samples, and of a slow one for long samples, in
 * busy slots: a long sample may need a fast server's slots soon. */
static const double RESERVED_LOAD = 1.5;

void site_server_record_run(struct site_server *s, int events, int64_t ms)
{
	double pace;

	if (events < RUN_EVENTS_MIN)
		return;
	pace = (double)ms / (events - 1);
	s->run_pace_ms =
		s->run_pace_ms > 0
			? s->run_pace_ms + RUN_WEIGHT * (pace - s->run_pace_ms)
			: pace;
}

void site_server_record_event(struct site_server *s, int64_t now, double ms)
{
	s->rejections = 0;
	if (now - s->pace_updated_ms > PACE_EXPIRY_MS)
		s->pace_events = 0;
	s->pace_ms = s->pace_events
			     ? s->pace_ms + PACE_WEIGHT * (ms - s->pace_ms)
			     : ms;
	s->pace_events++;
	s->pace_updated_ms = now;
}

static bool pace_known(const struct site_server *s, int64_t now)
{
	return s->pace_events >= PACE_EVENTS_MIN &&
	       now - s->pace_updated_ms <= PACE_EXPIRY_MS;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* In ms, 0 if unknown. */
static double recent_pace(const struct site_server *s, int64_t now)
{
	return pace_known(s, now) ? s->pace_ms : 0;
}

static double run_pace(const struct site_server *s, int64_t now)
{
	return s->run_pace_ms;
}

/* Known values of a group's servers, sorted; from a word of the index on.
 *
 * @return count */
static size_t collect_sorted(const struct index_group *g, int word, int64_t now,
			     double (*value)(const struct site_server *s,
					     int64_t now),
			     double *out)
{
	size_t n = 0;

	for (int i = 0; i < g->words; i++) {
		uint64_t bits = g->used.bits[word];

		for (; bits && n < SPEED_SERVERS_MAX; bits &= bits - 1) {
			int group_pos =
				word * INDEX_WORD_BITS + __builtin_ctzll(bits);

			out[n] = value(g->members[group_pos].server, now);
			n += out[n] > 0;
		}
		word = word + 1 < g->words ? word + 1 : 0;
	}
	if (n)
		qsort(out, n, sizeof(*out), compare_doubles);
	return n;
}

/* 25th percentile of the recent paces, of servers from a random word on. */
static double compute_usual_pace(struct site_servers *t,
				 const struct index_group *g, int64_t now)
{
	int word = (int)(site_servers_draw(t, now) % (uint64_t)g->words);
	double paces[SPEED_SERVERS_MAX];
	size_t n = collect_sorted(g, word, now, recent_pace, paces);

	return n ? paces[n / 4] : 0;
}

double site_servers_usual_pace(struct site_servers *t, const char *service,
			       int64_t now)
{
	struct index_group *g = server_index_group(&t->index, service);

	if (!g)
		return 0;
	if (g->n <= SITE_SMALL_SERVICE)
		return compute_usual_pace(t, g, now);
	if (!g->pace_updated_ms ||
	    now - g->pace_updated_ms >= PACE_REFRESH_MS) {
		g->pace_ms = compute_usual_pace(t, g, now);
		g->pace_updated_ms = now;
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

static struct site_speeds compute_speeds(const struct index_group *g,
					 int64_t now)
{
	double speeds[SPEED_SERVERS_MAX];
	size_t n = collect_sorted(g, 0, now, run_pace, speeds);
	struct site_speeds out = {0};
	size_t fast = 0;

	if (n < SPEED_SERVERS_MIN)
		return out;
	out.fast_pace_ms = speeds[n / 8];
	out.typical_pace_ms = speeds[n / 2];
	out.uneven = speeds[n - 1 - n / 8] >= UNEVEN_RATIO * out.fast_pace_ms;
	while (fast < n && speeds[fast] <= FAST_RATIO * out.fast_pace_ms)
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
	if (!g->speeds_updated_ms ||
	    now - g->speeds_updated_ms >= SPEEDS_REFRESH_MS) {
		g->speeds = compute_speeds(g, now);
		g->speeds_updated_ms = now;
	}
	*out = g->speeds;
}

bool site_server_is_fast(const struct site_server *s,
			 const struct site_speeds *speeds)
{
	return s->run_pace_ms > 0 &&
	       s->run_pace_ms <= FAST_RATIO * speeds->fast_pace_ms;
}

double site_server_expected_pace(const struct site_server *s, int64_t now,
				 const struct site_speeds *speeds)
{
	if (pace_known(s, now))
		return s->pace_ms;
	return s->run_pace_ms > 0 ? s->run_pace_ms : speeds->typical_pace_ms;
}

static double slowness_load(double slowness)
{
	return slowness > SLOW_RATIO ? (slowness - 1) * SLOWNESS_LOAD : 0;
}

double speed_load(const struct site_server *s, int64_t now,
		  const struct site_request *req)
{
	double pace;

	if (req->speed == SITE_ANY_SPEED)
		return slowness_load(
			site_server_slowness(s, now, req->pace_ms));
	pace = site_server_expected_pace(s, now, &req->speeds);
	if (req->speed == SITE_FAST_FIRST)
		return slowness_load(pace / req->speeds.fast_pace_ms) +
		       (site_server_is_fast(s, &req->speeds) ? 0
							     : RESERVED_LOAD);
	if (site_server_is_fast(s, &req->speeds))
		return RESERVED_LOAD;
	return slowness_load(pace / req->speeds.typical_pace_ms);
}
