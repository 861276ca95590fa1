// Routes, keys and servers: what a node may use, and when it must stop.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <stdio.h>

#include "site/conf.h"
#include "site/server.h"

static struct site_route routes[] = {
	{.name = "all", .host = "h", .prefix = "/"},
	{.name = "a", .host = "h", .prefix = "/a/"},
	{.name = "ab", .host = "h", .prefix = "/a/b/"},
	{.name = "other", .host = "o", .prefix = "/a/"},
};

static void test_longest_prefix(void **state)
{
	const struct site_conf conf = {.routes = routes, .n_routes = 4};

	assert_string_equal(site_conf_route(&conf, "h", "/a/b/c")->name, "ab");
	assert_string_equal(site_conf_route(&conf, "h", "/a/c")->name, "a");
	assert_string_equal(site_conf_route(&conf, "h", "/a")->name, "all");
	assert_string_equal(site_conf_route(&conf, "o", "/a/b/c")->name,
			    "other");
	assert_null(site_conf_route(&conf, "o", "/b/"));
	assert_null(site_conf_route(&conf, "x", "/a/"));
}

static void test_keys(void **state)
{
	const char *teams[] = {"t0", "t1"};
	struct site_key keys[3];
	struct site_conf conf = {
		.teams = teams, .n_teams = 2, .keys = keys, .n_keys = 3};

	site_key_hash("alpha", keys[0].hash);
	site_key_hash("beta", keys[1].hash);
	site_key_hash("gamma", keys[2].hash);
	keys[0].team = 0;
	keys[1].team = 1;
	keys[2].team = 0;
	site_conf_seal(&conf);
	assert_string_equal(site_conf_team(&conf, "alpha"), "t0");
	assert_string_equal(site_conf_team(&conf, "beta"), "t1");
	assert_string_equal(site_conf_team(&conf, "gamma"), "t0");
	assert_null(site_conf_team(&conf, "delta"));
	assert_null(site_conf_team(&conf, ""));
	assert_null(site_conf_team(&conf, NULL));
}

static struct site_server_entry entry(const char *id, const char *domain)
{
	struct site_server_entry e = {
		.started_ms = 1000, .slots = 2, .n_models = 1};

	snprintf(e.id, sizeof(e.id), "%s", id);
	strcpy(e.service, "svc");
	strcpy(e.addr, "127.0.0.1:1");
	snprintf(e.domain, sizeof(e.domain), "%s", domain);
	strcpy(e.models[0].name, "m");
	e.models[0].version = 3;
	return e;
}

static struct site_server *choose(struct site_servers *t, int64_t now)
{
	const struct site_ask ask = {.service = "svc", .domain = "d1"};

	return site_servers_choose(t, now, &ask);
}

static void test_restart_is_new(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	htab_handle h;

	site_servers_put(t, 5, 0, &e);
	h = choose(t, 0)->self;
	e.started_ms = 2000;
	site_servers_put(t, 6, 0, &e);
	assert_null(site_servers_get(t, h));
	assert_non_null(choose(t, 0));
	/* An older entry that comes late changes nothing. */
	e.leaving = true;
	site_servers_put(t, 4, 0, &e);
	assert_non_null(choose(t, 0));
	site_servers_free(t);
}

static void test_leaving_and_domain(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");

	site_servers_put(t, 1, 0, &e);
	site_servers_domain_out(t, "d1", true);
	assert_null(choose(t, 0));
	site_servers_domain_out(t, "d1", false);
	assert_non_null(choose(t, 0));
	e.leaving = true;
	site_servers_put(t, 2, 0, &e);
	assert_null(choose(t, 0));
	site_servers_free(t);
}

/* The hunt's day: an entry goes while the store answers. */
static void test_gone_at_once(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");

	site_servers_put(t, 1, 0, &e);
	site_servers_gone(t, "s1", 100, false);
	assert_null(choose(t, 100));
	site_servers_free(t);
}

/* Entries lapse with the store: kept until it is back for a while. */
static void test_lapsed(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_server_entry f = entry("s2", "d1");

	site_servers_put(t, 1, 0, &e);
	site_servers_put(t, 1, 0, &f);
	site_servers_gone(t, "s1", 5000, true);
	site_servers_gone(t, "s2", 5000, true);
	site_servers_expire(t, 5000 + SITE_LAPSE_MS, 0);
	assert_non_null(choose(t, 9000));
	site_servers_put(t, 9, 9500, &e);
	site_servers_expire(t, 9000 + SITE_LAPSE_MS - 1, 9000);
	assert_int_equal(strcmp(choose(t, 9500)->entry.service, "svc"), 0);
	site_servers_expire(t, 9000 + SITE_LAPSE_MS, 9000);
	assert_string_equal(choose(t, 12000)->entry.id, "s1");
	site_servers_gone(t, "s1", 12000, false);
	assert_null(choose(t, 12000));
	site_servers_free(t);
}

static void test_list_sweeps(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_server_entry f = entry("s2", "d1");

	site_servers_put(t, 1, 0, &e);
	site_servers_put(t, 1, 0, &f);
	site_servers_begin_list(t);
	site_servers_put(t, 1, 0, &f);
	site_servers_end_list(t, 10, false);
	assert_string_equal(choose(t, 10)->entry.id, "s2");
	site_server_begin(choose(t, 10), 10);
	assert_string_equal(choose(t, 10)->entry.id, "s2");
	site_servers_free(t);
}

static void test_min_version(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_ask ask = {
		.service = "svc",
		.domain = "d1",
		.model = "m",
		.min_version = 3,
	};

	site_servers_put(t, 1, 0, &e);
	assert_non_null(site_servers_choose(t, 0, &ask));
	ask.min_version = 4;
	assert_null(site_servers_choose(t, 0, &ask));
	ask.model = "absent";
	ask.min_version = 0;
	assert_null(site_servers_choose(t, 0, &ask));
	site_servers_free(t);
}

/* Load pattern: one server fails at once, the other answers. */
static void test_failing_server_costs_one_attempt(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry good = entry("good", "d2");
	struct site_server_entry bad = entry("bad", "d1");
	int failures = 0;

	site_servers_put(t, 1, 0, &good);
	site_servers_put(t, 1, 0, &bad);
	for (int64_t now = 0; now < 250; now += 10) {
		struct site_server *s = choose(t, now);
		bool ok = strcmp(s->entry.id, "good") == 0;

		failures += !ok;
		site_server_begin(s, now);
		site_server_end(s, now, ok);
	}
	assert_int_equal(failures, 1);
	site_servers_free(t);
}

/* Load pattern: cold servers return under full load. Of any second no more
 * than the rate and a burst of two is sent. */
static void test_cold_rate(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	const struct site_ask ask = {
		.service = "svc", .domain = "d1", .cold_rate = 4};
	int sent = 0;

	e.cold_left_ms = 93000;
	site_servers_put(t, 1, 0, &e);
	for (int64_t now = 90000; now < 91000; now += 5) {
		struct site_server *s = site_servers_choose(t, now, &ask);

		if (!s)
			continue;
		sent++;
		site_server_begin(s, now);
		site_server_end(s, now, true);
	}
	assert_in_range(sent, 4, 6);
	assert_non_null(site_servers_choose(t, 93001, &ask));
	site_servers_free(t);
}

/* Load pattern: a third of the engines turn slow at once. New work goes to the
 * others, and runs at the slow ones are told apart; once nothing runs there for
 * a while they count as unknown and are tried again. */
static void test_slow_third(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_ask ask = {.service = "svc", .domain = "d1"};
	struct site_server *s;
	size_t iter = 0;
	int n = 0;

	for (int i = 0; i < 9; i++) {
		char id[8];
		struct site_server_entry e;

		snprintf(id, sizeof(id), "s%d", i);
		e = entry(id, "d1");
		e.slots = 12;
		site_servers_put(t, 1, 0, &e);
	}
	while ((s = site_servers_next(t, &iter))) {
		bool slow = n++ < 3;

		for (int64_t now = 0; now < 1000; now += 40)
			site_server_paced(s, now, slow ? 150 : 40);
	}
	ask.pace_ms = site_servers_pace(t, "svc", 1000);
	assert_true(ask.pace_ms > 35 && ask.pace_ms < 45);
	for (int i = 0; i < 6 * 12; i++) {
		s = site_servers_choose(t, 1000, &ask);
		assert_true(site_server_slowness(s, 1000, ask.pace_ms) < 1.3);
		site_server_begin(s, 1000);
	}
	/* The others are full: a slow one is better than waiting. */
	ask.only_free = true;
	s = site_servers_choose(t, 1000, &ask);
	assert_true(site_server_slowness(s, 1000, ask.pace_ms) > 3);
	assert_true(site_server_slowness(s, 9000, ask.pace_ms) < 1.1);
	site_servers_free(t);
}

static void test_only_free(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_ask ask = {
		.service = "svc", .domain = "d1", .only_free = true};

	site_servers_put(t, 1, 0, &e);
	for (int i = 0; i < 2; i++)
		site_server_begin(site_servers_choose(t, 0, &ask), 0);
	assert_null(site_servers_choose(t, 0, &ask));
	ask.only_free = false;
	assert_non_null(site_servers_choose(t, 0, &ask));
	site_servers_free(t);
}

/* Whatever a server's entry says or does, what its answers said of its leaving holds
 * until it starts again. */
static void test_answers_tell_of_leaving(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	htab_handle h;

	e.started_ms = 100;
	site_servers_put(t, 5, 0, &e);
	h = choose(t, 0)->self;
	assert_string_equal(site_servers_leave(t, h), "s1");
	assert_null(site_servers_leave(t, h));
	assert_null(choose(t, 0));
	assert_int_equal(site_servers_usable(t, "svc"), 0);
	site_servers_put(t, 4, 0, &e);
	site_servers_put(t, 6, 0, &e);
	assert_null(choose(t, 0));
	/* It lapses in an outage, and is back in time, and too late. */
	site_servers_gone(t, "s1", 1000, true);
	site_servers_put(t, 7, 2000, &e);
	assert_null(choose(t, 2000));
	site_servers_gone(t, "s1", 3000, true);
	site_servers_expire(t, 3000 + SITE_LAPSE_MS, 3000);
	assert_null(site_servers_get(t, h));
	site_servers_put(t, 8, 9000, &e);
	assert_null(choose(t, 9000));
	site_servers_gone(t, "s1", 9500, false);
	site_servers_put(t, 9, 9600, &e);
	assert_null(choose(t, 9600));
	e.started_ms = 10000;
	site_servers_put(t, 10, 10000, &e);
	assert_non_null(choose(t, 10000));
	site_servers_free(t);
}

/* The answer comes after the server's entry went, and the entry is back. */
static void test_late_answer_tells_of_leaving(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	htab_handle h;

	for (int back_first = 0; back_first < 2; back_first++) {
		uint64_t rev = 10 * (uint64_t)(1 + back_first);

		e.started_ms = 100 + back_first;
		site_servers_put(t, rev, 0, &e);
		h = choose(t, 0)->self;
		site_server_begin(choose(t, 0), 0);
		site_servers_gone(t, "s1", 10, false);
		if (back_first)
			site_servers_put(t, rev + 1, 20, &e);
		assert_string_equal(site_servers_leave(t, h), "s1");
		if (!back_first)
			site_servers_put(t, rev + 1, 20, &e);
		assert_null(choose(t, 20));
	}
	/* What the start before said does not count for the next one. */
	e.started_ms = 200;
	site_servers_put(t, 30, 30, &e);
	assert_null(site_servers_leave(t, h));
	assert_non_null(choose(t, 30));
	site_servers_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix),
		cmocka_unit_test(test_keys),
		cmocka_unit_test(test_restart_is_new),
		cmocka_unit_test(test_leaving_and_domain),
		cmocka_unit_test(test_gone_at_once),
		cmocka_unit_test(test_lapsed),
		cmocka_unit_test(test_list_sweeps),
		cmocka_unit_test(test_min_version),
		cmocka_unit_test(test_failing_server_costs_one_attempt),
		cmocka_unit_test(test_cold_rate),
		cmocka_unit_test(test_slow_third),
		cmocka_unit_test(test_only_free),
		cmocka_unit_test(test_answers_tell_of_leaving),
		cmocka_unit_test(test_late_answer_tells_of_leaving),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
