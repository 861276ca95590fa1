// Autoscaling from a smoothed demand level, its trend and its recent maximum.
#include "fleet/fleet.h"

#include <math.h>
#include <string.h>

static const double LEVEL_TIME_CONSTANT_MS = 10000;
static const double SLOPE_TIME_CONSTANT_MS = 60000;

void fleet_init(struct fleet *f, const struct fleet_opts *opts)
{
	memset(f, 0, sizeof(*f));
	f->opts = *opts;
}

/* Clear the buckets since the last step. */
static void fleet_advance_buckets(struct fleet *f, int64_t now_ms)
{
	int64_t newest = now_ms / (f->opts.hold_ms / FLEET_BUCKETS + 1);

	for (int i = 0; i < FLEET_BUCKETS && f->newest_bucket < newest; i++) {
		f->newest_bucket++;
		f->steady.bucket[f->newest_bucket % FLEET_BUCKETS] = 0;
		f->preemptible.bucket[f->newest_bucket % FLEET_BUCKETS] = 0;
	}
	f->newest_bucket = newest;
}

static void demand_add(struct fleet_demand *l, double demand, double dt_ms,
		       int bucket)
{
	double previous = l->level;
	double change_rate;

	if (dt_ms <= 0) {
		l->level = demand;
	} else {
		l->level += (demand - l->level) *
			    (1 - exp(-dt_ms / LEVEL_TIME_CONSTANT_MS));
		change_rate = (l->level - previous) / dt_ms;
		l->slope += (change_rate - l->slope) *
			    (1 - exp(-dt_ms / SLOPE_TIME_CONSTANT_MS));
	}
	l->bucket[bucket] = fmax(l->bucket[bucket], l->level);
}

/* Demand expected in lead_ms by the trend, at least the window's maximum. */
static double demand_forecast(const struct fleet_demand *l, int64_t lead_ms)
{
	double forecast = l->level + fmax(0, l->slope) * (double)lead_ms;

	for (int i = 0; i < FLEET_BUCKETS; i++)
		forecast = fmax(forecast, l->bucket[i]);
	return forecast;
}

static void fleet_observe(struct fleet *f, int64_t now_ms,
			  const struct fleet_input *in)
{
	double dt = f->first_step_ms ? (double)(now_ms - f->last_step_ms) : 0;
	int bucket;

	if (!f->first_step_ms)
		f->first_step_ms = now_ms;

	fleet_advance_buckets(f, now_ms);
	bucket = (int)(f->newest_bucket % FLEET_BUCKETS);
	demand_add(&f->steady, in->steady, dt, bucket);
	demand_add(&f->preemptible, in->preemptible, dt, bucket);
	f->last_step_ms = now_ms;
}

static int whole_servers(double demand)
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

/* Regular servers needed if all cheap ones are reclaimed. */
static int fleet_regular_needed(const struct fleet *f,
				const struct fleet_input *in, double steady,
				double all)
{
	int for_steady = whole_servers(steady / f->opts.target);
	int without_cheap = whole_servers(all - in->other_domains_spare);

	return for_steady > without_cheap ? for_steady : without_cheap;
}

static bool fleet_cheap_wanted(const struct fleet *f, int64_t now_ms,
			       const struct fleet_input *in)
{
	return in->cheap_price > 0 && in->cheap_price < 1.0 &&
	       now_ms >= f->cheap_blocked_until_ms;
}

static int fleet_allowed_change(const struct fleet *f, int change,
				const struct fleet_input *in)
{
	bool history_complete =
		f->last_step_ms - f->first_step_ms >= f->opts.hold_ms;

	return change < 0 && (in->starting > 0 || !history_complete) ? 0
								     : change;
}

struct fleet_plan fleet_step(struct fleet *f, int64_t now_ms,
			     const struct fleet_input *in)
{
	const struct fleet_opts *o = &f->opts;
	double steady, all;
	int want, regular, cheap;

	fleet_observe(f, now_ms, in);
	steady = demand_forecast(&f->steady, o->lead_ms);
	all = steady + demand_forecast(&f->preemptible, o->lead_ms);
	want = clamp(whole_servers(all / o->target), o->min, o->max);
	regular = clamp(fleet_regular_needed(f, in, steady, all), o->min, want);
	cheap = want - regular;
	if (!fleet_cheap_wanted(f, now_ms, in)) {
		/* Existing cheap servers may stay. */
		cheap = cheap < in->cheap ? cheap : in->cheap;
		regular = want - cheap;
	}
	return (struct fleet_plan){
		.regular = fleet_allowed_change(f, regular - in->regular, in),
		.cheap = fleet_allowed_change(f, cheap - in->cheap, in),
	};
}

void fleet_cheap_lost(struct fleet *f, int64_t now_ms)
{
	f->cheap_blocked_until_ms = now_ms + f->opts.penalty_ms;
}
