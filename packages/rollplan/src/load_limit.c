// Learns the limit of concurrent weight loads from their durations.
#include "rollplan/load_limit.h"

enum {
	/// Quick loads at the limit that raise it. A load too many slows all others, so
	/// that each cut makes the next attempt rarer.
	QUICK_NEEDED_MIN = 12,
	QUICK_NEEDED_GROWTH = 4,
	QUICK_NEEDED_MAX = 192,
};

/* Ratio to the shortest load from which a load is slow, and up to which it is quick:
 * one load more than the source can serve takes a fifth longer with five, half as long
 * again with two. Durations are seen by events some 50 ms apart. */
static const double SLOW_RATIO = 1.3;
static const double QUICK_RATIO = 1.15;

/// Of a new load in the moving average.
static const double USUAL_WEIGHT = 0.25;

void load_limit_init(struct load_limit *l, int limit, int64_t usual_ms)
{
	*l = (struct load_limit){
		.limit = limit > 1 ? limit : 1,
		.shortest_ms = usual_ms,
		.usual_ms = usual_ms,
		.quick_needed = QUICK_NEEDED_MIN,
	};
}

void load_limit_assume(struct load_limit *l, int limit)
{
	if (!l->learned && limit > l->limit)
		l->limit = limit;
}

static void cut(struct load_limit *l, int64_t now, int concurrent, double ratio)
{
	int limit = (int)(concurrent * QUICK_RATIO / ratio);

	/* Loads ordered before a cut say nothing about the new limit. */
	l->cut_ms = now;
	l->learned = true;
	l->quick_loads = 0;
	if (limit >= l->limit)
		return;
	l->limit = limit > 1 ? limit : 1;
	l->quick_needed *= QUICK_NEEDED_GROWTH;
	if (l->quick_needed > QUICK_NEEDED_MAX)
		l->quick_needed = QUICK_NEEDED_MAX;
}

void load_limit_add(struct load_limit *l, int64_t now,
		    const struct load_limit_sample *s)
{
	double ratio;

	if (s->duration_ms <= 0)
		return;
	/* A load alone takes its shortest time by definition. */
	if (s->duration_ms < l->shortest_ms || s->concurrent <= 1)
		l->shortest_ms = s->duration_ms;
	l->usual_ms += (int64_t)(USUAL_WEIGHT *
				 (double)(s->duration_ms - l->usual_ms));
	ratio = (double)s->duration_ms / (double)l->shortest_ms;
	if (ratio > SLOW_RATIO && s->sent_ms >= l->cut_ms)
		cut(l, now, s->concurrent, ratio);
	else if (ratio <= QUICK_RATIO && s->concurrent >= l->limit)
		l->quick_loads++;
	if (l->quick_loads < l->quick_needed)
		return;
	l->quick_loads = 0;
	l->limit++;
}
