// Concurrent operators on a store with compare-and-swap and lost replies: each
// accepted edit is in the document once, each refused one never.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "base/rng.h"
#include "conf/edit.h"

enum {
	SEEDS = 2000,
	OPERATORS = 4,
	EDITS = 5, ///< per operator
	FIELDS = 5,
	TRIES_MAX = 20,
	LOST_PERCENT = 20,
};

enum outcome {
	OUTCOME_PENDING,
	OUTCOME_ACCEPTED,
	OUTCOME_REFUSED,
	OUTCOME_UNKNOWN,
};

/// Progress of an operator's daemon with its current edit.
struct operator_state {
	int edit; ///< index of the current edit
	bool reading; ///< the next step reads, else it writes
	struct conf *next; ///< document to write
	uint64_t prev_rev; ///< store's revision at the read
	uint64_t base_rev; ///< revision that the operator started from
	int tries;
};

static const char *const fields[FIELDS] = {
	"queue.max", "slot.max", "slot.start", "team.weight", "call.deadline",
};

static struct rng rng;
static struct conf *stored;
static uint64_t store_rev;
static struct operator_state operators[OPERATORS];
static enum outcome outcomes[OPERATORS][EDITS];
static int applied[OPERATORS][EDITS];
static bool new_id_per_try; ///< bug: each try uses a new id

static bool message_lost(void)
{
	return rng_below(&rng, 100) < LOST_PERCENT;
}

static json_t *build_edit(int o)
{
	struct operator_state *s = &operators[o];
	char id[32], author[16];

	snprintf(id, sizeof(id), "o%d-%d-%d", o, s->edit,
		 new_id_per_try ? s->tries : 0);
	snprintf(author, sizeof(author), "o%d", o);
	return json_pack("{s:s,s:s,s:I,s:[{s:s,s:s,s:i}]}", "id", id, "author",
			 author, "base_rev", (json_int_t)s->base_rev, "ops",
			 "op", "set", "field", fields[(o + s->edit) % FIELDS],
			 "value", 100 + o);
}

static void finish(int o, enum outcome out)
{
	struct operator_state *s = &operators[o];

	outcomes[o][s->edit++] = out;
	s->reading = true;
	s->tries = 0;
	s->base_rev = stored ? conf_rev(stored) : 0;
}

static void step_read(int o)
{
	struct operator_state *s = &operators[o];
	struct conf_edit_info info;
	json_t *edit;
	enum err e;

	if (++s->tries > TRIES_MAX) {
		finish(o, OUTCOME_UNKNOWN);
		return;
	}
	if (message_lost())
		return;
	edit = build_edit(o);
	e = conf_edit_apply(stored, edit, &s->next, &info);
	json_decref(edit);
	if (e)
		finish(o, OUTCOME_REFUSED);
	else if (info.already_applied)
		finish(o, OUTCOME_ACCEPTED);
	else
		s->reading = false;
	s->prev_rev = store_rev;
}

static void step_write(int o)
{
	struct operator_state *s = &operators[o];
	struct conf *next = s->next;

	s->next = NULL;
	s->reading = true;
	if (s->prev_rev != store_rev || message_lost()) {
		conf_free(next); /* conflict, or the write was lost */
		return;
	}
	conf_free(stored);
	stored = next;
	store_rev++;
	applied[o][s->edit]++;
	if (!message_lost())
		finish(o, OUTCOME_ACCEPTED);
}

static bool run_step(void)
{
	int o = (int)rng_below(&rng, OPERATORS);

	for (int i = 0; i < OPERATORS; i++, o = (o + 1) % OPERATORS) {
		if (operators[o].edit == EDITS)
			continue;
		if (operators[o].reading)
			step_read(o);
		else
			step_write(o);
		return true;
	}
	return false;
}

/// Run a seed.
///
/// @return number of false outcomes
static int run_seed(uint64_t seed)
{
	int n_wrong = 0;

	rng.state = seed;
	stored = NULL;
	store_rev = 0;
	memset(operators, 0, sizeof(operators));
	memset(outcomes, 0, sizeof(outcomes));
	memset(applied, 0, sizeof(applied));
	for (int o = 0; o < OPERATORS; o++)
		operators[o].reading = true;
	while (run_step()) {
	}
	for (int o = 0; o < OPERATORS; o++) {
		for (int i = 0; i < EDITS; i++) {
			int expected = outcomes[o][i] == OUTCOME_ACCEPTED;

			if (outcomes[o][i] != OUTCOME_UNKNOWN)
				n_wrong += applied[o][i] != expected;
			n_wrong += applied[o][i] > 1;
		}
	}
	n_wrong += stored && conf_rev(stored) != store_rev;
	conf_free(stored);
	return n_wrong;
}

static void test_outcomes_match_document(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		int n_wrong = run_seed(seed);

		if (n_wrong)
			print_message("seed %d\n", (int)seed);
		assert_int_equal(n_wrong, 0);
	}
}

/// If a retry uses a new id, lost replies lead to false outcomes.
static void test_missing_ids_give_false_outcomes(void **state)
{
	int n_wrong = 0;

	new_id_per_try = true;
	for (uint64_t seed = 1; seed <= 100; seed++)
		n_wrong += run_seed(seed);
	new_id_per_try = false;
	print_message("without ids: %d false outcomes\n", n_wrong);
	assert_true(n_wrong > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_outcomes_match_document),
		cmocka_unit_test(test_missing_ids_give_false_outcomes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
