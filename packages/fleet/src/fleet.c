// Demand as a smoothed level with a trend, and the greatest of a window.
#include "fleet/fleet.h"

#include <math.h>
#include <string.h>

static const double level_ms = 10000; ///< time constant of the level
static const double slope_ms = 60000; ///< time constant of the slope

void fleet_init(struct fleet *f, const struct fleet_opts *opts)
{
	memset(f, 0, sizeof(*f));
	f->opts = *opts;
}

/* Clear the buckets between the last step's and that of now. */
static void fleet_roll(struct fleet *f, int64_t now_ms)
{
	int64_t no = now_ms / (f->opts.hold_ms / FLEET_BUCKETS + 1);

	for (int i = 0; i < FLEET_BUCKETS && f->bucket_no < no; i++) {
		f->bucket_no++;
		f->steady.bucket[f->bucket_no % FLEET_BUCKETS] = 0;
		f->cuttable.bucket[f->bucket_no % FLEET_BUCKETS] = 0;
	}
	f->bucket_no = no;
}

static void level_add(struct fleet_level *l, double demand, double dt_ms,
		      int bucket)
{
	double before = l->now;
	double slope;

	if (dt_ms <= 0) {
		l->now = demand;
	} else {
		l->now += (demand - l->now) * (1 - exp(-dt_ms / level_ms));
		slope = (l->now - before) / dt_ms;
		l->slope += (slope - l->slope) * (1 - exp(-dt_ms / slope_ms));
	}
	l->bucket[bucket] = fmax(l->bucket[bucket], l->now);
}

/* Demand to be ready for: where the trend leads, or the window's greatest. */
static double level_ahead(const struct fleet_level *l, int64_t lead_ms)
{
	double ahead = l->now + fmax(0, l->slope) * (double)lead_ms;

	for (int i = 0; i < FLEET_BUCKETS; i++)
		ahead = fmax(ahead, l->bucket[i]);
	return ahead;
}

static void fleet_observe(struct fleet *f, int64_t now_ms,
			  const struct fleet_input *in)
{
	double dt = f->first_ms ? (double)(now_ms - f->last_ms) : 0;
	int bucket;

	if (!f->first_ms)
		f->first_ms = now_ms;

	fleet_roll(f, now_ms);
	bucket = (int)(f->bucket_no % FLEET_BUCKETS);
	level_add(&f->steady, in->steady, dt, bucket);
	level_add(&f->cuttable, in->cuttable, dt, bucket);
	f->last_ms = now_ms;
}

static int servers(double demand)
{
	const double rounding = 1e-6;

	return (int)ceil(demand - rounding);
}

static int clamp(int n, int min, int max)
{
	if (n < min)
		return min;
	return n > max ? max : n;
}

/* Regular servers that must be there whatever becomes of the cheap ones. */
static int fleet_regular(const struct fleet *f, const struct fleet_input *in,
			 double steady, double all)
{
	int for_steady = servers(steady / f->opts.target);
	int without_cheap = servers(all - in->others_spare);

	return for_steady > without_cheap ? for_steady : without_cheap;
}

static bool fleet_cheap_wanted(const struct fleet *f, int64_t now_ms,
			       const struct fleet_input *in)
{
	return in->cheap_price > 0 && in->cheap_price < 1.0 &&
	       now_ms >= f->penalty_until_ms;
}

static int fleet_change(const struct fleet *f, int change,
			const struct fleet_input *in)
{
	bool known = f->last_ms - f->first_ms >= f->opts.hold_ms;

	return change < 0 && (in->starting > 0 || !known) ? 0 : change;
}

struct fleet_plan fleet_step(struct fleet *f, int64_t now_ms,
			     const struct fleet_input *in)
{
	const struct fleet_opts *o = &f->opts;
	double steady, all;
	int want, regular, cheap;

	fleet_observe(f, now_ms, in);
	steady = level_ahead(&f->steady, o->lead_ms);
	all = steady + level_ahead(&f->cuttable, o->lead_ms);
	want = clamp(servers(all / o->target), o->min, o->max);
	regular = clamp(fleet_regular(f, in, steady, all), o->min, want);
	cheap = want - regular;
	if (!fleet_cheap_wanted(f, now_ms, in)) {
		/* Those that are there may stay. */
		cheap = cheap < in->cheap ? cheap : in->cheap;
		regular = want - cheap;
	}
	return (struct fleet_plan){
		.regular = fleet_change(f, regular - in->regular, in),
		.cheap = fleet_change(f, cheap - in->cheap, in),
	};
}

void fleet_cheap_lost(struct fleet *f, int64_t now_ms)
{
	f->penalty_until_ms = now_ms + f->opts.penalty_ms;
}
