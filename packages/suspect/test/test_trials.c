// Replays of requests under which servers end: lookups that are alike while servers crash
// by themselves, and requests that end each server, at several nodes that share one store.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/rng.h"
#include "suspect/suspect.h"

enum {
	ENTRIES = 8, ///< nodes with callers; the last table is a home's
	TABLES = ENTRIES + 1,
	SERVERS = 8,
	SLOTS = 256, ///< sendings under way
	TRIALS = 16, ///< numbers that the store knows
	TICK_MS = 10,
	WORK_MS = 400,
	RESTART_MS = 4500,
	TRIAL_RUN_MS = 5000,
	CONTACT_MS = 3000,
	OUTAGE_MS = 2000, ///< when it comes
	END_MS = 600000,
	SERVED_AFTER_MS = 15000, ///< of the outage
	MORE_MAX = 3, ///< sendings later than CONTACT_MS after the third server
	SEEDS = 10,
};

enum outage {
	OUTAGE_NONE,
	OUTAGE_ALL,
	OUTAGE_DOMAIN, ///< the first half
	OUTAGE_SHARE, ///< all but one
	OUTAGES,
};

static const int n_lost[OUTAGES] = {0, SERVERS, SERVERS / 2, SERVERS - 1};

struct sending {
	int kind; ///< -1: free
	int node, server, start, attempt, trial;
	int64_t sent_ms;
};

struct kind {
	bool ends_servers;
	int callers; ///< that come at the same time
	int interval_ms;
	int ended, runs_late, refused;
	int64_t third_ms, served_ms;
	int granted; ///< number of the last trial in the store
	int marks
		[TRIALS]; ///< last trial that the store names for one that ended
};

struct sim {
	struct rng rng;
	int64_t now;
	int64_t trial_until_ms; ///< no other request is tried until then
	bool confirms_lost; ///< no node hears that others confirmed a request
	struct suspects *tables[TABLES];
	int start[SERVERS];
	int64_t down_until_ms[SERVERS];
	struct sending sendings[SLOTS];
	struct kind kinds[2];
	int n_kinds;
};

static struct suspect_id id_of(int kind)
{
	return (struct suspect_id){(uint64_t)(kind + 1) << 20, 1};
}

static bool is_up(const struct sim *s, int server)
{
	return s->now >= s->down_until_ms[server];
}

static void send_request(struct sim *s, int kind, int node, int attempt,
			 int trial)
{
	struct kind *k = &s->kinds[kind];
	int first = (int)rng_below(&s->rng, SERVERS);
	int i = 0, n = 0;

	while (i < SERVERS && !is_up(s, (first + i) % SERVERS))
		i++;
	while (n < SLOTS && s->sendings[n].kind >= 0)
		n++;
	if (i == SERVERS || n == SLOTS)
		return;
	i = (first + i) % SERVERS;
	s->sendings[n] = (struct sending){kind,	   node,  i,	 s->start[i],
					  attempt, trial, s->now};
	k->runs_late += k->third_ms && s->now > k->third_ms + CONTACT_MS;
}

/* As daemon/src/suspect/trial.c: the store grants each number once, and says whether a
 * server ended in the trial before. */
static int take_trial(struct sim *s, int kind, int node)
{
	struct kind *k = &s->kinds[kind];
	struct suspects *t = s->tables[node];
	const struct suspect_entry *e = suspects_find(t, s->now, id_of(kind));
	bool confirmed = e->confirmed;
	int number = e->trials + 1;
	int last = number < TRIALS ? k->marks[number - 1] : 0;
	bool granted = number > k->granted;

	if (s->now < s->trial_until_ms)
		return 0;
	if (last) {
		suspects_confirm(t, s->now, id_of(kind), last);
		if (!confirmed || number > last)
			return 0;
	}
	suspects_trial_granted(t, s->now, id_of(kind), number);
	if (!granted)
		return 0;
	k->granted = number;
	s->trial_until_ms = s->now + TRIAL_RUN_MS;
	return number;
}

static void arrive(struct sim *s, int kind, int node)
{
	int64_t wait_ms;
	int trial;

	switch (suspects_verdict(s->tables[node], s->now, id_of(kind),
				 &wait_ms)) {
	case SUSPECT_SEND:
		send_request(s, kind, node, 1, 0);
		break;
	case SUSPECT_TRY:
		trial = take_trial(s, kind, node);
		if (trial)
			send_request(s, kind, node, 2, trial);
		break;
	case SUSPECT_WAIT:
		break;
	case SUSPECT_REFUSE:
		s->kinds[kind].refused++;
		break;
	}
}

static void share(struct sim *s, int kind, enum suspect_change change,
		  int last_trial)
{
	struct suspect_id id = id_of(kind);

	/* A node that had an answer contradicts. */
	for (int i = 0; i < TABLES && change == SUSPECT_BARRED; i++) {
		if (suspects_answered_lately(s->tables[i], s->now, id))
			change = SUSPECT_CLEARED;
	}
	for (int i = 0; i < TABLES; i++) {
		if (change == SUSPECT_BARRED)
			suspects_set_barred(s->tables[i], s->now, id, s->now,
					    s->now);
		if (last_trial && !s->confirms_lost)
			suspects_confirm(s->tables[i], s->now, id, last_trial);
		if (change == SUSPECT_CLEARED)
			suspects_clear(s->tables[i], s->now, id);
	}
}

static void broke_off(struct sim *s, const struct sending *at)
{
	static const char *const names[SERVERS] = {"s0", "s1", "s2", "s3",
						   "s4", "s5", "s6", "s7"};
	struct suspect_id id = id_of(at->kind);
	int nodes[] = {at->node, ENTRIES};

	if (at->trial)
		s->trial_until_ms = 0;
	for (int i = 0; i < 2; i++) {
		struct suspects *t = s->tables[nodes[i]];
		enum suspect_change change =
			suspects_ended(t, s->now, id, names[at->server],
				       at->start, at->sent_ms);
		const struct suspect_entry *e = suspects_find(t, s->now, id);

		share(s, at->kind, change, e ? e->last_trial : 0);
		if (i == 0 && at->trial && e && e->confirmed)
			s->kinds[at->kind].marks[at->trial] = e->last_trial;
	}
	if (at->attempt == 1 &&
	    suspects_may_retry(s->tables[at->node], s->now, id))
		send_request(s, at->kind, at->node, 2, 0);
}

static void crash(struct sim *s, int server)
{
	s->start[server]++;
	s->down_until_ms[server] = s->now + RESTART_MS;
	for (int i = 0; i < SLOTS; i++) {
		struct sending lost = s->sendings[i];

		if (lost.kind < 0 || lost.server != server ||
		    lost.start == s->start[server])
			continue;
		s->sendings[i].kind = -1;
		broke_off(s, &lost);
	}
}

static void finish(struct sim *s, struct sending *at)
{
	struct kind *k = &s->kinds[at->kind];

	if (k->ends_servers) {
		if (++k->ended == 3)
			k->third_ms = s->now;
		crash(s, at->server);
		return;
	}
	share(s, at->kind,
	      suspects_answered(s->tables[at->node], s->now, id_of(at->kind)),
	      0);
	if (at->trial)
		s->trial_until_ms = 0;
	k->granted = 0;
	memset(k->marks, 0, sizeof(k->marks));
	k->served_ms = s->now;
	at->kind = -1;
}

static void step(struct sim *s)
{
	bool has_server = false;

	for (int i = 0; i < SLOTS; i++) {
		if (s->sendings[i].kind >= 0 &&
		    s->now - s->sendings[i].sent_ms >= WORK_MS)
			finish(s, &s->sendings[i]);
	}
	for (int i = 0; i < SERVERS; i++)
		has_server |= is_up(s, i);
	for (int i = 0; has_server && i < s->n_kinds; i++) {
		for (int n = 0; n < s->kinds[i].callers &&
				s->now % s->kinds[i].interval_ms == 0;
		     n++)
			arrive(s, i, (int)rng_below(&s->rng, ENTRIES));
	}
}

static void check(const struct kind *k, uint64_t seed, enum outage o)
{
	bool bad =
		k->ends_servers
			? k->runs_late > MORE_MAX || !k->refused
			: k->refused || k->served_ms < END_MS - SERVED_AFTER_MS;

	if (bad)
		fail_msg("seed %d outage %d ends=%d: %d sent late, %d refused, "
			 "served last at %d ms",
			 (int)seed, (int)o, k->ends_servers, k->runs_late,
			 k->refused, (int)k->served_ms);
}

/* @param kinds  1: lookups, 2: requests that end servers, 3: both */
static void replay(uint64_t seed, enum outage o, int kinds, bool confirms_lost)
{
	struct sim s = {.rng = {seed}, .confirms_lost = confirms_lost};

	for (int i = 0; i < TABLES; i++)
		s.tables[i] = suspects_new();
	for (int i = 0; i < SLOTS; i++)
		s.sendings[i].kind = -1;
	for (int ends = 0; ends < 2; ends++) {
		if (kinds & (1 << ends))
			s.kinds[s.n_kinds++] = (struct kind){
				.ends_servers = ends,
				.callers = seed % 2 ? 12 : 1,
				.interval_ms =
					50 * (1 + (int)rng_below(&s.rng, 20)),
			};
	}
	for (s.now = TICK_MS; s.now < END_MS; s.now += TICK_MS) {
		for (int i = 0; s.now == OUTAGE_MS && i < n_lost[o]; i++)
			s.down_until_ms[i] = s.now + RESTART_MS;
		for (int i = 0; s.now == OUTAGE_MS && i < n_lost[o]; i++)
			crash(&s, i);
		step(&s);
	}
	for (int i = 0; i < s.n_kinds; i++)
		check(&s.kinds[i], seed, o);
	for (int i = 0; i < TABLES; i++)
		suspects_free(s.tables[i]);
}

/* Load pattern: servers crash once under lookups that are alike, of one caller or many. */
static void test_lookups_are_served_after_a_crash(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		for (int o = OUTAGE_ALL; o < OUTAGES; o++)
			replay(seed, (enum outage)o, 1, false);
	}
}

/* Load pattern: a request ends each server, from one caller or from twelve at once, in
 * calm and during a crash. */
static void test_request_that_ends_servers_is_refused(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		for (int o = OUTAGE_NONE; o < OUTAGES; o++)
			replay(seed, (enum outage)o, 3, false);
	}
}

/* Nodes that had not heard of a trial's end each had one of their own. */
static void test_trials_are_bounded_without_news(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++)
		replay(seed, OUTAGE_NONE, 2, true);
}

/* Steps of one node: 'e' a server ends (arg: sent so long before), 'g' trial arg is granted,
 * 'u' it was not run, 'b' barred by news, 'c' confirmed with the last trial arg,
 * 'v' the verdict is arg. */
struct node_step {
	char op;
	int64_t at_ms;
	int arg;
};

static void run_steps(const struct node_step *step, size_t n)
{
	struct suspects *t = suspects_new();
	struct suspect_id id = id_of(0);
	char server[16];
	int64_t wait_ms;

	for (size_t i = 0; i < n; i++, step++) {
		int64_t now = step->at_ms;

		snprintf(server, sizeof(server), "s%zu", i);
		if (step->op == 'e')
			suspects_ended(t, now, id, server, 1, now - step->arg);
		else if (step->op == 'g')
			suspects_trial_granted(t, now, id, step->arg);
		else if (step->op == 'u')
			suspects_trial_unused(t, now, id);
		else if (step->op == 'b')
			suspects_set_barred(t, now, id, now, now);
		else if (step->op == 'c')
			suspects_confirm(t, now, id, step->arg);
		else if ((int)suspects_verdict(t, now, id, &wait_ms) !=
			 step->arg)
			fail_msg("step %zu: not %d", i, step->arg);
	}
	suspects_free(t);
}

static void test_servers_that_end_one_by_one_need_no_trial(void **state)
{
	static const struct node_step steps[] = {
		{'e', 2000, 100},	   {'e', 4000, 100},
		{'e', 6000, 100},	   {'v', 6000, SUSPECT_REFUSE},
		{'v', 66000, SUSPECT_TRY},
	};

	run_steps(steps, sizeof(steps) / sizeof(*steps));
}

static void test_one_moment_says_to_wait(void **state)
{
	static const struct node_step steps[] = {
		{'e', 2000, 10},	   {'e', 2001, 10},
		{'e', 2002, 10},	   {'v', 2100, SUSPECT_WAIT},
		{'v', 3002, SUSPECT_TRY},  {'g', 3002, 1},
		{'v', 3100, SUSPECT_WAIT}, {'u', 3200, 0},
		{'v', 4200, SUSPECT_TRY},  {'g', 4200, 1},
		{'e', 4300, 100},	   {'v', 4400, SUSPECT_REFUSE},
	};

	run_steps(steps, sizeof(steps) / sizeof(*steps));
}

static void test_confirmed_request_is_tried_a_few_times(void **state)
{
	static const struct node_step steps[] = {
		{'b', 1000, 0},
		{'g', 2000, 1},
		{'c', 2500, 3},
		/* Another node confirmed it later, by what it knew. */
		{'c', 2600, 4},
		{'v', 62500, SUSPECT_TRY},
		{'g', 62500, 2},
		{'g', 62600, 1},
		{'v', 362500, SUSPECT_TRY},
		{'g', 362500, 3},
		{'v', 900000, SUSPECT_REFUSE},
	};

	run_steps(steps, sizeof(steps) / sizeof(*steps));
}

/* Trials that time out say nothing: callers are not told that they err. */
static void test_trials_go_on_until_one_tells(void **state)
{
	static const struct node_step steps[] = {
		{'b', 1000, 0},
		{'v', 2000, SUSPECT_TRY},
		{'g', 2000, 1},
		{'v', 6900, SUSPECT_WAIT},
		{'v', 7000, SUSPECT_TRY},
		{'g', 7000, 2},
		{'v', 67000, SUSPECT_TRY},
		{'g', 67000, 3},
		{'v', 127000, SUSPECT_TRY},
		{'g', 127000, 4},
		{'v', 187000, SUSPECT_TRY},
		{'v', 187000, SUSPECT_TRY},
	};

	run_steps(steps, sizeof(steps) / sizeof(*steps));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lookups_are_served_after_a_crash),
		cmocka_unit_test(test_request_that_ends_servers_is_refused),
		cmocka_unit_test(test_trials_are_bounded_without_news),
		cmocka_unit_test(
			test_servers_that_end_one_by_one_need_no_trial),
		cmocka_unit_test(test_one_moment_says_to_wait),
		cmocka_unit_test(test_confirmed_request_is_tried_a_few_times),
		cmocka_unit_test(test_trials_go_on_until_one_tells),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
