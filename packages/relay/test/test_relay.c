// Relays: followers converge to the store's contents and avoid a bad relay.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <stdio.h>

#include "base/rng.h"
#include "relay/copy.h"
#include "relay/follow.h"

/* Update a follower's copy from a relay's. */
static void update_follower(const struct relay_copy *from,
			    struct relay_copy *to)
{
	bool all = relay_copy_needs_full(from, to->rev);

	if (all)
		relay_copy_begin_list(to);
	for (size_t i = 0; i < from->n; i++) {
		const struct relay_item *it = &from->items[i];

		if (!all && it->rev <= to->rev)
			continue;
		if (it->value)
			relay_copy_put(to, it->key, it->value, it->len,
				       it->rev);
		else
			relay_copy_del(to, it->key, it->rev);
	}
	if (all)
		relay_copy_end_list(to, from->rev);
	to->rev = from->rev;
}

static size_t count_live(const struct relay_copy *c)
{
	size_t n = 0;

	for (size_t i = 0; i < c->n; i++)
		n += c->items[i].value != NULL;
	return n;
}

static bool has_item(const struct relay_copy *c, const struct relay_item *it)
{
	for (size_t i = 0; i < c->n; i++) {
		const struct relay_item *x = &c->items[i];

		if (x->value && x->len == it->len &&
		    strcmp(x->key, it->key) == 0 &&
		    memcmp(x->value, it->value, it->len) == 0)
			return true;
	}
	return false;
}

static void assert_same(const struct relay_copy *a, const struct relay_copy *b,
			uint64_t seed)
{
	if (count_live(a) != count_live(b))
		fail_msg("seed %llu: %zu and %zu keys",
			 (unsigned long long)seed, count_live(a),
			 count_live(b));
	for (size_t i = 0; i < a->n; i++) {
		if (a->items[i].value && !has_item(b, &a->items[i]))
			fail_msg("seed %llu: %s", (unsigned long long)seed,
				 a->items[i].key);
	}
}

/* Random changes and requests, with more deletions than a relay keeps: a follower
 * must not keep a deleted key. */
static void test_followers_converge_to_relay(void **state)
{
	for (uint64_t seed = 1; seed <= 60; seed++) {
		struct rng rng = {seed};
		struct relay_copy relay = {0};
		struct relay_copy follower = {0};

		for (uint64_t rev = 1; rev <= 2000; rev++) {
			char key[16], value[16];

			snprintf(key, sizeof(key), "k%d",
				 (int)rng_below(&rng, 600));
			snprintf(value, sizeof(value), "v%d", (int)rev);
			if (rng_below(&rng, 2))
				relay_copy_put(&relay, key, value,
					       strlen(value), rev);
			else
				relay_copy_del(&relay, key, rev);
			relay.rev = rev;
			if (rng_below(&rng, seed % 7 == 0 ? 900 : 20) == 0)
				update_follower(&relay, &follower);
		}
		update_follower(&relay, &follower);
		assert_same(&relay, &follower, seed);
		relay_copy_free(&relay);
		relay_copy_free(&follower);
	}
}

static void test_full_list_deletes_absent_keys(void **state)
{
	struct relay_copy c = {0};

	relay_copy_put(&c, "a", "1", 1, 5);
	relay_copy_put(&c, "b", "1", 1, 6);
	relay_copy_begin_list(&c);
	relay_copy_put(&c, "b", "1", 1, 6);
	relay_copy_end_list(&c, 9);
	assert_int_equal(count_live(&c), 1);
	assert_true(relay_copy_changed(&c, 8));
	assert_false(relay_copy_changed(&c, 9));
	relay_copy_free(&c);
}

static void test_bad_relay_is_avoided_and_retried(void **state)
{
	struct follow f = {.salt = 7};
	int64_t sent_ms;

	assert_null(follow_select(&f, 0));
	follow_add(&f, 0, "far", "1:1", false);
	follow_add(&f, 0, "near", "2:1", true);
	/* Connections are established first. */
	assert_null(follow_select(&f, 0));
	assert_string_equal(follow_select(&f, 200)->node, "near");
	follow_request_sent(&f, 210);
	assert_null(follow_select(&f, 210));
	/* A response to an older request. */
	assert_false(follow_response(&f, f.seq - 1, &sent_ms));
	assert_false(follow_is_timed_out(&f, 500));
	assert_true(follow_is_timed_out(&f, 1000));
	/* Retried once: the first request on a connection may be lost. */
	follow_timed_out(&f, 1000);
	assert_null(follow_select(&f, 1000));
	assert_string_equal(follow_select(&f, 1200)->node, "near");
	follow_request_sent(&f, 1200);
	follow_timed_out(&f, 2000);
	assert_false(follow_response(&f, f.seq, &sent_ms));
	assert_string_equal(follow_select(&f, 2000)->node, "far");
	follow_request_sent(&f, 2000);
	assert_true(follow_response(&f, f.seq, &sent_ms));
	assert_int_equal(sent_ms, 2000);
	/* The near one is tried again. */
	assert_string_equal(follow_select(&f, 5000)->node, "near");
	/* Its data is too old: avoided for a shorter time. */
	follow_stale(&f, 5000);
	assert_string_equal(follow_select(&f, 5000)->node, "far");
	assert_string_equal(follow_select(&f, 5300)->node, "near");
	follow_del(&f, "near");
	assert_string_equal(follow_select(&f, 5000)->node, "far");
	follow_unreachable(&f, 5000);
	assert_false(follow_available(&f, 5001));
	assert_null(follow_select(&f, 5001));
}

/* Load pattern: many followers, several relays in one domain: each gets its share. */
static void test_followers_spread_over_relays(void **state)
{
	int n[4] = {0};

	for (uint64_t i = 0; i < 400; i++) {
		struct follow f = {.salt = i * 0x9e3779b97f4a7c15u + 1};

		for (int k = 0; k < 4; k++) {
			char node[8];

			snprintf(node, sizeof(node), "r%d", k);
			follow_add(&f, 0, node, "1:1", true);
		}
		n[follow_select(&f, 1000)->node[1] - '0']++;
	}
	for (int k = 0; k < 4; k++)
		assert_in_range(n[k], 60, 140);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_followers_converge_to_relay),
		cmocka_unit_test(test_full_list_deletes_absent_keys),
		cmocka_unit_test(test_bad_relay_is_avoided_and_retried),
		cmocka_unit_test(test_followers_spread_over_relays),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
