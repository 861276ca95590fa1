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
	struct usage_counters counters;
	struct usage_collect collect;
	int run;
	uint64_t unreplicated; ///< counted since the last replica was sent
};

static struct rng rng;
static struct node nodes[NODES];
static char *values[2]; ///< stored value of each failure domain
static uint64_t revs[2];
static bool store_up;
static int64_t now;
static uint64_t counted;
static uint64_t lost_max; ///< counted by nodes killed before a replica was sent
static int n_bad;
static bool merge_by_sum; ///< mutant: merge by sum, not by maximum

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
	n_bad++;
}

static const struct usage_collect_ops ops = {on_get, on_put, on_bad};

static void node_start(struct node *n)
{
	usage_counters_clear(&n->counters);
	n->run++;
	n->unreplicated = 0;
	memset(&n->collect, 0, sizeof(n->collect));
	n->collect.ops = &ops;
	n->collect.ctx = n;
	n->collect.counters = &n->counters;
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
	usage_counters_add(&n->counters, run, rng_below(&rng, 2) ? "a" : "b",
			   USAGE_TOKENS, k);
	counted += k;
	n->unreplicated += k;
}

static void replicate_to(const struct node *from, struct node *to)
{
	if (!merge_by_sum) {
		usage_counters_merge(&to->counters, &from->counters);
		return;
	}
	for (size_t i = 0; i < from->counters.n_entries; i++) {
		const struct usage_entry *e = &from->counters.entries[i];

		for (size_t k = 0; k < e->n_rows; k++)
			usage_counters_add(&to->counters, e->run,
					   e->rows[k].team, USAGE_TOKENS,
					   e->rows[k].v[USAGE_TOKENS]);
	}
}

/// Send replicas to a peer in each failure domain; the other domain's may be
/// lost.
static void replicate(struct node *n, bool partitioned)
{
	int per_domain = NODES / 2;
	int own = domain_of(n) * per_domain +
		  (int)rng_below(&rng, (uint64_t)per_domain);
	int other = (1 - domain_of(n)) * per_domain +
		    (int)rng_below(&rng, (uint64_t)per_domain);

	if (&nodes[own] == n)
		own = domain_of(n) * per_domain + (own + 1) % per_domain;
	replicate_to(n, &nodes[own]);
	if (!partitioned && rng_below(&rng, 4))
		replicate_to(n, &nodes[other]);
	n->unreplicated = 0;
}

static void run_step(int step)
{
	struct node *n = &nodes[rng_below(&rng, NODES)];

	now += STEP_MS;
	store_up = rng_below(&rng, 3) > 0;
	count(n);
	if (rng_below(&rng, 3) > 0)
		replicate(n, step % 200 < 80);
	if (rng_below(&rng, 50) == 0) {
		n = &nodes[rng_below(&rng, NODES)];
		replicate(n, false);
		for (uint64_t k = rng_below(&rng, 3); k > 0; k--)
			count(n);
		lost_max += n->unreplicated; /* at most: some may be stored */
		node_start(n);
	}
	for (int i = 0; i < NODES; i++)
		usage_collect_tick(&nodes[i].collect, now, true);
}

static uint64_t tokens_stored(void)
{
	struct usage_counters all = {0};
	uint64_t sum = 0;

	for (int d = 0; d < 2; d++) {
		json_t *j = values[d] ? json_loads(values[d], 0, NULL) : NULL;

		if (j)
			assert_int_equal(usage_counters_merge_json(&all, j),
					 ERR_OK);
		json_decref(j);
	}
	for (size_t i = 0; i < all.n_entries; i++) {
		for (size_t k = 0; k < all.entries[i].n_rows; k++)
			sum += all.entries[i].rows[k].v[USAGE_TOKENS];
	}
	usage_counters_clear(&all);
	return sum;
}

static uint64_t run_seed(uint64_t seed, int steps)
{
	uint64_t stored;

	rng.state = seed;
	counted = lost_max = 0;
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
		usage_counters_clear(&nodes[i].counters);
	for (int d = 0; d < 2; d++) {
		free(values[d]);
		values[d] = NULL;
		revs[d] = 0;
	}
	return stored;
}

static void test_replicated_counts_survive(void **state)
{
	uint64_t counted_sum = 0;
	uint64_t lost_sum = 0;

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		uint64_t stored = run_seed(seed, STEPS);

		lost_sum += counted - stored;
		counted_sum += counted;
		if (stored > counted || stored < counted - lost_max)
			print_message("seed %d\n", (int)seed);
		assert_true(stored <= counted);
		assert_true(stored >= counted - lost_max);
	}
	print_message("counted %llu, lost with killed nodes %llu\n",
		      (unsigned long long)counted_sum,
		      (unsigned long long)lost_sum);
	assert_int_equal(n_bad, 0);
}

static void test_merge_by_sum_overcounts(void **state)
{
	uint64_t stored;

	merge_by_sum = true;
	stored = run_seed(1, MUTANT_STEPS);
	merge_by_sum = false;
	print_message("adding up: stored %llu of %llu\n",
		      (unsigned long long)stored, (unsigned long long)counted);
	assert_true(stored > counted);
}

static void test_malformed_value_kept(void **state)
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
		int before = n_bad;

		node_start(&nodes[0]);
		now += 10000;
		store_up = true;
		values[0] = strdup(texts[i]);
		usage_counters_add(&nodes[0].counters, "n/1", "a", USAGE_TOKENS,
				   1);
		usage_collect_tick(&nodes[0].collect, now, true);
		assert_int_equal(n_bad, before + 1);
		assert_string_equal(values[0], texts[i]);
		free(values[0]);
		values[0] = NULL;
		usage_counters_clear(&nodes[0].counters);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_replicated_counts_survive),
		cmocka_unit_test(test_merge_by_sum_overcounts),
		cmocka_unit_test(test_malformed_value_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
