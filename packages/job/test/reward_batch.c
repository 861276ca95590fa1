// Fixtures: batches whose items need rewards.
#include "reward_batch.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const char *format_name(struct arena *a, const char *format, int n)
{
	char text[32];

	snprintf(text, sizeof(text), format, n);
	return arena_strdup(a, text);
}

struct job_spec *reward_spec_new(int items, int group)
{
	struct job_spec *s = calloc(1, sizeof(*s));

	arena_init(&s->arena, 0);
	s->items = arena_alloc(&s->arena, (size_t)items * sizeof(*s->items));
	s->n_items = (size_t)items;
	s->min_version = 1;
	for (int i = 0; i < items; i++) {
		struct job_item *it = &s->items[i];

		it->id = format_name(&s->arena, "i%d", i);
		it->group = format_name(&s->arena, "g%d", i / group);
		it->reward.id = format_name(&s->arena, "r%d", i);
		it->reward.host = "h";
		it->reward.path = "/rate";
	}
	return s;
}

struct job_run *reward_run_new(const struct job_spec *s, bool one_version)
{
	const struct job_run_opts opts = {
		.max_failures = 2,
		.one_version = one_version,
		.give_up_ms = REWARD_GIVE_UP_MS,
	};

	return job_run_new(s, &opts);
}

void reward_generate_item(struct job_run *r, int item, int events, int64_t now)
{
	job_run_item_sent(r, item);
	for (int e = 1; e <= events; e++)
		assert_int_equal(
			job_run_add_event(r, item, (uint64_t)e, 1, "ab", 2),
			ERR_OK);
	job_run_attempt_ended(r, item, now, JOB_ATTEMPT_COMPLETE);
}
