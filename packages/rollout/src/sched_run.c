// Life of one generation from its start to its end.
#include <stdio.h>
#include <string.h>

#include "sched_defs.h"

enum {
	RETRY_MS = 100, ///< delay before a failed generation resumes
};

static const double rate_ewma_weight = 0.1; ///< EWMA weight of the newest run

static uint64_t sched_cost(const struct sched_batch *sb, uint32_t slot,
			   const struct sample *resume_from)
{
	uint64_t expect = sched_expected_tokens(sb, slot);

	return expect > resume_from->n ? expect - resume_from->n : 1;
}

bool sched_start(struct sched *s, struct sched_batch *sb, uint32_t slot,
		 const struct sample *resume_from, bool hedge, int64_t now_ms)
{
	struct sched_start start = {
		.batch = sb->b,
		.slot = slot,
		.resume_from = resume_from,
		.avoid = sb->slots[slot].avoid,
		.cost = sched_cost(sb, slot, resume_from),
		.hedge = hedge,
	};
	struct sched_run *run = htab_add(s->runs, &start.run);

	if (!run)
		return false;
	run->sb = sb;
	run->slot = slot;
	run->n_resumed = resume_from->n;
	run->begin_ms = now_ms;
	run->hedge = hedge;
	if (sample_copy(&run->sample, resume_from) != ERR_OK) {
		htab_del(s->runs, start.run);
		return false;
	}
	sb->slots[slot].runs++;
	sb->hedges += hedge;
	s->queued++;
	s->stats.started++;
	s->stats.hedged += hedge;
	s->stats.resumed += resume_from->n > 0;
	sched_trainer_of(s, sb->trainer)->served_tokens += (double)start.cost;
	s->opts.ops->start(s->opts.ctx, &start);
	return true;
}

/* Replace the expected cost, charged at the start, by the actual tokens. */
static void sched_charge_actual(struct sched *s, const struct sched_run *run)
{
	struct sample resume_from = {.n = run->n_resumed};
	double cost = (double)sched_cost(run->sb, run->slot, &resume_from);
	double made = (double)(run->sample.n - run->n_resumed);

	sched_trainer_of(s, run->sb->trainer)->served_tokens += made - cost;
}

void sched_run_del(struct sched *s, htab_handle h)
{
	struct sched_run *run = htab_get(s->runs, h);

	sched_charge_actual(s, run);
	if (run->first_token_ms == 0)
		s->queued--;
	run->sb->slots[run->slot].runs--;
	run->sb->hedges -= run->hedge;
	sample_clear(&run->sample);
	htab_del(s->runs, h);
}

void sched_cancel_slot(struct sched *s, struct sched_batch *sb, uint32_t slot)
{
	struct sched_run *run;
	htab_handle h;
	size_t iter = 0;

	while (sb->slots[slot].runs > 0 &&
	       (run = htab_next(s->runs, &iter, &h))) {
		if (run->sb != sb || run->slot != slot)
			continue;
		s->stats.wasted_tokens += run->sample.n - run->n_resumed;
		s->opts.ops->cancel(s->opts.ctx, h);
		sched_run_del(s, h);
	}
}

enum err sched_tokens(struct sched *s, htab_handle h, uint64_t version,
		      const uint32_t *tokens, size_t n, int64_t now_ms)
{
	struct sched_run *run = htab_get(s->runs, h);

	if (!run)
		return ERR_STALE_HANDLE;
	if (run->first_token_ms == 0) {
		run->first_token_ms = now_ms;
		s->queued--;
	}
	run->last_token_ms = now_ms;
	return sample_add(&run->sample, version, tokens, n);
}

static void sched_update_rate(struct sched_run *run, int64_t now_ms)
{
	double ms = (double)(now_ms - run->first_token_ms);
	double rate;

	if (run->first_token_ms == 0 || ms <= 0)
		return;
	rate = (double)(run->sample.n - run->n_resumed) / ms;
	if (run->sb->rate <= 0)
		run->sb->rate = rate;
	else
		run->sb->rate += rate_ewma_weight * (rate - run->sb->rate);
}

/* A complete sample finishes the slot, unless it is stale. */
static void sched_run_completed(struct sched *s, htab_handle h,
				struct sched_run *run, int64_t now_ms)
{
	struct sched_batch *sb = run->sb;
	uint32_t slot = run->slot;
	struct sample sample = run->sample;

	sched_update_rate(run, now_ms);
	sched_record_length(sb, slot, sample.n);
	s->stats.hedge_won += run->hedge;
	run->sample = (struct sample){.n = sample.n};
	sched_run_del(s, h);
	sched_cancel_slot(s, sb, slot);
	sample_clear(&sb->slots[slot].partial);
	snprintf(sb->slots[slot].avoid, SCHED_SERVER_SIZE, "%s", sample.server);
	sb->slots[slot].state = SCHED_DONE;
	sb->running--;
	sb->n_done++;
	if (s->opts.ops->finished(s->opts.ctx, sb->b, slot, &sample))
		return;
	s->stats.stale++;
	s->stats.wasted_tokens += sample.n;
	sample_clear(&sample);
	sched_requeue(s, sb, slot, now_ms + RETRY_MS);
}

/* Keep the tokens so far; requeue the slot if no other generation runs. */
static void sched_run_failed(struct sched *s, htab_handle h,
			     struct sched_run *run, int64_t not_before_ms)
{
	struct sched_batch *sb = run->sb;
	uint32_t slot = run->slot;
	struct sched_slot *sl = &sb->slots[slot];

	if (run->sample.n > sl->partial.n) {
		struct sample keep = run->sample;

		sample_clear(&sl->partial);
		sl->partial = keep;
		run->sample = (struct sample){.n = keep.n};
	}
	sched_run_del(s, h);
	if (sl->runs == 0)
		sched_requeue(s, sb, slot, not_before_ms);
}

void sched_ended(struct sched *s, htab_handle h, enum sched_end end,
		 enum sample_finish finish, const char *server,
		 int64_t retry_after_ms, int64_t now_ms)
{
	struct sched_run *run = htab_get(s->runs, h);

	if (!run)
		return;
	snprintf(run->sample.server, SAMPLE_SERVER_SIZE, "%s", server);
	run->sample.finish = finish;
	if (end == SCHED_COMPLETED) {
		sched_run_completed(s, h, run, now_ms);
		return;
	}
	if (end == SCHED_REFUSED) {
		s->hold_until_ms = now_ms + retry_after_ms;
		sched_run_failed(s, h, run, now_ms + retry_after_ms);
		return;
	}
	s->stats.broken++;
	if (*server)
		snprintf(run->sb->slots[run->slot].avoid, SCHED_SERVER_SIZE,
			 "%s", server);
	sched_run_failed(s, h, run, now_ms + RETRY_MS);
}

static void sched_drop_partial(struct sched_batch *sb, uint32_t slot,
			       uint64_t version)
{
	struct sample *p = &sb->slots[slot].partial;

	if (!sample_is_fresh(p, version, sb->b->spec->max_staleness))
		sample_clear(p);
}

void sched_raise_version(struct sched *s, struct home_batch *b,
			 uint64_t version)
{
	struct sched_batch *sb = sched_find(s, b);
	struct sched_run *run;
	htab_handle h;
	size_t iter = 0;

	if (!sb)
		return;
	for (uint32_t i = 0; i < b->spec->n_slots; i++)
		sched_drop_partial(sb, i, version);
	while ((run = htab_next(s->runs, &iter, &h))) {
		uint32_t slot = run->slot;

		if (run->sb != sb || sample_is_fresh(&run->sample, version,
						     b->spec->max_staleness))
			continue;
		s->stats.stale++;
		s->stats.wasted_tokens += run->sample.n - run->n_resumed;
		s->opts.ops->cancel(s->opts.ctx, h);
		sched_run_del(s, h);
		if (sb->slots[slot].runs == 0)
			sched_requeue(s, sb, slot, 0);
	}
}
