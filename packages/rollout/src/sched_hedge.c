// Hedges slow generations on another server and cancels stalled ones.
#include "sched_defs.h"

enum {
	HEDGE_MIN_RATE_MS = 500, ///< shortest time for a valid rate
};

static const double hedge_rate_ratio = 0.5; ///< of the batch's average rate

static int64_t run_silence_ms(const struct sched_run *run, int64_t now_ms)
{
	return now_ms -
	       (run->first_token_ms ? run->last_token_ms : run->begin_ms);
}

static bool run_is_slow(const struct sched *s, const struct sched_run *run,
			int64_t now_ms)
{
	int64_t ms = now_ms - run->first_token_ms;
	double made = (double)(run->sample.n - run->n_resumed);

	if (run_silence_ms(run, now_ms) >= s->opts.hedge_ms)
		return true;
	if (run->first_token_ms == 0 || ms < HEDGE_MIN_RATE_MS ||
	    run->sb->rate <= 0)
		return false;
	return made / (double)ms < hedge_rate_ratio * run->sb->rate;
}

static size_t hedge_limit(const struct sched *s, const struct sched_batch *sb)
{
	size_t n = sb->b->spec->n_slots * (size_t)s->opts.hedge_percent / 100;

	return n > 0 ? n : 1;
}

/* Hedge only the tail of a batch, when none of its slots waits. */
static bool hedge_wanted(const struct sched *s, const struct sched_run *run,
			 int64_t now_ms)
{
	const struct sched_batch *sb = run->sb;

	return s->opts.hedge_percent > 0 && sb->waiting == 0 &&
	       sb->slots[run->slot].runs == 1 &&
	       sb->hedges < hedge_limit(s, sb) && run_is_slow(s, run, now_ms);
}

/* No token for stall_ms: cancel it and resume its tokens elsewhere. */
static bool run_is_stalled(const struct sched *s, const struct sched_run *run,
			   int64_t now_ms)
{
	return run->first_token_ms > 0 &&
	       run_silence_ms(run, now_ms) >= s->opts.stall_ms;
}

void sched_check_runs(struct sched *s, int64_t now_ms)
{
	struct sched_run *run;
	htab_handle h;
	size_t iter = 0;

	while ((run = htab_next(s->runs, &iter, &h))) {
		if (run_is_stalled(s, run, now_ms)) {
			s->stats.stalled++;
			s->opts.ops->cancel(s->opts.ctx, h);
			sched_ended(s, h, SCHED_FAILED, SAMPLE_OPEN, "", 0,
				    now_ms);
		} else if (hedge_wanted(s, run, now_ms)) {
			sched_start(s, run->sb, run->slot, &run->sample, true,
				    now_ms);
		}
	}
}
