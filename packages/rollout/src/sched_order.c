// Order in which a batch's waiting slots start.
#include <stdlib.h>
#include <string.h>

#include "sched_defs.h"

enum {
	RESORT_PARTS = 16, ///< sort again after 1/16 of the slots completed
};

uint64_t sched_expected_tokens(const struct sched_batch *sb, uint32_t slot)
{
	uint32_t group = sb->group[slot];
	const struct sched_length_stats *l = &sb->lengths[group];

	if (l->n > 0)
		return l->tokens / l->n;
	return sb->b->spec->groups[group].expect_tokens;
}

void sched_record_length(struct sched_batch *sb, uint32_t slot, size_t tokens)
{
	struct sched_length_stats *l = &sb->lengths[sb->group[slot]];

	l->tokens += tokens;
	l->n++;
}

struct sched_key {
	uint64_t expect;
	uint32_t index; ///< in its group; the first show the length
	uint32_t slot;
};

/* The next slot to start sorts last. */
static int sched_key_cmp(const void *a, const void *b)
{
	const struct sched_key *x = a;
	const struct sched_key *y = b;

	if (x->expect != y->expect)
		return x->expect < y->expect ? -1 : 1;
	if (x->index != y->index)
		return x->index > y->index ? -1 : 1;
	return x->slot > y->slot ? -1 : x->slot < y->slot;
}

static void sched_sort_longest(struct sched_batch *sb)
{
	struct sched_key *keys = calloc(sb->unstarted.n + 1, sizeof(*keys));

	if (!keys)
		return;
	for (size_t i = 0; i < sb->unstarted.n; i++) {
		uint32_t slot = sb->unstarted.v[i];

		keys[i].slot = slot;
		keys[i].expect = sched_expected_tokens(sb, slot);
		keys[i].index =
			slot - sb->b->spec->groups[sb->group[slot]].first;
	}
	qsort(keys, sb->unstarted.n, sizeof(*keys), sched_key_cmp);
	for (size_t i = 0; i < sb->unstarted.n; i++)
		sb->unstarted.v[i] = keys[i].slot;
	free(keys);
}

static void sched_shuffle(struct sched *s, struct slots *order)
{
	for (size_t i = order->n; i > 1; i--) {
		size_t j = rng_below(&s->opts.rng, i);
		uint32_t t = order->v[i - 1];

		order->v[i - 1] = order->v[j];
		order->v[j] = t;
	}
}

void sched_sort(struct sched *s, struct sched_batch *sb)
{
	size_t step = sb->b->spec->n_slots / RESORT_PARTS + 1;
	bool first = sb->sorted_at_done == SIZE_MAX;

	if (!first && sb->n_done < sb->sorted_at_done + step)
		return;
	sb->sorted_at_done = sb->n_done;
	if (s->opts.order == SCHED_LONGEST)
		sched_sort_longest(sb);
	else if (first && s->opts.order == SCHED_RANDOM)
		sched_shuffle(s, &sb->unstarted);
}
