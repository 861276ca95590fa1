// Tests weight loads without known demand: shares of models, the limit of
// concurrent loads, retries and priorities.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <stdio.h>

#include "base/rng.h"
#include "rollplan/rollplan.h"

enum {
	SERVERS = 11,
	MODELS = 3,
	LOAD_MS = 900,
	STEP_MS = 4000,
	/* 11 loads of 0.9 s every 4 s take about 2.5 at a time. */
	MAX_LOADS = 3,
};

struct load {
	htab_handle server;
	int model;
	uint64_t version;
	int64_t done_ms; ///< 0 if none is in progress
};

static void put_server(struct site_servers *t, uint64_t rev, int i,
		       const uint64_t *versions)
{
	struct site_server_entry e = {.slots = 12, .n_models = MODELS};

	snprintf(e.id, sizeof(e.id), "s%02d", i);
	snprintf(e.domain, sizeof(e.domain), "d%d", i % 3);
	strcpy(e.service, "svc");
	for (int m = 0; m < MODELS; m++) {
		snprintf(e.models[m].name, SITE_NAME_SIZE, "m%d", m);
		e.models[m].version = versions[m];
	}
	site_servers_put(t, rev, 0, &e);
}

static uint64_t published_version(int model, int64_t now)
{
	return 2 + (uint64_t)((now + model * 700) / STEP_MS);
}

/* A step may use the newest version or the one before: at least half of each
 * model's servers must have one of them. */
static void assert_half_usable(const struct rollplan *p,
			       const struct site_servers *t, int64_t now)
{
	htab_handle out[SERVERS];

	for (int m = 0; m < MODELS; m++) {
		char name[8];
		int usable = 0;
		int n;

		snprintf(name, sizeof(name), "m%d", m);
		n = rollplan_model_servers(p, t, "svc", name, out, SERVERS);
		for (int k = 0; k < n; k++)
			usable += site_server_version(
					  site_servers_get(t, out[k]), name) +
					  1 >=
				  published_version(m, now);
		assert_true(2 * usable >= n);
	}
}

/* Guards against models whose weights are never loaded: there are more of them than a fixed
 * number. One that has no place in the plan is refused. */
static void test_every_model_is_loaded(void **state)
{
	enum {
		MANY = 24
	};
	const struct rollplan_opts opts = {.max_loads = MANY,
					   .load_max_ms = LOAD_MS,
					   .order_timeout_ms = 4000};
	struct site_server_entry e = {.slots = 12, .n_models = MANY};
	struct site_servers *t = site_servers_new();
	bool loaded[MANY] = {false};
	struct rollplan_order o;
	struct rollplan p;
	char name[16];
	int n = 0;

	rollplan_init(&p, &opts);
	strcpy(e.service, "svc");
	strcpy(e.domain, "d0");
	for (int i = 0; i < MANY; i++) {
		snprintf(name, sizeof(name), "m%d", i);
		strcpy(e.models[i].name, name);
		e.models[i].version = 1;
		assert_int_equal(rollplan_set_target(&p, name, 2), ERR_OK);
	}
	for (int i = 0; i < MANY; i++) {
		snprintf(e.id, sizeof(e.id), "s%02d", i);
		site_servers_put(t, (uint64_t)i + 1, 0, &e);
	}
	while (rollplan_next_order(&p, t, "svc", 0, &o))
		loaded[atoi(o.model + 1)] = true;
	for (int i = 0; i < MANY; i++)
		n += loaded[i];
	assert_int_equal(n, MANY);
	for (int i = MANY; i < ROLLPLAN_MODELS_MAX; i++) {
		snprintf(name, sizeof(name), "m%d", i);
		assert_int_equal(rollplan_set_target(&p, name, 2), ERR_OK);
	}
	assert_int_equal(rollplan_set_target(&p, "more", 2), ERR_FULL);
	assert_int_equal(rollplan_set_target(&p, "m0", 3), ERR_OK);
	site_servers_free(t);
}

/* Guards against too few usable servers and against needless loads: each model
 * publishes ten versions, one every four seconds. */
static void test_each_model_keeps_usable_servers(void **state)
{
	const struct rollplan_opts opts = {.max_loads = MAX_LOADS,
					   .load_max_ms = LOAD_MS,
					   .order_timeout_ms = 4000};
	struct site_servers *t = site_servers_new();
	uint64_t have[SERVERS][MODELS];
	struct load loads[SERVERS] = {0};
	htab_handle out[SERVERS];
	struct rollplan p;
	uint64_t rev = 1;
	int orders = 0;

	rollplan_init(&p, &opts);
	for (int i = 0; i < SERVERS; i++) {
		for (int m = 0; m < MODELS; m++)
			have[i][m] = 1;
		put_server(t, rev++, i, have[i]);
	}
	for (int64_t now = 0; now < 10 * STEP_MS; now += 20) {
		struct rollplan_order o;
		int loading = 0;

		for (int m = 0; m < MODELS; m++) {
			char name[8];

			snprintf(name, sizeof(name), "m%d", m);
			rollplan_set_target(
				&p, name,
				2 + (uint64_t)((now + m * 700) / STEP_MS));
		}
		for (int i = 0; i < SERVERS; i++) {
			if (!loads[i].done_ms || now < loads[i].done_ms)
				continue;
			have[i][loads[i].model] = loads[i].version;
			put_server(t, rev++, i, have[i]);
			loads[i].done_ms = 0;
		}
		while (rollplan_next_order(&p, t, "svc", now, &o)) {
			const struct site_server *s =
				site_servers_get(t, o.server);
			int i = atoi(s->entry.id + 1);

			orders++;
			assert_int_equal(loads[i].done_ms, 0);
			loads[i] = (struct load){o.server, o.model[1] - '0',
						 o.version, now + LOAD_MS};
		}
		for (int i = 0; i < SERVERS; i++)
			loading += loads[i].done_ms != 0;
		assert_in_range(loading, 0, MAX_LOADS);
		if (now >= 2 * STEP_MS)
			assert_half_usable(&p, t, now);
	}
	for (int m = 0; m < MODELS; m++) {
		char name[8];
		int n;

		snprintf(name, sizeof(name), "m%d", m);
		n = rollplan_model_servers(&p, t, "svc", name, out, SERVERS);
		assert_in_range(n, 3, 4);
		for (int k = 0; k < n; k++)
			assert_in_range(
				site_server_version(site_servers_get(t, out[k]),
						    name),
				published_version(m, 10 * STEP_MS) - 1,
				published_version(m, 10 * STEP_MS));
	}
	/* No more loads than needed: 10 versions on 11 servers. */
	assert_in_range(orders, 80, SERVERS * 11);
	site_servers_free(t);
}

/* Guards against a lost server that is not replaced, and a failed order that is not
 * retried. */
static void test_lost_server_is_replaced(void **state)
{
	const struct rollplan_opts opts = {.max_loads = 2,
					   .load_max_ms = LOAD_MS,
					   .order_timeout_ms = 4000};
	static const uint64_t first[MODELS] = {1, 1, 1};
	static const uint64_t second[MODELS] = {2, 1, 1};
	struct site_servers *t = site_servers_new();
	struct rollplan_order o;
	struct rollplan p;

	rollplan_init(&p, &opts);
	rollplan_set_target(&p, "m0", 2);
	put_server(t, 1, 0, second);
	put_server(t, 2, 1, first);
	site_servers_remove(t, "s00", 0, false);
	assert_true(rollplan_next_order(&p, t, "svc", 0, &o));
	assert_string_equal(site_servers_get(t, o.server)->entry.id, "s01");
	/* No second order while the first may be in flight. */
	assert_false(rollplan_next_order(&p, t, "svc", 100, &o));
	rollplan_order_failed(&p, o.server, 200);
	assert_false(rollplan_next_order(&p, t, "svc", 250, &o));
	assert_true(rollplan_next_order(&p, t, "svc", 600, &o));
	site_servers_free(t);
}

/* Load pattern: entries show a load up to 800 ms after it ended, and one model has
 * no server left that its next step may use. That model must come first, and loads
 * must continue without waiting for the entries. */
static void test_model_without_usable_servers_first(void **state)
{
	const struct rollplan_opts opts = {.max_loads = 2,
					   .load_max_ms = LOAD_MS,
					   .order_timeout_ms = 4000};
	static const uint64_t versions[4][MODELS] = {
		{4, 1, 1}, {6, 1, 1}, {1, 4, 1}, {1, 4, 1}};
	struct site_servers *t = site_servers_new();
	struct rollplan_order o;
	struct rollplan p;

	rollplan_init(&p, &opts);
	rollplan_set_target(&p, "m0", 6);
	rollplan_set_target(&p, "m1", 6);
	for (int i = 0; i < 4; i++)
		put_server(t, (uint64_t)i + 1, i, versions[i]);
	assert_true(rollplan_next_order(&p, t, "svc", 0, &o));
	assert_string_equal(o.model, "m1");
	assert_true(rollplan_next_order(&p, t, "svc", 0, &o));
	assert_string_equal(o.model, "m1");
	assert_false(rollplan_next_order(&p, t, "svc", LOAD_MS - 1, &o));
	/* The entries do not show the first loads yet. */
	assert_true(rollplan_next_order(&p, t, "svc", LOAD_MS, &o));
	assert_string_equal(o.model, "m0");
	site_servers_free(t);
}

/* Complete all orders.
 *
 * @return their number */
static int load_all(struct rollplan *p, struct site_servers *t,
		    uint64_t have[SERVERS][MODELS], int64_t now)
{
	static uint64_t rev = 1000;
	struct rollplan_order o;
	int orders = 0;

	for (; orders < 1000 && rollplan_next_order(p, t, "svc", now, &o);
	     orders++, now += LOAD_MS) {
		int i = atoi(site_servers_get(t, o.server)->entry.id + 1);

		have[i][o.model[1] - '0'] = o.version;
		put_server(t, rev++, i, have[i]);
	}
	return orders;
}

static int share_size(const struct rollplan *p, const struct site_servers *t,
		      int model)
{
	htab_handle out[SERVERS];
	char name[8];

	snprintf(name, sizeof(name), "m%d", model);
	return rollplan_model_servers(p, t, "svc", name, out, SERVERS);
}

/* Load pattern: steps of one model are four times the work of another's. On the
 * large site, eight trainers with equal shares: those with heavy steps ended up to
 * 13 s behind, the others were on time. Shares must follow the work, and variations
 * of a tenth from step to step must not move servers. */
static void test_shares_follow_work(void **state)
{
	static const double work[MODELS] = {1000, 2000, 4000};
	const struct rollplan_opts opts = {.max_loads = MAX_LOADS,
					   .load_max_ms = LOAD_MS,
					   .order_timeout_ms = 4000};
	struct site_servers *t = site_servers_new();
	uint64_t have[SERVERS][MODELS];
	struct rng rng = {7};
	struct rollplan p;
	int64_t now = 0;

	rollplan_init(&p, &opts);
	for (int i = 0; i < SERVERS; i++) {
		for (int m = 0; m < MODELS; m++)
			have[i][m] = 1;
		put_server(t, (uint64_t)i + 1, i, have[i]);
	}
	for (uint64_t v = 2; v < 40; v++) {
		for (int m = 0; m < MODELS; m++) {
			char name[8];

			snprintf(name, sizeof(name), "m%d", m);
			rollplan_set_target(&p, name, v);
			rollplan_set_work(
				&p, name,
				work[m] * (0.95 + 0.1 * rng_unit(&rng)));
		}
		/* The first versions may also move servers between models. */
		if (v > 4)
			assert_int_equal(load_all(&p, t, have, now), SERVERS);
		else
			load_all(&p, t, have, now);
		now += 100 * STEP_MS;
	}
	assert_in_range(share_size(&p, t, 0), 2, 3);
	assert_in_range(share_size(&p, t, 1), 3, 4);
	assert_in_range(share_size(&p, t, 2), 5, 6);
	site_servers_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_each_model_keeps_usable_servers),
		cmocka_unit_test(test_every_model_is_loaded),
		cmocka_unit_test(test_shares_follow_work),
		cmocka_unit_test(test_lost_server_is_replaced),
		cmocka_unit_test(test_model_without_usable_servers_first),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
