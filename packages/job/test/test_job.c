// A batch's run and list: result positions never change, texts are complete, weight
// versions are correct.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <stdio.h>

#include "base/rng.h"
#include "job/job_list.h"
#include "job/job_run.h"
#include "job/job_texts.h"

enum {
	ITEMS = 6,
	GROUP_SIZE = 2,
};

static struct job_spec *spec_new(void)
{
	struct job_spec *s = calloc(1, sizeof(*s));

	arena_init(&s->arena, 0);
	s->items = arena_alloc(&s->arena, ITEMS * sizeof(*s->items));
	s->n_items = ITEMS;
	s->min_version = 3;
	for (int i = 0; i < ITEMS; i++) {
		char text[16];

		snprintf(text, sizeof(text), "i%d", i);
		s->items[i].id = arena_strdup(&s->arena, text);
		snprintf(text, sizeof(text), "g%d", i / GROUP_SIZE);
		s->items[i].group = arena_strdup(&s->arena, text);
		s->items[i].length_hint = i + 1;
	}
	return s;
}

static struct job_run *run_new(const struct job_spec *s, bool one_version)
{
	const struct job_run_opts opts = {
		.max_failures = 2,
		.one_version = one_version,
		.due_ms = 7500,
		.give_up_ms = 10000,
	};

	return job_run_new(s, &opts);
}

static void finish_item(struct job_run *r, int item, int64_t now)
{
	uint64_t next = job_run_text(r, item)->last_event + 1;

	assert_int_equal(job_run_add_event(r, item, next, 3, "x", 1), ERR_OK);
	job_run_attempt_ended(r, item, now, JOB_ATTEMPT_COMPLETE);
}

static void test_longest_items_start_first(void **state)
{
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);

	for (int i = ITEMS - 1; i >= 0; i--) {
		assert_int_equal(job_run_next_item(r, 0), i);
		job_run_item_sent(r, i);
	}
	assert_int_equal(job_run_next_item(r, 0), -1);
	job_run_free(r);
	job_spec_free(s);
}

static void test_interrupted_text_resumes_in_order(void **state)
{
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);
	const struct job_text *t = job_run_text(r, 5);

	job_run_item_sent(r, job_run_next_item(r, 0));
	assert_int_equal(job_run_add_event(r, 5, 1, 3, "a", 1), ERR_OK);
	/* Gap, repeated event, weights too old, weights unknown. */
	assert_int_equal(job_run_add_event(r, 5, 3, 3, "c", 1), ERR_INVALID);
	assert_int_equal(job_run_add_event(r, 5, 1, 3, "a", 1), ERR_INVALID);
	assert_int_equal(job_run_add_event(r, 5, 2, 2, "b", 1), ERR_INVALID);
	assert_int_equal(job_run_add_event(r, 5, 2, 0, "b", 1), ERR_INVALID);
	job_run_attempt_ended(r, 5, 10, JOB_ATTEMPT_INTERRUPTED);
	assert_int_equal(t->last_event, 1);
	/* Late events of the interrupted attempt are rejected. */
	assert_int_equal(job_run_add_event(r, 5, 2, 3, "b", 1), ERR_INVALID);
	assert_int_not_equal(job_run_next_item(r, 10), 5);
	assert_int_equal(job_run_next_item(r, 100), 5);
	job_run_item_sent(r, 5);
	assert_int_equal(job_run_add_event(r, 5, 2, 4, "b", 1), ERR_OK);
	assert_int_equal(t->len, 3);
	assert_memory_equal(t->buf, "a\nb", 3);
	assert_int_equal(t->n_versions, 2);
	assert_int_equal(t->versions[1], 4);
	job_run_free(r);
	job_spec_free(s);
}

/* Guards against an item that is sent again and again and never complete: its text has as many
 * weight versions as a result can name, and the next event has another one. */
static void test_text_of_too_many_versions_starts_over(void **state)
{
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);
	const struct job_text *t = job_run_text(r, 0);
	uint64_t version = 3;
	uint64_t event = 1;

	job_run_item_sent(r, 0);
	for (; event <= JOB_VERSIONS_MAX; event++)
		assert_int_equal(
			job_run_add_event(r, 0, event, version++, "a", 1),
			ERR_OK);
	assert_int_equal(job_run_add_event(r, 0, event, version, "b", 1),
			 ERR_INVALID);
	job_run_attempt_ended(r, 0, 10, JOB_ATTEMPT_INTERRUPTED);
	assert_int_equal(t->last_event, 0);
	job_run_item_sent(r, 0);
	assert_int_equal(job_run_add_event(r, 0, 1, version, "a", 1), ERR_OK);
	assert_int_equal(t->n_versions, 1);
	job_run_free(r);
	job_spec_free(s);
}

/* A text was listed as completed although its stream, which stated no end, was cut at the
 * end of an event; servers that state none must complete theirs, too. */
static void test_text_of_unknown_end_is_complete_once_confirmed(void **state)
{
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);

	job_run_item_sent(r, 0);
	assert_int_equal(job_run_add_event(r, 0, 1, 3, "a", 1), ERR_OK);
	job_run_attempt_ended(r, 0, 0, JOB_ATTEMPT_UNFRAMED);
	assert_int_equal(job_run_phase(r, 0), JOB_WAITING);
	job_run_item_sent(r, 0);
	assert_int_equal(job_run_add_event(r, 0, 2, 3, "b", 1), ERR_OK);
	job_run_attempt_ended(r, 0, 0, JOB_ATTEMPT_UNFRAMED);
	assert_int_equal(job_run_phase(r, 0), JOB_WAITING);
	job_run_item_sent(r, 0);
	job_run_attempt_ended(r, 0, 0, JOB_ATTEMPT_UNFRAMED);
	assert_int_equal(job_run_phase(r, 0), JOB_FINISHED);
	/* A stream that states its end confirms it as well. */
	job_run_item_sent(r, 1);
	assert_int_equal(job_run_add_event(r, 1, 1, 3, "a", 1), ERR_OK);
	job_run_attempt_ended(r, 1, 0, JOB_ATTEMPT_UNFRAMED);
	job_run_item_sent(r, 1);
	job_run_attempt_ended(r, 1, 0, JOB_ATTEMPT_EMPTY);
	assert_int_equal(job_run_phase(r, 1), JOB_FINISHED);
	job_run_free(r);
	job_spec_free(s);
}

static void test_one_version_restarts_interrupted_text(void **state)
{
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, true);

	job_run_item_sent(r, 0);
	assert_int_equal(job_run_add_event(r, 0, 1, 3, "a", 1), ERR_OK);
	assert_int_equal(job_run_add_event(r, 0, 2, 4, "b", 1), ERR_INVALID);
	job_run_attempt_ended(r, 0, 0, JOB_ATTEMPT_INTERRUPTED);
	/* It starts over and may use another version. */
	assert_int_equal(job_run_text(r, 0)->last_event, 0);
	job_run_item_sent(r, 0);
	assert_int_equal(job_run_add_event(r, 0, 1, 4, "a", 1), ERR_OK);
	assert_int_equal(job_run_text(r, 0)->n_versions, 1);
	job_run_free(r);
	job_spec_free(s);
}

/* Before target_groups groups are complete, results are due after a second; from then
 * on, with each complete group. */
static void test_records_are_written_per_group_from_target(void **state)
{
	struct job_result out[ITEMS];
	struct job_spec *s = spec_new();
	struct job_run *r;

	s->target_groups = 2;
	r = run_new(s, false);
	for (int i = 0; i < ITEMS; i++)
		job_run_item_sent(r, i);
	finish_item(r, 0, 0);
	finish_item(r, 1, 20);
	assert_int_equal(job_run_flush(r, 30, false, SIZE_MAX, out), 0);
	/* One of two groups is complete; its oldest result is 1 s old. */
	assert_int_equal(job_run_flush(r, 1000, false, SIZE_MAX, out), 2);
	finish_item(r, 4, 1010);
	finish_item(r, 2, 1020);
	finish_item(r, 3, 1030);
	/* Only one record is written at a time. */
	assert_int_equal(job_run_flush(r, 1040, false, SIZE_MAX, out), 0);
	job_run_write_failed(r);
	/* The second group is complete; item 4 is in the same record. */
	assert_int_equal(job_run_flush(r, 1040, false, SIZE_MAX, out), 5);
	job_run_free(r);
	job_spec_free(s);
}

/* Near the due time each group is written as it becomes complete. */
static void test_records_are_written_per_group_near_due_time(void **state)
{
	const struct job_run_opts opts = {
		.max_failures = 2, .due_ms = 7500, .give_up_ms = 10000};
	struct job_result out[ITEMS];
	struct job_spec *s = spec_new();
	struct job_run *r = job_run_new(s, &opts);

	for (int i = 0; i < 3; i++)
		job_run_item_sent(r, i);
	finish_item(r, 0, 6900);
	finish_item(r, 1, 6900);
	assert_int_equal(job_run_flush(r, 7199, false, SIZE_MAX, out), 0);
	assert_int_equal(job_run_flush(r, 7200, false, SIZE_MAX, out), 2);
	job_run_free(r);
	job_spec_free(s);
}

/* A trainer waits for a carried-over group however many others are complete: these are
 * not written one by one while it runs. */
static void test_target_includes_carried_groups(void **state)
{
	struct job_result out[ITEMS];
	struct job_spec *s = spec_new();
	struct job_run *r;

	s->target_groups = 2;
	s->items[4].carried = true;
	r = run_new(s, false);
	for (int i = 0; i < ITEMS; i++)
		job_run_item_sent(r, i);
	for (int i = 0; i < 4; i++)
		finish_item(r, i, 10 * i);
	assert_int_equal(job_run_flush(r, 900, false, SIZE_MAX, out), 0);
	finish_item(r, 4, 900);
	assert_int_equal(job_run_flush(r, 900, false, SIZE_MAX, out), 0);
	finish_item(r, 5, 920);
	assert_int_equal(job_run_flush(r, 920, false, SIZE_MAX, out), 6);
	job_run_free(r);
	job_spec_free(s);
}

enum {
	READ_GROUPS = 60,
	READ_TARGET = 54,
	READ_CARRIED = 6, ///< groups that a batch carried over
	READ_WAIT_MS = 1000, ///< longest wait of a read
	READ_PAUSE_MS = 600, ///< from an answer to the next read
	READ_TICK_MS = 10,
	READ_SEEDS = 200,
};

static void finish_ended(struct job_run *r, const int64_t *end_ms, int64_t now)
{
	for (int i = 0; i < READ_GROUPS; i++) {
		if (end_ms[i] <= now && job_run_phase(r, i) == JOB_SENT)
			finish_item(r, i, now);
	}
}

/* Whether the trainer's groups are all in a phase or beyond. */
static bool is_complete(const struct job_run *r, enum job_phase phase)
{
	int n = 0;

	for (int i = 0; i < READ_GROUPS; i++) {
		bool in = job_run_phase(r, i) >= phase;

		n += in;
		if (i < READ_CARRIED && !in)
			return false;
	}
	return n >= READ_TARGET;
}

static void write_due(struct job_run *r, struct job_list *list, int64_t now)
{
	struct job_result out[READ_GROUPS];
	size_t n = job_run_flush(r, now, false, SIZE_MAX, out);
	char *record;

	if (!n)
		return;
	record = job_record_encode("w", out, n);
	assert_int_equal(
		job_list_add(list, list->records, record, strlen(record)),
		ERR_OK);
	job_run_apply_list(r, list);
	free(record);
}

/* Time from the completion of the groups that the trainer waits for until it has read
 * them. Lengths are heavy-tailed: the last groups end within a second. */
static int64_t read_delay_ms(uint64_t seed)
{
	struct rng rng = {.state = seed};
	struct job_spec s = {.n_items = READ_GROUPS,
			     .min_version = 3,
			     .target_groups = READ_TARGET};
	const struct job_run_opts opts = {
		.max_failures = 2, .due_ms = 7500, .give_up_ms = 12000};
	int64_t end_ms[READ_GROUPS];
	int64_t complete_ms = 0, next_read_ms = 0, read_until_ms = -1;
	struct job_list list;
	struct job_run *r;
	size_t read = 0;

	arena_init(&s.arena, 0);
	s.items = arena_alloc(&s.arena, READ_GROUPS * sizeof(*s.items));
	for (int i = 0; i < READ_GROUPS; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i%02d", i);
		memset(&s.items[i], 0, sizeof(s.items[i]));
		s.items[i].id = arena_strdup(&s.arena, id);
		s.items[i].group = s.items[i].id;
		s.items[i].carried = i < READ_CARRIED;
		end_ms[i] = 300 + (int64_t)rng_below(&rng, 2500);
		if (i < READ_CARRIED || i >= READ_GROUPS - 8)
			end_ms[i] = 5700 + (int64_t)rng_below(&rng, 1000);
	}
	r = job_run_new(&s, &opts);
	job_list_init(&list);
	for (int i = 0; i < READ_GROUPS; i++)
		job_run_item_sent(r, i);
	for (int64_t now = 0;; now += READ_TICK_MS) {
		finish_ended(r, end_ms, now);
		if (!complete_ms && is_complete(r, JOB_FINISHED))
			complete_ms = now;
		write_due(r, &list, now);
		if (read_until_ms < 0 && now >= next_read_ms)
			read_until_ms = now + READ_WAIT_MS;
		if (read_until_ms < 0 ||
		    (list.n == read && now < read_until_ms))
			continue;
		read = list.n;
		read_until_ms = -1;
		next_read_ms = now + READ_PAUSE_MS;
		if (!is_complete(r, JOB_LISTED))
			continue;
		job_run_free(r);
		job_list_free(&list);
		arena_free(&s.arena);
		return now - complete_ms;
	}
}

/* Load pattern: the last groups of a step end one after the other, and its trainer reads
 * twice a second. The step must not wait for the next read after a premature one: a
 * quarter of a second in the mean. */
static void test_trainer_reads_its_groups_at_once(void **state)
{
	int64_t sum = 0;

	for (uint64_t seed = 1; seed <= READ_SEEDS; seed++)
		sum += read_delay_ms(seed);
	print_message("read %lld ms after the last group, mean of %d steps\n",
		      (long long)(sum / READ_SEEDS), READ_SEEDS);
	assert_in_range(sum / READ_SEEDS, 0, 250);
}

/* The store rejects a record above its size limit at every retry, so the batch would
 * never complete. Results that don't fit are left for the next record. */
static void test_records_respect_size_limit(void **state)
{
	struct job_result out[ITEMS];
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);
	size_t texts = 0;

	for (int i = 0; i < 3; i++) {
		job_run_item_sent(r, i);
		finish_item(r, i, 0);
		texts += job_run_text(r, i)->len;
	}
	assert_int_equal(job_run_flush(r, 2000, false, texts - 1, out), 2);
	job_run_write_failed(r);
	/* A result that is above the limit has a record of its own. */
	assert_int_equal(job_run_flush(r, 2000, false, 0, out), 1);
	job_run_write_failed(r);
	assert_int_equal(job_run_flush(r, 2000, false, texts, out), 3);
	job_run_free(r);
	job_spec_free(s);
}

/* A waiting item is sent once, and only an item in flight is requeued. Sending a
 * listed item crashed the process. */
static void test_only_valid_phase_transitions_accepted(void **state)
{
	struct job_result out[ITEMS];
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);

	assert_int_equal(job_run_requeue(r, 0), ERR_INVALID);
	assert_int_equal(job_run_reward_sent(r, 0), ERR_INVALID);
	assert_int_equal(job_run_item_sent(r, 0), ERR_OK);
	assert_int_equal(job_run_item_sent(r, 0), ERR_INVALID);
	assert_int_equal(job_run_reward_sent(r, 0), ERR_INVALID);
	assert_int_equal(job_run_requeue(r, 0), ERR_OK);
	assert_int_equal(job_run_requeue(r, 0), ERR_INVALID);
	assert_int_equal(job_run_item_sent(r, 0), ERR_OK);
	finish_item(r, 0, 0);
	for (int phase = JOB_FINISHED; phase <= JOB_WRITING; phase++) {
		assert_int_equal(job_run_phase(r, 0), phase);
		assert_int_equal(job_run_item_sent(r, 0), ERR_INVALID);
		assert_int_equal(job_run_requeue(r, 0), ERR_INVALID);
		assert_int_equal(job_run_reward_sent(r, 0), ERR_INVALID);
		job_run_flush(r, 0, true, SIZE_MAX, out);
	}
	job_run_free(r);
	job_spec_free(s);
}

/* A node that lost its batch reads a record again after its own write conflicted with
 * it, while its list has grown by other reads. Added under another number, the record
 * would shift the positions of all later results. */
static void test_repeated_record_is_ignored(void **state)
{
	const struct job_result res[] = {
		{.id = "i0"}, {.id = "i1"}, {.id = "i2"}};
	char *records[3];
	struct job_list list;

	job_list_init(&list);
	for (int i = 0; i < 3; i++)
		records[i] = job_record_encode("other", &res[i], 1);
	for (int i = 0; i < 2; i++)
		assert_int_equal(job_list_add(&list, (uint64_t)i, records[i],
					      strlen(records[i])),
				 ERR_OK);
	assert_int_equal(job_list_add(&list, 0, records[0], strlen(records[0])),
			 ERR_OK);
	assert_int_equal(list.records, 2);
	assert_int_equal(job_list_add(&list, 2, records[2], strlen(records[2])),
			 ERR_OK);
	assert_int_equal(job_list_find(&list, "i2"), 2);
	for (int i = 0; i < 3; i++)
		free(records[i]);
	job_list_free(&list);
}

/* Two nodes consider themselves owner of a batch, and the other one lists an item that
 * is in flight here. Its attempt can neither continue nor be requeued. */
static void test_item_listed_by_other_owner_while_sent(void **state)
{
	const struct job_result res = {.id = "i0", .text = "x", .text_len = 1};
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);
	struct job_list list;
	char *record = job_record_encode("other", &res, 1);

	job_list_init(&list);
	assert_int_equal(job_list_add(&list, 0, record, strlen(record)),
			 ERR_OK);
	job_run_item_sent(r, 0);
	job_run_apply_list(r, &list);
	assert_int_equal(job_run_phase(r, 0), JOB_LISTED);
	assert_int_equal(job_run_add_event(r, 0, 1, 3, "a", 1), ERR_INVALID);
	assert_int_equal(job_run_requeue(r, 0), ERR_INVALID);
	assert_int_equal(job_run_item_sent(r, 0), ERR_INVALID);
	job_run_attempt_ended(r, 0, 0, JOB_ATTEMPT_COMPLETE);
	assert_int_equal(job_run_phase(r, 0), JOB_LISTED);
	free(record);
	job_list_free(&list);
	job_run_free(r);
	job_spec_free(s);
}

static void test_items_abandoned_after_failures_or_deadline(void **state)
{
	struct job_result out[ITEMS];
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);

	job_run_item_sent(r, 0);
	job_run_attempt_ended(r, 0, 0, JOB_ATTEMPT_FAILED);
	job_run_item_sent(r, 0);
	job_run_attempt_ended(r, 0, 50, JOB_ATTEMPT_NOT_RUN);
	job_run_item_sent(r, 0);
	job_run_attempt_ended(r, 0, 100, JOB_ATTEMPT_FAILED);
	job_run_item_sent(r, 1);
	job_run_attempt_ended(r, 1, 100, JOB_ATTEMPT_IMPOSSIBLE);
	assert_int_equal(job_run_flush(r, 100, true, SIZE_MAX, out), 2);
	assert_int_equal(out[0].state, JOB_ABANDONED);
	assert_int_equal(out[1].state, JOB_ABANDONED);
	assert_int_equal(job_run_next_item(r, 10000), -1);
	job_run_write_failed(r);
	assert_int_equal(job_run_flush(r, 10000, true, SIZE_MAX, out), ITEMS);
	job_run_free(r);
	job_spec_free(s);
}

/* A batch with the same id twice is done once that id has its position. */
static void test_batch_with_repeated_id_completes(void **state)
{
	struct job_spec *s = spec_new();
	struct job_result out[ITEMS];
	struct job_list l;
	struct job_run *r;
	char *record;

	s->items[4].id = s->items[1].id;
	r = run_new(s, false);
	job_list_init(&l);
	for (int i = 0; i < ITEMS; i++) {
		job_run_item_sent(r, i);
		finish_item(r, i, 0);
	}
	assert_int_equal(job_run_flush(r, 0, true, SIZE_MAX, out), ITEMS);
	record = job_record_encode("w", out, ITEMS);
	assert_int_equal(job_list_add(&l, 0, record, strlen(record)), ERR_OK);
	assert_int_equal(l.n, ITEMS - 1);
	job_run_apply_list(r, &l);
	assert_true(job_run_all_listed(r));
	job_list_free(&l);
	free(record);
	job_run_free(r);
	job_spec_free(s);
}

/* Load pattern: a takeover is dropped after the first page of a batch's records, or its node
 * has no memory for one of them. There is no revision after which nothing is missing. */
static void test_part_of_records_gives_no_revision(void **state)
{
	struct job_list l;

	job_list_init(&l);
	job_list_answered(&l, ERR_OK, true, 40);
	assert_int_equal(l.rev, 0);
	job_list_answered(&l, ERR_OK, false, 41);
	assert_int_equal(l.rev, 41);
	job_list_answered(&l, ERR_OK, true, 50);
	job_list_answered(&l, ERR_OK, false, 39);
	assert_int_equal(l.rev, 41);
	job_list_answered(&l, ERR_NOMEM, false, 52);
	assert_int_equal(l.rev, 0);
	job_list_free(&l);
}

static struct job_result result(const char *id, const char *text)
{
	return (struct job_result){
		.id = id,
		.text = text,
		.text_len = strlen(text),
		.versions = {6, 7},
		.n_versions = 2,
	};
}

static void test_list_reads_records_in_order(void **state)
{
	struct job_result a[] = {result("x", "one\ntwo"), result("y", "")};
	struct job_result b[] = {result("y", "other"), result("z", "three")};
	char *ra = job_record_encode("w1", a, 2);
	char *rb = job_record_encode("w2", b, 2);
	struct job_list l;
	struct job_page p;

	job_list_init(&l);
	assert_int_equal(job_list_add(&l, 1, rb, strlen(rb)), ERR_NOT_FOUND);
	assert_int_equal(job_list_add(&l, 0, "junk", 4), ERR_PARSE);
	assert_int_equal(job_list_add(&l, 0, ra, strlen(ra)), ERR_OK);
	assert_int_equal(job_list_add(&l, 0, rb, strlen(rb)), ERR_OK);
	assert_int_equal(l.n, 2);
	assert_int_equal(job_list_add(&l, 1, rb, strlen(rb)), ERR_OK);
	/* An item keeps the position that it has. */
	assert_int_equal(l.n, 3);
	assert_string_equal(l.results[1].text, "");
	assert_int_equal(job_list_find(&l, "z"), 2);
	p = job_list_page(&l, 1, 1);
	assert_int_equal(p.n, 1);
	assert_int_equal(p.next, 2);
	p = job_list_page(&l, 0, 1000);
	assert_int_equal(p.n, 3);
	assert_int_equal(p.results[0].versions[1], 7);
	p = job_list_page(&l, 9, 1000);
	assert_int_equal(p.n, 0);
	assert_int_equal(p.next, 9);
	assert_true(job_record_written_by(ra, strlen(ra), "w1"));
	assert_false(job_record_written_by(ra, strlen(ra), "w2"));
	job_list_free(&l);
	free(ra);
	free(rb);
}

/* Two nodes run the same batch and create records with the same counter, as the store
 * allows. In any order of their writes, each item has one position and one text. */
static void test_concurrent_writers_agree_on_positions(void **state)
{
	for (uint64_t seed = 1; seed <= 300; seed++) {
		struct rng rng = {seed};
		struct job_spec *s = spec_new();
		struct job_run *run[2] = {run_new(s, false), run_new(s, false)};
		struct job_list list[2], expected;
		char *records[64];
		size_t n = 0;
		int rounds = 0;

		job_list_init(&list[0]);
		job_list_init(&list[1]);
		job_list_init(&expected);
		while (expected.n < ITEMS && rounds++ < 1000) {
			int w = (int)rng_below(&rng, 2);
			int item = job_run_next_item(run[w], rounds * 100);
			struct job_result out[ITEMS];
			size_t k;

			if (item >= 0) {
				job_run_item_sent(run[w], item);
				finish_item(run[w], item, rounds * 100);
			}
			k = rng_below(&rng, 2)
				    ? job_run_flush(run[w], rounds * 100, true,
						    SIZE_MAX, out)
				    : 0;
			if (!k)
				continue;
			if (list[w].records == n) {
				records[n++] = job_record_encode(w ? "b" : "a",
								 out, k);
				job_list_add(&expected, n - 1, records[n - 1],
					     strlen(records[n - 1]));
			}
			/* Own record or the other node's: it is read back. */
			job_list_add(&list[w], list[w].records,
				     records[list[w].records],
				     strlen(records[list[w].records]));
			job_run_apply_list(run[w], &list[w]);
			job_run_write_failed(run[w]);
		}
		if (expected.n != ITEMS)
			fail_msg("seed %llu", (unsigned long long)seed);
		for (size_t i = 0; i < expected.n; i++)
			assert_int_equal(job_list_find(&expected,
						       expected.results[i].id),
					 i);
		for (int w = 0; w < 2; w++) {
			for (size_t i = 0; i < list[w].n; i++)
				assert_string_equal(list[w].results[i].id,
						    expected.results[i].id);
			job_list_free(&list[w]);
			job_run_free(run[w]);
		}
		job_list_free(&expected);
		for (size_t i = 0; i < n; i++)
			free(records[i]);
		job_spec_free(s);
	}
}

/* A node that takes over a batch continues the long texts of the previous owner. Short
 * texts, and those with weights that the batch does not allow, start over. */
static void test_long_texts_resume_after_takeover(void **state)
{
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);
	struct job_run *next = run_new(s, false);
	struct job_run *other_run = run_new(s, true);
	char *value;
	int n;

	for (int i = 0; i < 2; i++) {
		job_run_item_sent(r, i);
		for (uint64_t e = 1; e <= (i ? 2 : 30); e++)
			assert_int_equal(job_run_add_event(r, i, e,
							   3 + (e > 20), "ab",
							   2),
					 ERR_OK);
	}
	value = job_texts_encode(r, s, 1 << 20);
	assert_non_null(value);
	assert_int_equal(job_texts_decode(next, value, strlen(value), &n),
			 ERR_OK);
	assert_int_equal(n, 1);
	assert_int_equal(job_run_text(next, 0)->last_event, 30);
	assert_int_equal(job_run_text(next, 0)->n_versions, 2);
	assert_int_equal(job_run_text(next, 0)->len, 30 * 3 - 1);
	assert_memory_equal(job_run_text(next, 0)->buf, job_run_text(r, 0)->buf,
			    30 * 3 - 1);
	job_run_item_sent(next, 0);
	assert_int_equal(job_run_add_event(next, 0, 31, 4, "cd", 2), ERR_OK);
	assert_int_equal(job_texts_decode(other_run, value, strlen(value), &n),
			 ERR_OK);
	assert_int_equal(n, 0);
	s->min_version = 4;
	job_run_free(other_run);
	other_run = run_new(s, false);
	job_texts_decode(other_run, value, strlen(value), &n);
	assert_int_equal(n, 0);
	free(value);
	assert_null(job_texts_encode(other_run, s, 1 << 20));
	job_run_free(r);
	job_run_free(next);
	job_run_free(other_run);
	job_spec_free(s);
}

static void test_malformed_texts_are_rejected(void **state)
{
	static const char *const bad[] = {"", "{}", "[{", "nonsense"};
	static const char bad_items[] =
		"[3,{},{\"id\":\"i0\"},{\"id\":\"none\",\"text\":\"x\"},"
		"{\"id\":\"i0\",\"event\":-1,\"text\":\"x\",\"versions\":[3]},"
		"{\"id\":\"i0\",\"event\":\"x\",\"text\":4}]";
	struct job_spec *s = spec_new();
	struct job_run *r = run_new(s, false);
	int n;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(
			job_texts_decode(r, bad[i], strlen(bad[i]), &n),
			ERR_PARSE);
	assert_int_equal(job_texts_decode(r, bad_items, strlen(bad_items), &n),
			 ERR_OK);
	assert_int_equal(n, 0);
	job_run_free(r);
	job_spec_free(s);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_texts_resume_after_takeover),
		cmocka_unit_test(test_malformed_texts_are_rejected),
		cmocka_unit_test(test_longest_items_start_first),
		cmocka_unit_test(test_interrupted_text_resumes_in_order),
		cmocka_unit_test(test_text_of_too_many_versions_starts_over),
		cmocka_unit_test(
			test_text_of_unknown_end_is_complete_once_confirmed),
		cmocka_unit_test(test_one_version_restarts_interrupted_text),
		cmocka_unit_test(
			test_records_are_written_per_group_from_target),
		cmocka_unit_test(
			test_records_are_written_per_group_near_due_time),
		cmocka_unit_test(test_target_includes_carried_groups),
		cmocka_unit_test(test_trainer_reads_its_groups_at_once),
		cmocka_unit_test(test_records_respect_size_limit),
		cmocka_unit_test(test_only_valid_phase_transitions_accepted),
		cmocka_unit_test(test_item_listed_by_other_owner_while_sent),
		cmocka_unit_test(test_repeated_record_is_ignored),
		cmocka_unit_test(
			test_items_abandoned_after_failures_or_deadline),
		cmocka_unit_test(test_batch_with_repeated_id_completes),
		cmocka_unit_test(test_list_reads_records_in_order),
		cmocka_unit_test(test_part_of_records_gives_no_revision),
		cmocka_unit_test(test_concurrent_writers_agree_on_positions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
