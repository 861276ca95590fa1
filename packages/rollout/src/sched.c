// Adds batches and picks the next slot to start: the trainer with the fewest
// tokens served goes first.
#include "sched_defs.h"

#include <stdlib.h>
#include <string.h>

struct sched *sched_new(const struct sched_opts *opts)
{
	struct sched *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->opts = *opts;
	if (s->opts.max_runs > SCHED_MAX_RUNS)
		s->opts.max_runs = SCHED_MAX_RUNS;
	s->runs = htab_new(s->opts.max_runs, sizeof(struct sched_run));
	if (s->runs)
		return s;
	free(s);
	return NULL;
}

static void sched_batch_free(struct sched_batch *sb)
{
	for (size_t i = 0; sb->slots && i < sb->b->spec->n_slots; i++)
		sample_clear(&sb->slots[i].partial);
	free(sb->slots);
	free(sb->lengths);
	free(sb->group);
	slots_clear(&sb->unstarted);
	slots_clear(&sb->retries);
	free(sb);
}

void sched_free(struct sched *s)
{
	struct sched_run *run;
	size_t iter = 0;

	if (!s)
		return;
	while ((run = htab_next(s->runs, &iter, NULL)))
		sample_clear(&run->sample);
	for (size_t i = 0; i < s->n_batches; i++)
		sched_batch_free(s->batches[i]);
	htab_free(s->runs);
	free(s);
}

void sched_set_hedge_percent(struct sched *s, int percent)
{
	s->opts.hedge_percent = percent;
}

const struct sched_stats *sched_stats(const struct sched *s)
{
	return &s->stats;
}

size_t sched_running(const struct sched *s)
{
	return htab_count(s->runs);
}

struct sched_batch *sched_find(const struct sched *s,
			       const struct home_batch *b)
{
	for (size_t i = 0; i < s->n_batches; i++) {
		if (s->batches[i]->b == b)
			return s->batches[i];
	}
	return NULL;
}

struct sched_trainer *sched_trainer_of(struct sched *s, const void *key)
{
	for (size_t i = 0; i < s->n_trainers; i++) {
		if (s->trainers[i].key == key)
			return &s->trainers[i];
	}
	return NULL;
}

/* A new trainer starts at the lowest service count, not at zero: it
 * would hold back all others. */
static void sched_trainer_add(struct sched *s, const void *key)
{
	struct sched_trainer *t = sched_trainer_of(s, key);
	double least = 0;

	for (size_t i = 0; i < s->n_trainers; i++) {
		if (i == 0 || s->trainers[i].served_tokens < least)
			least = s->trainers[i].served_tokens;
	}
	if (!t) {
		t = &s->trainers[s->n_trainers++];
		*t = (struct sched_trainer){key, least, 0};
	}
	t->batches++;
}

static void sched_trainer_del(struct sched *s, const void *key)
{
	struct sched_trainer *t = sched_trainer_of(s, key);

	if (--t->batches == 0)
		*t = s->trainers[--s->n_trainers];
}

static struct sched_batch *sched_batch_new(struct home_batch *b,
					   const void *trainer)
{
	struct sched_batch *sb = calloc(1, sizeof(*sb));
	size_t n = b->spec->n_slots;

	if (!sb)
		return NULL;
	sb->b = b;
	sb->trainer = trainer;
	sb->sorted_at_done = SIZE_MAX;
	sb->slots = calloc(n, sizeof(*sb->slots));
	sb->lengths = calloc(b->spec->n_groups, sizeof(*sb->lengths));
	sb->group = calloc(n, sizeof(*sb->group));
	if (sb->slots && sb->lengths && sb->group)
		return sb;
	sched_batch_free(sb);
	return NULL;
}

static enum err sched_fill_slots(struct sched_batch *sb)
{
	const struct batch *spec = sb->b->spec;

	for (uint32_t g = 0; g < spec->n_groups; g++) {
		for (uint32_t i = 0; i < spec->groups[g].n; i++)
			sb->group[spec->groups[g].first + i] = g;
	}
	for (uint32_t i = (uint32_t)spec->n_slots; i-- > 0;) {
		if (sb->b->slots[i].state != HOME_EMPTY) {
			sb->slots[i].state = SCHED_DONE;
			sb->n_done++;
			continue;
		}
		if (slots_add(&sb->unstarted, i) != ERR_OK)
			return ERR_NOMEM;
		sb->waiting++;
	}
	return ERR_OK;
}

enum err sched_add(struct sched *s, struct home_batch *b, const void *trainer)
{
	struct sched_batch *sb;

	if (s->n_batches == SCHED_MAX_BATCHES)
		return ERR_FULL;
	sb = sched_batch_new(b, trainer);
	if (!sb || sched_fill_slots(sb) != ERR_OK) {
		if (sb)
			sched_batch_free(sb);
		return ERR_NOMEM;
	}
	sched_sort(s, sb);
	sched_trainer_add(s, trainer);
	s->batches[s->n_batches++] = sb;
	return ERR_OK;
}

/* Keep the order of the others: earlier batches of a trainer go first. */
static void sched_remove_batch(struct sched *s, const struct sched_batch *sb)
{
	size_t kept = 0;

	for (size_t i = 0; i < s->n_batches; i++) {
		if (s->batches[i] != sb)
			s->batches[kept++] = s->batches[i];
	}
	s->n_batches = kept;
}

void sched_del(struct sched *s, struct home_batch *b)
{
	struct sched_batch *sb = sched_find(s, b);

	if (!sb)
		return;
	for (uint32_t i = 0; i < b->spec->n_slots; i++)
		sched_cancel_slot(s, sb, i);
	sched_remove_batch(s, sb);
	sched_trainer_del(s, sb->trainer);
	sched_batch_free(sb);
}

void sched_requeue(struct sched *s, struct sched_batch *sb, uint32_t slot,
		   int64_t not_before_ms)
{
	struct sched_slot *sl = &sb->slots[slot];

	if (sl->state == SCHED_RUNNING)
		sb->running--;
	if (sl->state == SCHED_DONE)
		sb->n_done--;
	sl->state = SCHED_WAITING;
	sl->not_before_ms = not_before_ms;
	sb->waiting++;
	slots_add(&sb->retries, slot);
}

void sched_add_dropped(struct sched *s, struct home_batch *b, uint32_t slot)
{
	struct sched_batch *sb = sched_find(s, b);

	if (!sb || sb->slots[slot].state != SCHED_DONE)
		return;
	s->stats.stale++;
	sample_clear(&sb->slots[slot].partial);
	sched_requeue(s, sb, slot, 0);
}

/* Next slot that may start; retries go first. */
static bool sched_next_slot(struct sched *s, struct sched_batch *sb,
			    int64_t now_ms, uint32_t *slot)
{
	for (size_t i = 0; i < sb->retries.n; i++) {
		*slot = sb->retries.v[i];
		if (sb->slots[*slot].not_before_ms > now_ms)
			continue;
		memmove(&sb->retries.v[i], &sb->retries.v[i + 1],
			(sb->retries.n - i - 1) * sizeof(*sb->retries.v));
		sb->retries.n--;
		return true;
	}
	if (sb->unstarted.n == 0)
		return false;
	sched_sort(s, sb);
	*slot = sb->unstarted.v[--sb->unstarted.n];
	return true;
}

static bool sched_may_start(const struct sched_batch *sb, int64_t now_ms)
{
	if (sb->unstarted.n > 0)
		return true;
	for (size_t i = 0; i < sb->retries.n; i++) {
		if (sb->slots[sb->retries.v[i]].not_before_ms <= now_ms)
			return true;
	}
	return false;
}

static struct sched_batch *sched_pick_batch(struct sched *s, int64_t now_ms)
{
	struct sched_batch *best = NULL;
	double least = 0;

	for (size_t i = 0; i < s->n_batches; i++) {
		struct sched_batch *sb = s->batches[i];
		double served_tokens =
			sched_trainer_of(s, sb->trainer)->served_tokens;

		if ((best && served_tokens >= least) ||
		    !sched_may_start(sb, now_ms))
			continue;
		best = sb;
		least = served_tokens;
	}
	return best;
}

static bool sched_start_next(struct sched *s, int64_t now_ms)
{
	struct sched_batch *sb = sched_pick_batch(s, now_ms);
	uint32_t slot;

	if (!sb || !sched_next_slot(s, sb, now_ms, &slot))
		return false;
	sb->waiting--;
	sb->running++;
	sb->slots[slot].state = SCHED_RUNNING;
	if (sched_start(s, sb, slot, &sb->slots[slot].partial, false, now_ms))
		return true;
	sched_requeue(s, sb, slot, now_ms);
	return false;
}

void sched_tick(struct sched *s, int64_t now_ms)
{
	sched_check_runs(s, now_ms);
	while (now_ms >= s->hold_until_ms && s->queued < s->opts.max_queued &&
	       htab_count(s->runs) < s->opts.max_runs) {
		if (!sched_start_next(s, now_ms))
			return;
	}
}
