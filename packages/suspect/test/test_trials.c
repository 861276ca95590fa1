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
	SLOTS = 64, ///< sendings under way
	TICK_MS = 10,
	WORK_MS = 400,
	RESTART_MS = 4500,
	CONTACT_MS = 3000,
	END_MS = 90000,
	OUTAGE_MS = 2000, ///< when it comes
	SERVED_AFTER_MS = 15000, ///< of the outage
	MORE_MAX = 3, ///< RULES.md, BUDGET
	SEEDS = 20,
};

enum outage {
	OUTAGE_NONE,
	OUTAGE_ALL,
	OUTAGE_DOMAIN, ///< the first half
	OUTAGE_SHARE, ///< all but one
	OUTAGES,
};

struct server {
	int start; ///< number of its current start
	int64_t down_until_ms;
};

struct sending {
	int caller; ///< 0: free
	int node, server, start, attempt;
	int64_t sent_ms;
};

struct kind {
	struct suspect_id id;
	bool ends_servers;
	int callers; ///< that come at the same time
	int interval_ms;
	int runs_late; ///< CONTACT_MS after the third server ended
	int ended; ///< servers that it ended
	int64_t third_ms;
	int granted; ///< trials, as the store counts them
	int refused, served;
	int64_t served_ms; ///< last
};

struct sim {
	struct rng rng;
	int64_t now;
	struct suspects *tables[TABLES];
	struct server servers[SERVERS];
	struct sending sendings[SLOTS];
	struct kind kinds[2];
	int n_kinds;
};

static const char *server_name(int i)
{
	static const char *const names[SERVERS] = {"s0", "s1", "s2", "s3",
						   "s4", "s5", "s6", "s7"};

	return names[i];
}

static void send_to_server(struct sim *s, struct kind *k, int node, int attempt)
{
	int first = (int)rng_below(&s->rng, SERVERS);

	for (int i = 0; i < SERVERS; i++) {
		int server = (first + i) % SERVERS;

		if (s->now < s->servers[server].down_until_ms)
			continue;
		for (int n = 0; n < SLOTS; n++) {
			if (s->sendings[n].caller)
				continue;
			s->sendings[n] = (struct sending){
				.caller = (int)(k - s->kinds) + 1,
				.node = node,
				.server = server,
				.start = s->servers[server].start,
				.attempt = attempt,
				.sent_ms = s->now,
			};
			k->runs_late += k->third_ms &&
					s->now > k->third_ms + CONTACT_MS;
			return;
		}
	}
}

static bool has_server(const struct sim *s)
{
	for (int i = 0; i < SERVERS; i++) {
		if (s->now >= s->servers[i].down_until_ms)
			return true;
	}
	return false;
}

/* The store grants each number once. */
static bool take_trial(struct sim *s, struct kind *k, int node)
{
	const struct suspect_entry *e =
		suspects_find(s->tables[node], s->now, k->id);
	int number = e->trials + 1;
	bool granted = number > k->granted;

	if (granted)
		k->granted = number;
	suspects_trial_granted(s->tables[node], s->now, k->id, number);
	return granted;
}

static void arrive(struct sim *s, struct kind *k, int node)
{
	int64_t wait_ms;

	if (!has_server(s))
		return;
	switch (suspects_verdict(s->tables[node], s->now, k->id, &wait_ms)) {
	case SUSPECT_SEND:
		send_to_server(s, k, node, 1);
		break;
	case SUSPECT_TRY:
		if (take_trial(s, k, node))
			send_to_server(s, k, node, 2);
		break;
	case SUSPECT_WAIT:
		break;
	case SUSPECT_REFUSE:
		k->refused++;
		break;
	}
}

static void share(struct sim *s, struct kind *k, enum suspect_change change)
{
	for (int i = 0; i < TABLES; i++) {
		if (change == SUSPECT_BARRED || change == SUSPECT_CONFIRMED)
			suspects_set_barred(s->tables[i], s->now, k->id, s->now,
					    s->now);
		if (change == SUSPECT_CONFIRMED)
			suspects_confirm(s->tables[i], s->now, k->id);
		if (change == SUSPECT_CLEARED)
			suspects_clear(s->tables[i], s->now, k->id);
	}
}

static void broke_off(struct sim *s, const struct sending *at)
{
	struct kind *k = &s->kinds[at->caller - 1];
	int nodes[] = {at->node, ENTRIES};

	for (int i = 0; i < 2; i++)
		share(s, k,
		      suspects_ended(s->tables[nodes[i]], s->now, k->id,
				     server_name(at->server), at->start,
				     at->sent_ms));
	if (at->attempt == 1 &&
	    suspects_may_retry(s->tables[at->node], s->now, k->id))
		send_to_server(s, k, at->node, 2);
}

static void crash(struct sim *s, int server)
{
	struct sending lost[SLOTS];
	int n = 0;

	s->servers[server].start++;
	s->servers[server].down_until_ms = s->now + RESTART_MS;
	for (int i = 0; i < SLOTS; i++) {
		if (s->sendings[i].caller && s->sendings[i].server == server) {
			lost[n++] = s->sendings[i];
			s->sendings[i].caller = 0;
		}
	}
	for (int i = 0; i < n; i++)
		broke_off(s, &lost[i]);
}

static void finish(struct sim *s, struct sending *at)
{
	struct kind *k = &s->kinds[at->caller - 1];

	if (k->ends_servers) {
		if (++k->ended == 3)
			k->third_ms = s->now;
		crash(s, at->server);
		return;
	}
	share(s, k, suspects_answered(s->tables[at->node], s->now, k->id));
	k->granted = 0;
	k->served++;
	k->served_ms = s->now;
	at->caller = 0;
}

static void strike(struct sim *s, enum outage o)
{
	int n = o == OUTAGE_ALL	     ? SERVERS
		: o == OUTAGE_DOMAIN ? SERVERS / 2
				     : SERVERS - 1;

	for (int i = 0; i < n; i++)
		s->servers[i].down_until_ms = s->now + RESTART_MS;
	for (int i = 0; i < n; i++) {
		crash(s, i);
	}
}

static void run(struct sim *s, enum outage o)
{
	for (s->now = TICK_MS; s->now < END_MS; s->now += TICK_MS) {
		if (o && s->now == OUTAGE_MS)
			strike(s, o);
		for (int i = 0; i < SLOTS; i++) {
			struct sending *at = &s->sendings[i];

			if (at->caller && s->now - at->sent_ms >= WORK_MS)
				finish(s, at);
		}
		for (int i = 0; i < s->n_kinds; i++) {
			struct kind *k = &s->kinds[i];

			for (int n = 0;
			     n < k->callers && s->now % k->interval_ms == 0;
			     n++)
				arrive(s, k, (int)rng_below(&s->rng, ENTRIES));
		}
	}
}

static void start(struct sim *s, uint64_t seed)
{
	memset(s, 0, sizeof(*s));
	s->rng.state = seed;
	for (int i = 0; i < TABLES; i++) {
		s->tables[i] = suspects_new();
		assert_non_null(s->tables[i]);
	}
}

static void stop(struct sim *s)
{
	for (int i = 0; i < TABLES; i++)
		suspects_free(s->tables[i]);
}

static void add_kind(struct sim *s, bool ends_servers, int callers)
{
	struct kind *k = &s->kinds[s->n_kinds++];

	k->id = (struct suspect_id){(uint64_t)s->n_kinds << 20, 1};
	k->ends_servers = ends_servers;
	k->callers = callers;
	k->interval_ms = 50 * (1 + (int)rng_below(&s->rng, 20));
}

static void check(const struct sim *s, enum outage o, uint64_t seed)
{
	for (int i = 0; i < s->n_kinds; i++) {
		const struct kind *k = &s->kinds[i];

		if (k->ends_servers && k->runs_late > MORE_MAX)
			fail_msg("seed %d outage %d: %d runs after the third",
				 (int)seed, (int)o, k->runs_late);
		if (k->ends_servers && !k->refused)
			fail_msg("seed %d outage %d: never refused", (int)seed,
				 (int)o);
		if (!k->ends_servers &&
		    (k->refused || k->served_ms < END_MS - SERVED_AFTER_MS))
			fail_msg("seed %d outage %d: %d denied, %d served, "
				 "last at %d ms",
				 (int)seed, (int)o, k->refused, k->served,
				 (int)k->served_ms);
	}
}

/* Load pattern: servers crash once under lookups that are alike, of one caller or many. */
static void test_lookups_are_served_after_a_crash(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		for (int o = OUTAGE_ALL; o < OUTAGES; o++) {
			struct sim s;

			start(&s, seed);
			add_kind(&s, false, seed % 2 ? 12 : 1);
			s.now = OUTAGE_MS;
			run(&s, (enum outage)o);
			check(&s, (enum outage)o, seed);
			stop(&s);
		}
	}
}

/* Load pattern: a request ends each server, from one caller or from twelve at once, in
 * calm and during a crash. */
static void test_request_that_ends_servers_is_refused(void **state)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		for (int o = OUTAGE_NONE; o < OUTAGES; o++) {
			struct sim s;

			start(&s, seed);
			add_kind(&s, true, seed % 2 ? 12 : 1);
			run(&s, (enum outage)o);
			check(&s, (enum outage)o, seed);
			stop(&s);
		}
	}
}

static struct suspect_id lookup(void)
{
	return (struct suspect_id){7, 7};
}

static void test_servers_that_end_one_by_one_need_no_trial(void **state)
{
	struct suspects *t = suspects_new();
	int64_t wait_ms;

	for (int i = 0; i < 3; i++)
		suspects_ended(t, 2000 * (i + 1), lookup(), server_name(i), 1,
			       2000 * (i + 1) - 100);
	assert_int_equal(suspects_verdict(t, 6000, lookup(), &wait_ms),
			 SUSPECT_REFUSE);
	assert_int_equal(suspects_verdict(t, 66000, lookup(), &wait_ms),
			 SUSPECT_TRY);
	suspects_free(t);
}

static void test_one_moment_says_to_wait(void **state)
{
	struct suspects *t = suspects_new();
	int64_t wait_ms;

	for (int i = 0; i < 3; i++)
		suspects_ended(t, 2000 + i, lookup(), server_name(i), 1,
			       1990 + i);
	assert_int_equal(suspects_verdict(t, 2100, lookup(), &wait_ms),
			 SUSPECT_WAIT);
	assert_in_range(wait_ms, 1, 1000);
	assert_int_equal(suspects_verdict(t, 3002, lookup(), &wait_ms),
			 SUSPECT_TRY);
	suspects_trial_granted(t, 3002, lookup(), 1);
	assert_int_equal(suspects_verdict(t, 3100, lookup(), &wait_ms),
			 SUSPECT_WAIT);
	/* The server refused it without running it. */
	suspects_trial_unused(t, 3200, lookup());
	assert_int_equal(suspects_verdict(t, 4200, lookup(), &wait_ms),
			 SUSPECT_TRY);
	/* It ended a fourth server. */
	suspects_trial_granted(t, 4200, lookup(), 1);
	assert_int_equal(
		suspects_ended(t, 4300, lookup(), server_name(3), 1, 4200),
		SUSPECT_CONFIRMED);
	assert_int_equal(suspects_verdict(t, 4400, lookup(), &wait_ms),
			 SUSPECT_REFUSE);
	suspects_free(t);
}

static void test_confirmed_request_is_tried_a_few_times(void **state)
{
	struct suspects *t = suspects_new();
	int64_t now = 1000000;
	int64_t wait_ms;

	suspects_set_barred(t, now, lookup(), now, now);
	suspects_trial_granted(t, now, lookup(), 1);
	suspects_confirm(t, now, lookup());
	for (int i = 0; i < SUSPECT_TRIALS_CONFIRMED; i++) {
		now += 300000;
		assert_int_equal(suspects_verdict(t, now, lookup(), &wait_ms),
				 SUSPECT_TRY);
		/* Older news of another node change nothing. */
		suspects_trial_granted(t, now, lookup(), 2 + i);
		suspects_trial_granted(t, now, lookup(), 1);
	}
	for (int i = 0; i < 60; i++, now += 300000)
		assert_int_equal(suspects_verdict(t, now, lookup(), &wait_ms),
				 SUSPECT_REFUSE);
	suspects_free(t);
}

/* Trials that time out say nothing: callers are not told that they err. */
static void test_trials_go_on_until_one_tells(void **state)
{
	struct suspects *t = suspects_new();
	int64_t now = 1000000;
	int64_t wait_ms;

	suspects_set_barred(t, now, lookup(), now, now);
	for (int trial = 1; trial < 20; trial++) {
		now += 60000;
		assert_int_equal(suspects_verdict(t, now, lookup(), &wait_ms),
				 SUSPECT_TRY);
		suspects_trial_granted(t, now, lookup(), trial);
		assert_int_equal(
			suspects_verdict(t, now + 10, lookup(), &wait_ms),
			SUSPECT_WAIT);
	}
	suspects_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lookups_are_served_after_a_crash),
		cmocka_unit_test(test_request_that_ends_servers_is_refused),
		cmocka_unit_test(
			test_servers_that_end_one_by_one_need_no_trial),
		cmocka_unit_test(test_one_moment_says_to_wait),
		cmocka_unit_test(test_confirmed_request_is_tried_a_few_times),
		cmocka_unit_test(test_trials_go_on_until_one_tells),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
