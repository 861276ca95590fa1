// Counters under process kills, lost replicas and store outages: what a peer or
// the store once held is neither lost nor counted twice.
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
#include "usage/collect.h"

enum {
	SEEDS = 200,
	MUTANT_STEPS = 30,
	NODES = 6, ///< half of them in each of two failure domains
	STEPS = 400,
	STEP_MS = 100,
};

struct node {
	struct usage_book book;
	struct usage_collect collect;
	int run;
	uint64_t unsent; ///< counted since the last replica was sent
};

static struct rng rng;
static struct node nodes[NODES];
static char *values[2]; ///< stored value of each failure domain
static uint64_t revs[2];
static bool store_up;
static int64_t now;
static uint64_t counted;
static uint64_t lost; ///< counted by nodes killed before a replica was sent
static int bad;
static bool add_up; ///< mutant: merge by sum, not by maximum

static int domain_of(const struct node *n)
{
	return (int)(n - nodes) / (NODES / 2);
}

static void on_get(void *ctx)
{
	struct node *n = ctx;
	int d = domain_of(n);
	struct usage_kv kv = {.err = ERR_KV_UNKNOWN};

	if (store_up) {
		kv.err = values[d] ? ERR_OK : ERR_NOT_FOUND;
		kv.text = values[d];
		kv.len = values[d] ? strlen(values[d]) : 0;
		kv.rev = revs[d];
	}
	usage_collect_on_kv(&n->collect, now, &kv);
}

static void on_put(void *ctx, const char *text, size_t len, uint64_t prev_rev)
{
	struct node *n = ctx;
	int d = domain_of(n);
	struct usage_kv kv = {.err = ERR_KV_UNKNOWN};
	bool effect = store_up && rng_below(&rng, 10) > 0;

	if (effect && revs[d] != prev_rev) {
		kv.err = ERR_KV_CONFLICT;
	} else if (effect) {
		free(values[d]);
		values[d] = strndup(text, len);
		revs[d]++;
		kv.err = rng_below(&rng, 10) ? ERR_OK : ERR_KV_UNKNOWN;
	}
	usage_collect_on_kv(&n->collect, now, &kv);
}

static void on_bad(void *ctx, enum err e)
{
	bad++;
}

static const struct usage_collect_ops ops = {on_get, on_put, on_bad};

static void node_start(struct node *n)
{
	usage_book_clear(&n->book);
	n->run++;
	n->unsent = 0;
	memset(&n->collect, 0, sizeof(n->collect));
	n->collect.ops = &ops;
	n->collect.ctx = n;
	n->collect.book = &n->book;
	n->collect.interval_ms = 1000;
}

static void run_name(const struct node *n, char *buf)
{
	sprintf(buf, "n%d/%d", (int)(n - nodes), n->run);
}

static void count(struct node *n)
{
	uint64_t k = 1 + rng_below(&rng, 50);
	char run[32];

	run_name(n, run);
	usage_book_add(&n->book, run, rng_below(&rng, 2) ? "a" : "b",
		       USAGE_TOKENS, k);
	counted += k;
	n->unsent += k;
}

static void copy_to(const struct node *from, struct node *to)
{
	if (!add_up) {
		usage_book_merge(&to->book, &from->book);
		return;
	}
	for (size_t i = 0; i < from->book.n_entries; i++) {
		const struct usage_entry *e = &from->book.entries[i];

		for (size_t k = 0; k < e->n_rows; k++)
			usage_book_add(&to->book, e->run, e->rows[k].team,
				       USAGE_TOKENS,
				       e->rows[k].v[USAGE_TOKENS]);
	}
}

/// Send replicas to a peer in each failure domain; the other domain's may be
/// lost.
static void copy(struct node *n, bool cut)
{
	int half = NODES / 2;
	int own = domain_of(n) * half + (int)rng_below(&rng, (uint64_t)half);
	int other = (1 - domain_of(n)) * half +
		    (int)rng_below(&rng, (uint64_t)half);

	if (&nodes[own] == n)
		own = domain_of(n) * half + (own + 1) % half;
	copy_to(n, &nodes[own]);
	if (!cut && rng_below(&rng, 4))
		copy_to(n, &nodes[other]);
	n->unsent = 0;
}

static void run_step(int step)
{
	struct node *n = &nodes[rng_below(&rng, NODES)];

	now += STEP_MS;
	store_up = rng_below(&rng, 3) > 0;
	count(n);
	if (rng_below(&rng, 3) > 0)
		copy(n, step % 200 < 80);
	if (rng_below(&rng, 50) == 0) {
		n = &nodes[rng_below(&rng, NODES)];
		copy(n, false);
		for (uint64_t k = rng_below(&rng, 3); k > 0; k--)
			count(n);
		lost += n->unsent; /* at most: some may be stored */
		node_start(n);
	}
	for (int i = 0; i < NODES; i++)
		usage_collect_tick(&nodes[i].collect, now, true);
}

static uint64_t tokens_stored(void)
{
	struct usage_book all = {0};
	uint64_t sum = 0;

	for (int d = 0; d < 2; d++) {
		json_t *j = values[d] ? json_loads(values[d], 0, NULL) : NULL;

		if (j)
			assert_int_equal(usage_book_merge_json(&all, j),
					 ERR_OK);
		json_decref(j);
	}
	for (size_t i = 0; i < all.n_entries; i++) {
		for (size_t k = 0; k < all.entries[i].n_rows; k++)
			sum += all.entries[i].rows[k].v[USAGE_TOKENS];
	}
	usage_book_clear(&all);
	return sum;
}

static uint64_t run_seed(uint64_t seed, int steps)
{
	uint64_t stored;

	rng.state = seed;
	counted = lost = 0;
	now = 0;
	for (int i = 0; i < NODES; i++)
		node_start(&nodes[i]);
	for (int i = 0; i < steps; i++)
		run_step(i);
	for (int i = 0; i < 400; i++) {
		now += STEP_MS;
		store_up = true;
		for (int k = 0; k < NODES; k++)
			usage_collect_tick(&nodes[k].collect, now, true);
	}
	stored = tokens_stored();
	for (int i = 0; i < NODES; i++)
		usage_book_clear(&nodes[i].book);
	for (int d = 0; d < 2; d++) {
		free(values[d]);
		values[d] = NULL;
		revs[d] = 0;
	}
	return stored;
}

static void test_kills_and_outages(void **state)
{
	uint64_t all_counted = 0;
	uint64_t all_lost = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		uint64_t stored = run_seed(seed, STEPS);

		all_lost += counted - stored;
		all_counted += counted;
		if (stored > counted || stored < counted - lost)
			print_message("seed %d\n", (int)seed);
		assert_true(stored <= counted);
		assert_true(stored >= counted - lost);
	}
	print_message("counted %llu, lost with killed nodes %llu\n",
		      (unsigned long long)all_counted,
		      (unsigned long long)all_lost);
	assert_int_equal(bad, 0);
}

static void test_adding_up(void **state)
{
	uint64_t stored;

	add_up = true;
	stored = run_seed(1, MUTANT_STEPS);
	add_up = false;
	print_message("adding up: stored %llu of %llu\n",
		      (unsigned long long)stored, (unsigned long long)counted);
	assert_true(stored > counted);
}

static void test_damaged(void **state)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"n/1\":5}",
		"{\"n/1\":{\"a\":[1,2]}}",
		"{\"n/1\":{\"a\":[1,2,-3]}}",
		"{\"n/1\":{\"a\":[1,2,\"3\"]}}",
	};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		int before = bad;

		node_start(&nodes[0]);
		now += 10000;
		store_up = true;
		values[0] = strdup(texts[i]);
		usage_book_add(&nodes[0].book, "n/1", "a", USAGE_TOKENS, 1);
		usage_collect_tick(&nodes[0].collect, now, true);
		assert_int_equal(bad, before + 1);
		assert_string_equal(values[0], texts[i]);
		free(values[0]);
		values[0] = NULL;
		usage_book_clear(&nodes[0].book);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_kills_and_outages),
		cmocka_unit_test(test_adding_up),
		cmocka_unit_test(test_damaged),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
