// How much load one backend server bears.
#include "slot/limit.h"

#include "slot/slot_defs.h"

static const double RECENT_WEIGHT = 0.2; ///< of a new sample
static const double USUAL_WEIGHT = 0.01; ///< of a new sample
static const double LATENCY_HIGH = 2.0; ///< times the usual: too much load

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
		.now = opts->start,
		.cut_ms = INT64_MIN / 2,
	};
}

static void limit_latency(struct slot_limit *l, double ms)
{
	if (l->usual_ms == 0) {
		l->usual_ms = ms;
		l->recent_ms = ms;
	}
	l->recent_ms += RECENT_WEIGHT * (ms - l->recent_ms);
	l->usual_ms += USUAL_WEIGHT * (ms - l->usual_ms);
}

static void limit_cut(struct slot_limit *l, int64_t now, int to)
{
	if (now - l->cut_ms < SLOT_LIFETIME_MS)
		return;
	l->cut_ms = now;
	l->oks = 0;
	l->now = clamp(to, 1, l->o.max);
}

void slot_limit_sample(struct slot_limit *l, int64_t now,
		       const struct slot_sample *s, int used)
{
	if (s->oks > 0)
		limit_latency(l, (double)s->ok_ms / s->oks);
	if (s->errors > 0) {
		limit_cut(l, now, l->now / 2);
		return;
	}
	if (l->recent_ms > LATENCY_HIGH * l->usual_ms && l->now > l->o.start) {
		limit_cut(l, now, l->now * 3 / 4);
		return;
	}
	l->oks += s->oks;
	if (l->oks >= (uint32_t)l->now && 2 * used >= l->now) {
		l->oks = 0;
		l->now = clamp(l->now + 1, 1, l->o.max);
	}
}

void slot_limit_report(struct slot_limit *l, const struct slot_report *r)
{
	bool swapped = l->version != 0 && r->version != l->version;

	l->reported = r->slots;
	l->version = r->version;
	if (swapped && l->now > l->o.start)
		l->now = l->o.start;
}

int slot_limit_get(const struct slot_limit *l)
{
	if (l->reported > 0 && l->reported < l->now)
		return l->reported;
	return l->now;
}
