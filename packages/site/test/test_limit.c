// Permits of servers with a limit, in virtual time: nodes, homes and messages that take
// some milliseconds.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "base/rng.h"
#include "site/limit.h"

enum {
	SENDERS_MAX = 300,
	HOMES = 4,
	DELAY_MS = 2, ///< of a message
	TICK_MS = 20, ///< between two looks of a node at what waits
	WAIT_MS = 300, ///< that a request waits for a permit
	ASK_TIMEOUT_MS = 100,
	WINDOW_MS = 4000,
	RUN_MS = 60000,
	USED_MIN_PERCENT = 90,
	OVERLOAD = 5, ///< requests that come, times the limit
};

struct sender {
	struct site_limit l;
	int waiting;
	int64_t waits_until_ms;
	int64_t ask_ms; ///< arrival of its ask at the home
	int64_t reply_ms; ///< arrival of the reply, 0: none is on its way
	struct site_grant reply;
};

struct sim {
	struct rng rng;
	struct sender senders[SENDERS_MAX];
	int n;
	double per_s;
	struct site_limit homes[HOMES];
	bool cut[HOMES][SENDERS_MAX]; ///< a sender's messages don't arrive
	bool unsettled[HOMES];
	int rank_of_home[2][HOMES]; ///< in the views of both kinds of senders
	int64_t *sent; ///< times of requests
	int n_sent;
	int n_asks;
};

static void sender_ask(struct sim *m, struct sender *s, int64_t now)
{
	int kind = (int)(s - m->senders) % 2;
	int who = (int)(s - m->senders);

	for (int h = 0; h < HOMES; h++) {
		double share;

		if (m->rank_of_home[kind][h] != s->l.rank)
			continue;
		s->l.asked_ms = now;
		m->n_asks++;
		if (m->cut[h][who])
			return;
		share = site_limit_share(m->rank_of_home[kind][h], HOMES,
					 !m->unsettled[h]);
		s->reply = site_limit_grant(&m->homes[h], share, s->l.wanted,
					    now + DELAY_MS);
		s->reply_ms = now + 2 * DELAY_MS;
		return;
	}
	s->reply = (struct site_grant){.wait_ms = WAIT_MS};
	site_limit_granted(&s->l, &s->reply, now);
}

static void sender_step(struct sim *m, struct sender *s, int64_t now)
{
	if (s->reply_ms && now >= s->reply_ms) {
		if (s->l.asked_ms)
			site_limit_granted(&s->l, &s->reply, now);
		s->reply_ms = 0;
	}
	if (s->l.asked_ms && now - s->l.asked_ms >= ASK_TIMEOUT_MS) {
		s->l.asked_ms = 0;
		s->l.rank++;
		sender_ask(m, s, now);
	}
	if (s->waiting && now >= s->waits_until_ms)
		s->waiting = 0;
	if ((now + (s - m->senders)) % TICK_MS)
		return;
	while (s->waiting && site_limit_allows(&s->l, now)) {
		site_limit_use(&s->l, now);
		s->waiting--;
		m->sent[m->n_sent++] = now;
	}
	if (!s->waiting || site_limit_pending(&s->l, now))
		return;
	if (now < s->l.refused_until_ms) {
		s->waiting = 0; /* refused at once */
		return;
	}
	s->l.wanted = s->waiting;
	s->l.rank = 0;
	sender_ask(m, s, now);
}

static void run(struct sim *m, int64_t from, int64_t until)
{
	double each_ms = m->n * 1000.0 / (m->per_s * OVERLOAD);

	for (int64_t now = from; now < until; now++) {
		for (int i = 0; i < m->n; i++) {
			struct sender *s = &m->senders[i];

			if (rng_unit(&m->rng) * each_ms < 1) {
				s->waiting++;
				s->waits_until_ms = now + WAIT_MS;
			}
			sender_step(m, s, now);
		}
	}
}

static int64_t sent[1 << 20];

static void sim_init(struct sim *m, int n, double per_s)
{
	memset(m, 0, sizeof(*m));
	m->n = n;
	m->per_s = per_s;
	m->sent = sent;
	m->rng.state = (uint64_t)n;
	for (int i = 0; i < n; i++)
		m->senders[i].l.per_s = per_s;
	for (int h = 0; h < HOMES; h++) {
		m->homes[h].per_s = per_s;
		m->rank_of_home[0][h] = h;
		m->rank_of_home[1][h] = h;
	}
}

static int max_in_window(const struct sim *m)
{
	int max = 0;

	for (int a = 0, b = 0; b < m->n_sent; b++) {
		while (m->sent[b] - m->sent[a] >= WINDOW_MS)
			a++;
		max = b - a + 1 > max ? b - a + 1 : max;
	}
	return max;
}

static int allowed(double per_s)
{
	return (int)(per_s * 1.5 * WINDOW_MS / 1000 + 5);
}

static void test_share_of_the_limit_used_by_1_to_300_senders(void **state)
{
	static const int senders[] = {1, 9, 53, 300};
	static const double limits[] = {1, 2.5, 8, 40};
	static struct sim m;

	for (int i = 0; i < 4; i++) {
		for (int k = 0; k < 4; k++) {
			double share;

			sim_init(&m, senders[i], limits[k]);
			run(&m, 0, RUN_MS);
			share = m.n_sent * 1000.0 / (RUN_MS * limits[k]);
			print_message("%d senders, limit %.1f: %.2f of it, "
				      "most in 4 s %d of %d, %.0f asks/s\n",
				      senders[i], limits[k], share,
				      max_in_window(&m), allowed(limits[k]),
				      m.n_asks * 1000.0 / RUN_MS);
			assert_true(share * 100 >= USED_MIN_PERCENT);
			assert_in_range(max_in_window(&m), 1,
					allowed(limits[k]));
		}
	}
}

/* Half of the senders can't reach the first home and ask the next ones. */
static void test_sum_holds_while_senders_are_cut_off_from_a_home(void **state)
{
	static struct sim m;

	sim_init(&m, 53, 1);
	for (int i = 0; i < 53; i += 2) {
		m.cut[0][i] = true;
		m.cut[1][i] = i % 4;
	}
	run(&m, 0, RUN_MS);
	assert_in_range(max_in_window(&m), 1, allowed(1));
}

/* A home joins and half of the senders know of it 3 s before the others do. */
static void test_sum_holds_while_senders_know_different_homes(void **state)
{
	static const double limits[] = {1, 8, 40};
	static struct sim m;

	for (int k = 0; k < 3; k++) {
		sim_init(&m, 53, limits[k]);
		run(&m, 0, 10000);
		for (int h = 0; h < HOMES; h++)
			m.rank_of_home[1][h] = (h + 1) % HOMES;
		m.unsettled[HOMES - 1] = true;
		run(&m, 10000, 13000);
		memcpy(m.rank_of_home[0], m.rank_of_home[1],
		       sizeof(m.rank_of_home[0]));
		run(&m, 13000, 10000 + SITE_LIMIT_SETTLE_MS);
		m.unsettled[HOMES - 1] = false;
		run(&m, 10000 + SITE_LIMIT_SETTLE_MS, 30000);
		print_message("limit %.0f: most in 4 s %d of %d\n", limits[k],
			      max_in_window(&m), allowed(limits[k]));
		assert_in_range(max_in_window(&m), 1, allowed(limits[k]));
	}
}

static void test_homes_grant_a_quarter_more_than_the_limit_at_most(void **state)
{
	for (size_t homes = 1; homes <= 10; homes++) {
		double sum = 0;

		for (int rank = -1; rank < (int)homes; rank++)
			sum += site_limit_share(rank, homes, true);
		assert_true(sum <= 1.2501);
		assert_true(site_limit_share(0, homes, true) >= 0.9);
	}
}

static void test_ranks_of_homes_are_a_permutation(void **state)
{
	const char *const names[] = {"a", "b", "c", "d", "e"};
	int seen = 0;

	for (int i = 0; i < 5; i++)
		seen |= 1 << site_limit_rank("i-1", names, 5, names[i]);
	assert_int_equal(seen, 31);
	assert_int_equal(site_limit_rank("i-1", names, 5, "f"), -1);
}

/* An answer without a limit ends it, but not one that was made before it. */
static void test_limit_ended_by_an_answer_without_it(void **state)
{
	struct site_limit l = {0};

	assert_false(site_limit_observe(&l, 0, 50));
	assert_true(site_limit_allows(&l, 50));
	assert_true(site_limit_observe(&l, 2, 100));
	assert_false(site_limit_allows(&l, 100));
	assert_false(site_limit_observe(&l, 3, 90));
	assert_false(site_limit_observe(&l, 0, 150));
	assert_true(l.per_s == 2);
	assert_true(site_limit_observe(&l, 0, 1000));
	assert_true(site_limit_allows(&l, 1000));
	/* Another node's older view does not bring it back. */
	assert_false(site_limit_observe(&l, 2, 900));
	assert_true(site_limit_allows(&l, 1000));
}

static void test_permits_expire(void **state)
{
	const struct site_grant g = {.n = 2, .wait_ms = 10, .interval_ms = 100};
	struct site_limit l = {.per_s = 10, .named_ms = 1};

	site_limit_granted(&l, &g, 1000);
	assert_false(site_limit_allows(&l, 1009));
	assert_true(site_limit_allows(&l, 1010));
	site_limit_use(&l, 1010);
	assert_false(site_limit_allows(&l, 1011));
	assert_true(site_limit_allows(&l, 1110));
	assert_true(site_limit_pending(&l, 1110));
	assert_false(site_limit_allows(&l, 1110 + SITE_LIMIT_USE_MS));
	assert_false(site_limit_pending(&l, 1110 + SITE_LIMIT_USE_MS));
}

/* Nodes that are refused at once get different times to ask again. */
static void test_refused_nodes_return_one_after_the_other(void **state)
{
	struct site_limit l = {.per_s = 8, .named_ms = 1};
	double last = -1000;

	while (site_limit_grant(&l, 0.95, 1, 1000).n)
		;
	for (int i = 0; i < 3; i++) {
		struct site_grant g = site_limit_grant(&l, 0.95, 1, 1000);

		assert_int_equal(g.n, 0);
		assert_true(g.wait_ms > last + 100);
		last = g.wait_ms;
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_share_of_the_limit_used_by_1_to_300_senders),
		cmocka_unit_test(
			test_sum_holds_while_senders_are_cut_off_from_a_home),
		cmocka_unit_test(
			test_sum_holds_while_senders_know_different_homes),
		cmocka_unit_test(
			test_homes_grant_a_quarter_more_than_the_limit_at_most),
		cmocka_unit_test(test_ranks_of_homes_are_a_permutation),
		cmocka_unit_test(test_limit_ended_by_an_answer_without_it),
		cmocka_unit_test(test_permits_expire),
		cmocka_unit_test(test_refused_nodes_return_one_after_the_other),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
