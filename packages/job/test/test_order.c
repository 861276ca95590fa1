// Start order of a batch's samples when slots are few and the trainer waits for a
// share of the groups only.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <stdio.h>

#include "base/rng.h"
#include "job/job_run.h"
#include "job/recent.h"

enum {
	GROUPS = 32,
	GROUP_SIZE = 8,
	ITEMS = GROUPS * GROUP_SIZE,
	TARGET_GROUPS = 29, ///< 90% of the groups
	EVENT_MS = 49,
	EVENTS_LONGEST = 144,
	GIVE_UP_MS = 1000000,
	SEEDS = 20,
	CARRIED_GROUPS = 3, ///< carried over from an earlier step
	INTERRUPTED_ONE_IN = 5, ///< one in so many attempts is interrupted
};

static struct job_spec *spec_new(int target)
{
	struct job_spec *s = calloc(1, sizeof(*s));

	arena_init(&s->arena, 0);
	s->items = arena_alloc(&s->arena, ITEMS * sizeof(*s->items));
	memset(s->items, 0, ITEMS * sizeof(*s->items));
	s->n_items = ITEMS;
	s->min_version = 1;
	s->target_groups = target;
	for (int i = 0; i < ITEMS; i++) {
		char text[16];

		snprintf(text, sizeof(text), "i%d", i);
		s->items[i].id = arena_strdup(&s->arena, text);
		snprintf(text, sizeof(text), "g%d", i / GROUP_SIZE);
		s->items[i].group = arena_strdup(&s->arena, text);
	}
	return s;
}

static struct job_run *run_new(const struct job_spec *s)
{
	const struct job_run_opts opts = {
		.max_failures = 1, .due_ms = 7500, .give_up_ms = GIVE_UP_MS};

	return job_run_new(s, &opts);
}

/* Heavy-tailed lengths; hints are off by up to 50%. */
static void init_lengths(struct job_spec *s, struct rng *rng, int *events)
{
	for (int i = 0; i < ITEMS; i++) {
		events[i] = rng_below(rng, 20) == 0
				    ? EVENTS_LONGEST
				    : 1 + (int)rng_below(rng, 30);
		s->items[i].length_hint =
			1 + events[i] * (50 + (int)rng_below(rng, 100)) / 100;
	}
}

struct sim {
	struct job_run *run;
	int64_t end_ms[ITEMS]; ///< end of the attempt, 0: not in flight
	int run_events[ITEMS]; ///< events of the attempt in flight
	int events[ITEMS]; ///< length of each sample
	int unfinished[GROUPS]; ///< incomplete samples of each group
	int complete_groups;
};

/* One attempt in INTERRUPTED_ONE_IN ends at a random event; its text is kept. */
static void start_item(struct sim *sim, struct rng *rng, int i, int64_t now)
{
	int missing =
		sim->events[i] - (int)job_run_text(sim->run, i)->last_event;

	sim->run_events[i] = missing;
	if (rng_below(rng, INTERRUPTED_ONE_IN) == 0)
		sim->run_events[i] = (int)rng_below(rng, (uint64_t)missing);
	sim->end_ms[i] = now + 1 + sim->run_events[i] * (int64_t)EVENT_MS;
	job_run_item_sent(sim->run, i);
}

static void end_item(struct sim *sim, int i, int64_t now)
{
	const struct job_text *t = job_run_text(sim->run, i);

	sim->end_ms[i] = 0;
	for (int k = 0; k < sim->run_events[i]; k++)
		assert_int_equal(job_run_add_event(sim->run, i,
						   t->last_event + 1, 1, "x",
						   1),
				 ERR_OK);
	if ((int)t->last_event < sim->events[i]) {
		job_run_attempt_ended(sim->run, i, now,
				      JOB_ATTEMPT_INTERRUPTED);
		return;
	}
	job_run_attempt_ended(sim->run, i, now, JOB_ATTEMPT_COMPLETE);
	sim->complete_groups += --sim->unfinished[i / GROUP_SIZE] == 0;
}

static bool carried_complete(const struct sim *sim)
{
	for (int i = 0; i < CARRIED_GROUPS; i++) {
		if (sim->unfinished[i])
			return false;
	}
	return true;
}

/* Simulate a batch; returns the time at which TARGET_GROUPS groups are complete.
 *
 * @param carried          the first CARRIED_GROUPS groups were carried over
 * @param[out] carried_ms  time at which those groups are complete */
static int64_t simulate(int target, int slots, uint64_t seed, bool carried,
			int64_t *carried_ms)
{
	static struct sim sim;
	struct rng rng = {seed};
	struct job_spec *s = spec_new(target);
	int64_t target_ms = 0;
	int64_t now = 0;
	int in_flight = 0;
	int item;

	*carried_ms = 0;
	memset(&sim, 0, sizeof(sim));
	init_lengths(s, &rng, sim.events);
	for (int i = 0; i < CARRIED_GROUPS * GROUP_SIZE; i++)
		s->items[i].carried = carried;
	sim.run = run_new(s);
	for (int i = 0; i < GROUPS; i++)
		sim.unfinished[i] = GROUP_SIZE;
	for (; !target_ms || !*carried_ms; now += 7) {
		for (int i = 0; i < ITEMS; i++) {
			if (!sim.end_ms[i] || sim.end_ms[i] > now)
				continue;
			end_item(&sim, i, now);
			in_flight--;
		}
		if (!target_ms && sim.complete_groups >= TARGET_GROUPS)
			target_ms = now;
		if (!*carried_ms && carried_complete(&sim))
			*carried_ms = now;
		while (in_flight < slots &&
		       (item = job_run_next_item(sim.run, now)) >= 0) {
			start_item(&sim, &rng, item, now);
			in_flight++;
		}
	}
	job_run_free(sim.run);
	job_spec_free(s);
	return target_ms;
}

static int64_t mean_target_ms(int target, int slots, bool carried,
			      int64_t *carried_ms)
{
	int64_t sum = 0;

	*carried_ms = 0;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int64_t ms;

		sum += simulate(target, slots, seed, carried, &ms);
		*carried_ms += ms / SEEDS;
	}
	return sum / SEEDS;
}

/* With few slots and interrupted attempts, samples of groups that the trainer does not
 * wait for must not take slots from those that it waits for. */
static void test_groups_nearest_completion_start_first(void **state)
{
	static const int slots[] = {16, 24, 48, 96, ITEMS};

	for (size_t i = 0; i < sizeof(slots) / sizeof(*slots); i++) {
		int64_t ms;
		int64_t without_ms = mean_target_ms(0, slots[i], false, &ms);
		int64_t with_ms =
			mean_target_ms(TARGET_GROUPS, slots[i], false, &ms);

		print_message("%d slots: %lld ms, %lld ms without the rule\n",
			      slots[i], (long long)with_ms,
			      (long long)without_ms);
		/* With enough slots the rule may not cost time. */
		assert_true(with_ms <= without_ms + without_ms / 100);
		assert_true(slots[i] > 24 || with_ms < without_ms * 97 / 100);
	}
}

/* A group with an abandoned sample can't become complete: its other samples still run,
 * after all others. */
static void test_groups_with_abandoned_sample_start_last(void **state)
{
	struct job_spec *s = spec_new(TARGET_GROUPS);
	struct job_run *r;
	int item;

	s->items[1].length_hint = 50;
	s->items[0].length_hint = 100;
	r = run_new(s);
	assert_int_equal(job_run_next_item(r, 0), 0);
	job_run_item_sent(r, 0);
	job_run_attempt_ended(r, 0, 0, JOB_ATTEMPT_FAILED);
	for (int i = 1; i < ITEMS; i++) {
		item = job_run_next_item(r, 0);
		assert_int_equal(item / GROUP_SIZE == 0,
				 i > ITEMS - GROUP_SIZE);
		assert_int_equal(job_run_item_sent(r, item), ERR_OK);
	}
	assert_int_equal(job_run_next_item(r, 0), -1);
	job_run_free(r);
	job_spec_free(s);
}

static void name_items(struct job_spec *s, const char *batch, int step)
{
	strcpy(s->id, batch);
	strcpy(s->team, "t");
	s->model = "m";
	for (int i = 0; i < ITEMS; i++) {
		char text[32];

		/* The first groups are carried over from step 0. */
		snprintf(text, sizeof(text), "s%d-%d",
			 i < CARRIED_GROUPS * GROUP_SIZE ? 0 : step, i);
		s->items[i].id = arena_strdup(&s->arena, text);
	}
}

/* Groups that a trainer submitted again could start last again and delay one step after
 * the other. They are recognized by their items' ids and start first, also before
 * longer samples. */
static void test_carried_groups_start_first(void **state)
{
	struct job_spec *earlier = spec_new(TARGET_GROUPS);
	struct job_spec *s = spec_new(TARGET_GROUPS);
	struct job_recent recent = {0};
	struct job_run *r;

	name_items(earlier, "b0", 0);
	name_items(s, "b1", 1);
	s->items[ITEMS - 1].length_hint = EVENTS_LONGEST;
	assert_int_equal(job_recent_mark_carried(&recent, earlier), 0);
	/* The same batch restarts at this node: nothing is carried over. */
	assert_int_equal(job_recent_mark_carried(&recent, earlier), 0);
	assert_int_equal(job_recent_mark_carried(&recent, s),
			 CARRIED_GROUPS * GROUP_SIZE);
	r = run_new(s);
	for (int i = 0; i < CARRIED_GROUPS * GROUP_SIZE; i++) {
		int item = job_run_next_item(r, 0);

		assert_true(item < CARRIED_GROUPS * GROUP_SIZE);
		job_run_item_sent(r, item);
	}
	assert_int_equal(job_run_next_item(r, 0), ITEMS - 1);
	/* Equal ids of another team don't count. */
	strcpy(s->team, "u");
	assert_int_equal(job_recent_mark_carried(&recent, s), 0);
	job_run_free(r);
	/* Older batches are replaced after RECENT_BATCHES_MAX. */
	strcpy(s->team, "t");
	for (int i = 0; i < RECENT_BATCHES_MAX; i++) {
		snprintf(earlier->id, sizeof(earlier->id), "x%d", i);
		strcpy(earlier->team, "v");
		job_recent_mark_carried(&recent, earlier);
	}
	strcpy(s->id, "b2");
	assert_int_equal(job_recent_mark_carried(&recent, s), 0);
	job_recent_free(&recent);
	job_spec_free(earlier);
	job_spec_free(s);
}

/* A step with carried-over groups on few slots: these become complete earlier, and the
 * target is reached at most 5% later. */
static void test_carried_groups_complete_sooner(void **state)
{
	static const int slots[] = {16, 24, 96};

	for (size_t i = 0; i < sizeof(slots) / sizeof(*slots); i++) {
		int64_t carried_with_ms, carried_without_ms;
		int64_t with_ms = mean_target_ms(TARGET_GROUPS, slots[i], true,
						 &carried_with_ms);
		int64_t without_ms = mean_target_ms(TARGET_GROUPS, slots[i],
						    false, &carried_without_ms);

		print_message("%d slots: carried groups complete at %lld ms, "
			      "%lld without the rule; target %lld ms, %lld\n",
			      slots[i], (long long)carried_with_ms,
			      (long long)carried_without_ms, (long long)with_ms,
			      (long long)without_ms);
		assert_true(carried_with_ms <=
			    carried_without_ms + carried_without_ms / 100);
		assert_true(slots[i] > 24 ||
			    carried_with_ms < carried_without_ms * 8 / 10);
		assert_true(with_ms <= without_ms + without_ms / 20);
	}
}

/* From the give-up time on no attempt starts, neither a first one nor a retry; items
 * in flight may complete. */
static void test_nothing_starts_past_give_up_time(void **state)
{
	struct job_spec *s = spec_new(TARGET_GROUPS);
	struct job_run *r = run_new(s);

	job_run_item_sent(r, 0);
	job_run_item_sent(r, 1);
	job_run_attempt_ended(r, 1, GIVE_UP_MS - 1, JOB_ATTEMPT_INTERRUPTED);
	assert_int_equal(job_run_next_item(r, GIVE_UP_MS), -1);
	assert_int_equal(job_run_count(r, JOB_WAITING), 0);
	assert_int_equal(job_run_add_event(r, 0, 1, 1, "x", 1), ERR_OK);
	job_run_attempt_ended(r, 0, GIVE_UP_MS + 1, JOB_ATTEMPT_COMPLETE);
	assert_int_equal(job_run_count(r, JOB_FINISHED), ITEMS);
	job_run_free(r);
	job_spec_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_groups_nearest_completion_start_first),
		cmocka_unit_test(test_groups_with_abandoned_sample_start_last),
		cmocka_unit_test(test_carried_groups_start_first),
		cmocka_unit_test(test_carried_groups_complete_sooner),
		cmocka_unit_test(test_nothing_starts_past_give_up_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
