// Time per item of a batch's bookkeeping at two batch sizes: ordering and
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
	SMALL_BATCH = 256,
	LARGE_BATCH = 8192, ///< required samples of a step
	ITEMS_PER_GROUP = 4,
	REPEATS = 5,
};

static const char *format_text(struct arena *a, const char *form, int n)
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
		s->items[i].id =
			format_text(&s->arena, "%08x", i * 2654435761U);
		s->items[i].group =
			format_text(&s->arena, "g%d", i / ITEMS_PER_GROUP);
		s->items[i].tokens = i * 7919 % 1000;
		s->items[i].reward.id = s->items[i].id;
	}
	return s;
}

static void run_and_rate_item(struct job_run *r, int item)
{
	job_run_item_sent(r, item);
	job_run_add_event(r, item, 1, 1, "x", 1);
	job_run_attempt_ended(r, item, 0, JOB_ATTEMPT_COMPLETE);
	item = job_run_next_reward(r, 0);
	job_run_reward_sent(r, item);
	job_run_reward_ended(r, item, 0, JOB_REWARD_SCORED, 1, "seal");
}

/* Time of a batch until all items are listed, one record per group. */
static double batch_us(int items)
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

		run_and_rate_item(r, i);
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

static double min_batch_us(int items)
{
	double min_us = batch_us(items);

	for (int i = 1; i < REPEATS; i++) {
		double us = batch_us(items);

		if (us < min_us)
			min_us = us;
	}
	return min_us;
}

int main(void)
{
	double small_item_us = min_batch_us(SMALL_BATCH) / SMALL_BATCH;
	double large_item_us = min_batch_us(LARGE_BATCH) / LARGE_BATCH;

	/* A step of 8,192 samples takes minutes. Its home has 0.25 cores and may
	 * spend a hundredth of a minute on bookkeeping. */
	double bound_us = 60e6 * 0.25 / 100 / LARGE_BATCH;
	bool ok;

	ok = bench_check("job_item_at_256", small_item_us, "us", BENCH_AT_MOST,
			 bound_us);
	ok &= bench_check("job_item_at_8192", large_item_us, "us",
			  BENCH_AT_MOST, bound_us);
	return !ok;
}
