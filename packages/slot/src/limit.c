// Concurrency limit of one backend server (AIMD).
#include "slot/limit.h"

#include "slot/slot_defs.h"

static const double RECENT_WEIGHT = 0.2; ///< of a new sample
static const double BASELINE_WEIGHT = 0.01; ///< of a new sample
/// Recent over long-term latency that means overload.
static const double LATENCY_OVERLOAD_FACTOR = 2.0;

static int clamp(int v, int low, int high)
{
	if (v < low)
		return low;
	return v > high ? high : v;
}

void slot_limit_init(struct slot_limit *l, const struct slot_limit_opts *opts)
{
	*l = (struct slot_limit){
		.o = *opts,
		.adaptive_slots = opts->start,
		.decreased_ms = INT64_MIN / 2,
	};
}

void slot_limit_set_start(struct slot_limit *l, int start)
{
	bool sampled = l->baseline_ms > 0 || l->decreased_ms >= 0;

	if (sampled)
		return;
	/* Otherwise it is the limit of a former coordinator. */
	if (l->adaptive_slots == l->o.start)
		l->adaptive_slots = start;
	l->o.start = start;
}

static void limit_add_latency(struct slot_limit *l, double ms)
{
	if (l->baseline_ms == 0) {
		l->baseline_ms = ms;
		l->recent_ms = ms;
	}
	l->recent_ms += RECENT_WEIGHT * (ms - l->recent_ms);
	l->baseline_ms += BASELINE_WEIGHT * (ms - l->baseline_ms);
}

static void limit_decrease(struct slot_limit *l, int64_t now, int limit)
{
	if (now - l->decreased_ms < SLOT_PERMIT_TTL_MS)
		return;
	l->decreased_ms = now;
	l->ok_count = 0;
	l->adaptive_slots = clamp(limit, 1, l->o.max);
}

void slot_limit_sample(struct slot_limit *l, int64_t now,
		       const struct slot_sample *s, int used)
{
	if (s->ok_count > 0)
		limit_add_latency(l, (double)s->ok_sum_ms / s->ok_count);
	if (s->errors > 0) {
		limit_decrease(l, now, l->adaptive_slots / 2);
		return;
	}
	if (l->recent_ms > LATENCY_OVERLOAD_FACTOR * l->baseline_ms &&
	    l->adaptive_slots > l->o.start) {
		limit_decrease(l, now, l->adaptive_slots * 3 / 4);
		return;
	}
	l->ok_count += s->ok_count;
	if (l->ok_count >= (uint32_t)l->adaptive_slots &&
	    2 * used >= l->adaptive_slots) {
		l->ok_count = 0;
		l->adaptive_slots = clamp(l->adaptive_slots + 1, 1, l->o.max);
	}
}

void slot_limit_report(struct slot_limit *l, const struct slot_report *r)
{
	bool new_version = l->version != 0 && r->version != l->version;

	l->reported_slots = r->slots;
	l->version = r->version;
	if (new_version && l->adaptive_slots > l->o.start)
		l->adaptive_slots = l->o.start;
}

int slot_limit_get(const struct slot_limit *l)
{
	if (l->reported_slots > 0 && l->reported_slots < l->adaptive_slots)
		return l->reported_slots;
	return l->adaptive_slots;
}
