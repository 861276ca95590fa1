// CPU cost per item of a batch's bookkeeping at two batch sizes: ordering and
// grouping at its start, and applying each record while items are rated and listed.
#include <stdio.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "job/job_list.h"
#include "job/job_run.h"
#include "support/bench.h"

enum {
	SMALL = 256,
	LARGE = 8192, ///< required samples of a step
	GROUP = 4,
	REPEATS = 5,
};

static const char *text_of(struct arena *a, const char *form, int n)
{
	char text[32];

	snprintf(text, sizeof(text), form, n);
	return arena_strdup(a, text);
}

static struct job_spec *spec_new(int items)
{
	struct job_spec *s = calloc(1, sizeof(*s));

	arena_init(&s->arena, 0);
	s->items = arena_alloc(&s->arena, (size_t)items * sizeof(*s->items));
	s->n_items = (size_t)items;
	s->min_version = 1;
	for (int i = 0; i < items; i++) {
		s->items[i].id = text_of(&s->arena, "%08x", i * 2654435761U);
		s->items[i].group = text_of(&s->arena, "g%d", i / GROUP);
		s->items[i].tokens = i * 7919 % 1000;
		s->items[i].reward.id = s->items[i].id;
	}
	return s;
}

static void rate(struct job_run *r, int item)
{
	job_run_item_sent(r, item);
	job_run_add_event(r, item, 1, 1, "x", 1);
	job_run_attempt_ended(r, item, 0, JOB_ATTEMPT_COMPLETE);
	item = job_run_next_reward(r, 0);
	job_run_reward_sent(r, item);
	job_run_reward_ended(r, item, 0, JOB_REWARD_SCORED, 1, "seal");
}

/* Time from the start of a batch until all its items are listed, one record per
 * group. */
static double whole_batch_us(int items)
{
	const struct job_run_opts opts = {.max_failures = 1,
					  .give_up_ms = INT64_MAX};
	struct job_spec *s = spec_new(items);
	struct job_result *out = calloc((size_t)items, sizeof(*out));
	struct job_list list;
	struct job_run *r;
	int64_t start = clock_now_us();
	int64_t end;

	job_list_init(&list);
	r = job_run_new(s, &opts);
	for (int i = 0; i < items; i++) {
		char *record;
		size_t n;

		rate(r, i);
		n = job_run_flush(r, 0, false, SIZE_MAX, out);
		if (!n)
			continue;
		record = job_record_encode("bench", out, n);
		job_list_add(&list, list.records, record, strlen(record));
		job_run_apply_list(r, &list);
		free(record);
	}
	end = clock_now_us();
	if (!job_run_all_listed(r))
		abort();
	job_run_free(r);
	job_list_free(&list);
	job_spec_free(s);
	free(out);
	return (double)(end - start);
}

static double least_us(int items)
{
	double least = whole_batch_us(items);

	for (int i = 1; i < REPEATS; i++) {
		double us = whole_batch_us(items);

		if (us < least)
			least = us;
	}
	return least;
}

int main(void)
{
	double small = least_us(SMALL) / SMALL;
	double large = least_us(LARGE) / LARGE;

	/* A step of 8,192 samples takes minutes. Its home node has 0.25 cores and
	 * may spend a hundredth of one minute of them on bookkeeping. */
	double bound = 60e6 * 0.25 / 100 / LARGE;
	bool ok;

	ok = bench_check("job_item_at_256", small, "us", BENCH_AT_MOST, bound);
	ok &= bench_check("job_item_at_8192", large, "us", BENCH_AT_MOST,
			  bound);
	return !ok;
}
