// Route and key lookup, and the server table: which servers may get work, and the choice.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <stdio.h>

#include "base/rng.h"
#include "site/conf.h"
#include "site/server.h"

static struct site_route routes[] = {
	{.name = "all", .host = "h", .prefix = "/"},
	{.name = "a", .host = "h", .prefix = "/a/"},
	{.name = "ab", .host = "h", .prefix = "/a/b/"},
	{.name = "other", .host = "o", .prefix = "/a/"},
};

static void test_route_by_longest_prefix(void **state)
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

static void test_key_gives_its_team(void **state)
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
	assert_int_equal(site_conf_sort_keys(&conf), ERR_OK);
	assert_string_equal(site_conf_team_of_key(&conf, "alpha"), "t0");
	assert_string_equal(site_conf_team_of_key(&conf, "beta"), "t1");
	assert_string_equal(site_conf_team_of_key(&conf, "gamma"), "t0");
	assert_null(site_conf_team_of_key(&conf, "delta"));
	assert_null(site_conf_team_of_key(&conf, ""));
	assert_null(site_conf_team_of_key(&conf, NULL));
	/* Guards against a crash at the first request with a key whose team index is
	 * out of range. */
	keys[1].team = 2;
	assert_int_equal(site_conf_sort_keys(&conf), ERR_INVALID);
	keys[1].team = -1;
	assert_int_equal(site_conf_sort_keys(&conf), ERR_INVALID);
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
	const struct site_request req = {.service = "svc", .domain = "d1"};

	return site_servers_choose(t, now, &req);
}

static void test_restart_invalidates_handle(void **state)
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
	/* An older entry that arrives late is ignored. */
	e.leaving = true;
	site_servers_put(t, 4, 0, &e);
	assert_non_null(choose(t, 0));
	site_servers_free(t);
}

static void test_leaving_or_domain_out_gets_no_work(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");

	site_servers_put(t, 1, 0, &e);
	site_servers_set_domain_out(t, "d1", true);
	assert_null(choose(t, 0));
	site_servers_set_domain_out(t, "d1", false);
	assert_non_null(choose(t, 0));
	e.leaving = true;
	site_servers_put(t, 2, 0, &e);
	assert_null(choose(t, 0));
	site_servers_free(t);
}

/* Guards against requests to domains that are out of service: there are more of them than a
 * fixed number. */
static void test_every_domain_out_gets_no_work(void **state)
{
	enum {
		DOMAINS = 200
	};
	struct site_servers *t = site_servers_new();
	char name[16];

	for (int i = 0; i < DOMAINS; i++) {
		snprintf(name, sizeof(name), "d%d", i);
		site_servers_set_domain_out(t, name, true);
	}
	for (int i = 0; i < DOMAINS; i++) {
		struct site_server_entry e;

		snprintf(name, sizeof(name), "d%d", i);
		e = entry("s1", name);
		site_servers_put(t, (uint64_t)i + 1, 0, &e);
		assert_null(choose(t, 0));
	}
	site_servers_free(t);
}

/* The entry is deleted while the store is up: no outage, so nothing delays it. */
static void test_deleted_entry_removes_server(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");

	site_servers_put(t, 1, 0, &e);
	site_servers_remove(t, "s1", 100, false);
	assert_null(choose(t, 100));
	site_servers_free(t);
}

/* Entries vanish in a store outage: servers stay until the store has been up for
 * SITE_REREGISTER_MS. */
static void test_server_kept_through_store_outage(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_server_entry f = entry("s2", "d1");

	site_servers_put(t, 1, 0, &e);
	site_servers_put(t, 1, 0, &f);
	site_servers_remove(t, "s1", 5000, true);
	site_servers_remove(t, "s2", 5000, true);
	site_servers_expire(t, 5000 + SITE_REREGISTER_MS, 0);
	assert_non_null(choose(t, 9000));
	site_servers_put(t, 9, 9500, &e);
	site_servers_expire(t, 9000 + SITE_REREGISTER_MS - 1, 9000);
	assert_int_equal(strcmp(choose(t, 9500)->entry.service, "svc"), 0);
	site_servers_expire(t, 9000 + SITE_REREGISTER_MS, 9000);
	assert_string_equal(choose(t, 12000)->entry.id, "s1");
	site_servers_remove(t, "s1", 12000, false);
	assert_null(choose(t, 12000));
	site_servers_free(t);
}

static void test_list_removes_absent_servers(void **state)
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

static void test_older_weights_are_not_chosen(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_request req = {
		.service = "svc",
		.domain = "d1",
		.model = "m",
		.min_version = 3,
	};

	site_servers_put(t, 1, 0, &e);
	assert_non_null(site_servers_choose(t, 0, &req));
	req.min_version = 4;
	assert_null(site_servers_choose(t, 0, &req));
	req.model = "absent";
	req.min_version = 0;
	assert_null(site_servers_choose(t, 0, &req));
	site_servers_free(t);
}

/* Load pattern: one server fails every request immediately, the other answers. */
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

/* Load pattern: cold servers return under full load. In any second, at most the rate
 * plus a burst of two is sent. */
static void test_cold_server_gets_limited_rate(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	const struct site_request req = {
		.service = "svc", .domain = "d1", .cold_rate = 4};
	int sent = 0;

	e.cold_left_ms = 93000;
	site_servers_put(t, 1, 0, &e);
	for (int64_t now = 90000; now < 91000; now += 5) {
		struct site_server *s = site_servers_choose(t, now, &req);

		if (!s)
			continue;
		sent++;
		site_server_begin(s, now);
		site_server_end(s, now, true);
	}
	assert_in_range(sent, 4, 6);
	assert_non_null(site_servers_choose(t, 93001, &req));
	site_servers_free(t);
}

/* Load pattern: a third of the engines become slow at the same time. New work goes to
 * the others, and runs at the slow ones are recognized. After some time without events
 * their pace is unknown, and they are tried again. */
static void test_slow_servers_get_less_work(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_request req = {.service = "svc", .domain = "d1"};
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
			site_server_record_event(s, now, slow ? 150 : 40);
	}
	req.pace_ms = site_servers_usual_pace(t, "svc", 1000);
	assert_true(req.pace_ms > 35 && req.pace_ms < 45);
	for (int i = 0; i < 6 * 12; i++) {
		s = site_servers_choose(t, 1000, &req);
		assert_true(site_server_slowness(s, 1000, req.pace_ms) < 1.3);
		site_server_begin(s, 1000);
	}
	/* The others are full: a slow server is better than waiting. */
	req.only_free = true;
	s = site_servers_choose(t, 1000, &req);
	assert_true(site_server_slowness(s, 1000, req.pace_ms) > 3);
	assert_true(site_server_slowness(s, 9000, req.pace_ms) < 1.1);
	site_servers_free(t);
}

static void test_only_free_never_exceeds_slots(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_request req = {
		.service = "svc", .domain = "d1", .only_free = true};

	site_servers_put(t, 1, 0, &e);
	for (int i = 0; i < 2; i++)
		site_server_begin(site_servers_choose(t, 0, &req), 0);
	assert_null(site_servers_choose(t, 0, &req));
	req.only_free = false;
	assert_non_null(site_servers_choose(t, 0, &req));
	site_servers_free(t);
}

/* Server "s1" has version 3 of "m", and was ordered to load version 4 at 1000 ms. */
static struct site_servers *table_with_order(enum site_order_state state)
{
	const struct site_order o = {.server = "s1",
				     .started_ms = 1000,
				     .model = "m",
				     .version = 4,
				     .sent_ms = 1000,
				     .state = state};
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");

	site_servers_put(t, 1, 0, &e);
	assert_int_equal(site_servers_record_order(t, 1005, &o), ERR_OK);
	return t;
}

static struct site_server *choose_version(struct site_servers *t, int64_t now,
					  uint64_t min_version)
{
	const struct site_request req = {.service = "svc",
					 .domain = "d1",
					 .model = "m",
					 .min_version = min_version,
					 .only_free = true};

	return site_servers_choose(t, now, &req);
}

/* Guards against work sent to a loading server, which rejects it for 0.9 s, and against
 * waiting for the entry, which shows a load up to 2 s later. */
static void test_ordered_load_is_expected(void **state)
{
	struct site_servers *t = table_with_order(SITE_ORDER_SENT);
	const struct site_order accepted = {.server = "s1",
					    .started_ms = 1000,
					    .model = "m",
					    .version = 4,
					    .sent_ms = 1000,
					    .state = SITE_ORDER_ACCEPTED};
	struct site_server_entry e = entry("s1", "d1");
	struct site_server *s;

	assert_null(choose_version(t, 1005, 3));
	assert_null(choose(t, 1005));
	site_servers_record_order(t, 1010, &accepted);
	assert_null(choose_version(t, 1949, 3));
	/* A heartbeat during the load still has the old version. */
	site_servers_put(t, 2, 1500, &e);
	assert_null(choose_version(t, 1949, 3));
	s = choose_version(t, 1950, 4);
	assert_non_null(s);
	assert_int_equal(site_server_expected_version(s, 1950, "m", 4), 4);
	assert_int_equal(site_server_expected_version(s, 1950, "m", 3), 4);
	assert_null(choose_version(t, 1950, 5));
	assert_null(choose(t, 1999));
	assert_non_null(choose(t, 2000));
	assert_int_equal(site_server_expected_version(s, 2000, "m", 3), 0);
	e.models[0].version = 4;
	site_servers_put(t, 3, 2500, &e);
	assert_non_null(choose_version(t, 2500, 4));
	assert_int_equal(site_server_expected_version(s, 2500, "m", 4), 0);
	site_servers_free(t);
}

/* Guards against a server that gets no work, or is assumed to have a version it lacks,
 * because its load never happens: the order failed, was not answered, or was not
 * carried out. */
static void test_missing_load_is_forgotten(void **state)
{
	const struct site_order failed = {.server = "s1",
					  .started_ms = 1000,
					  .model = "m",
					  .version = 4,
					  .sent_ms = 1000,
					  .state = SITE_ORDER_FAILED};
	struct site_servers *t = table_with_order(SITE_ORDER_SENT);

	assert_null(choose_version(t, 1999, 3));
	assert_non_null(choose_version(t, 2000, 3));
	assert_null(choose_version(t, 2000, 4));
	site_servers_free(t);

	t = table_with_order(SITE_ORDER_SENT);
	site_servers_record_order(t, 1020, &failed);
	assert_non_null(choose_version(t, 1020, 3));
	site_servers_free(t);

	t = table_with_order(SITE_ORDER_ACCEPTED);
	assert_non_null(choose_version(t, 2000, 3));
	assert_non_null(choose_version(t, 4999, 4));
	/* By now the entry would show the load. */
	assert_null(choose_version(t, 5000, 4));
	assert_non_null(choose_version(t, 5000, 3));
	site_servers_free(t);
}

/* Guards against using a stale notice: one for an earlier incarnation, and one that
 * arrives after a newer notice. */
static void test_stale_order_notice_is_ignored(void **state)
{
	struct site_order o = {.server = "s1",
			       .started_ms = 999,
			       .model = "m",
			       .version = 4,
			       .sent_ms = 1000};
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");

	site_servers_put(t, 1, 0, &e);
	assert_int_equal(site_servers_record_order(t, 1005, &o), ERR_NOT_FOUND);
	assert_non_null(choose_version(t, 1005, 3));
	o.started_ms = 1000;
	o.version = 5;
	o.state = SITE_ORDER_ACCEPTED;
	site_servers_record_order(t, 1005, &o);
	o.version = 4;
	o.sent_ms = 500;
	site_servers_record_order(t, 1010, &o);
	assert_null(choose_version(t, 1600, 3));
	assert_non_null(choose_version(t, 1960, 5));
	/* An order for a version that the entry already has means no load. */
	o.version = 3;
	o.sent_ms = 6000;
	site_servers_record_order(t, 6000, &o);
	assert_non_null(choose_version(t, 6000, 3));
	site_servers_free(t);
}

static struct site_server *by_id(const struct site_servers *t, const char *id)
{
	struct site_server *s;
	size_t iter = 0;

	while ((s = site_servers_next(t, &iter)) &&
	       strcmp(s->entry.id, id) != 0)
		;
	return s;
}

/* Load pattern: loads are slow and entries late, while samples wait for the version.
 * A response shows the end of a load: the server is used from then on, and an entry from
 * before does not take the version back. One made later does. */
static void test_observed_version_counts_before_entry(void **state)
{
	struct site_servers *t = table_with_order(SITE_ORDER_SENT);
	struct site_server_entry e = entry("s1", "d1");
	htab_handle h = site_servers_lookup(t, "s1", 2);

	assert_null(choose_version(t, 1600, 4));
	assert_true(site_servers_observe_version(t, h, 1600, "m", 4));
	assert_false(site_servers_observe_version(t, h, 1650, "m", 4));
	assert_false(site_servers_observe_version(t, h, 1650, "m", 3));
	assert_false(site_servers_observe_version(t, h, 1650, "other", 9));
	assert_non_null(choose_version(t, 1600, 4));
	site_servers_put(t, 2, 2000, &e);
	assert_non_null(choose_version(t, 2000, 4));
	/* A late order brought the old weights back. */
	site_servers_put(t, 3, 6000, &e);
	assert_null(choose_version(t, 6000, 4));
	/* A restarted server is another one. */
	site_servers_observe_version(t, h, 6000, "m", 5);
	e.started_ms++;
	site_servers_put(t, 4, 6100, &e);
	assert_null(choose_version(t, 6100, 4));
	site_servers_free(t);
}

/* The notice of another node that saw the end of a load. */
static void test_loaded_notice_makes_server_usable(void **state)
{
	const struct site_order loaded = {.server = "s1",
					  .started_ms = 1000,
					  .model = "m",
					  .version = 4,
					  .sent_ms = 1000,
					  .state = SITE_ORDER_LOADED};
	struct site_servers *t = table_with_order(SITE_ORDER_ACCEPTED);

	assert_null(choose_version(t, 1400, 4));
	assert_int_equal(site_servers_record_order(t, 1400, &loaded), ERR_OK);
	assert_non_null(choose_version(t, 1400, 4));
	site_servers_free(t);
}

enum {
	SPEED_SERVERS = 12,
	FAST_SERVERS = 8,
	FAST_PACE_MS = 43,
	SLOW_PACE_MS = 57,
	RUN_EVENTS = 100,
};

/* Twelve servers, a third of which is slower by a third. */
static struct site_servers *uneven_table(void)
{
	struct site_servers *t = site_servers_new();

	for (int i = 0; i < SPEED_SERVERS; i++) {
		char id[16];
		struct site_server_entry e;
		int pace = i < SPEED_SERVERS - FAST_SERVERS ? SLOW_PACE_MS
							    : FAST_PACE_MS;

		snprintf(id, sizeof(id), "s%02d", i);
		e = entry(id, "d1");
		e.slots = 12;
		site_servers_put(t, 1, 0, &e);
		site_server_record_run(by_id(t, id), RUN_EVENTS,
				       pace * (RUN_EVENTS - 1));
	}
	return t;
}

/* Load pattern: a step of long and short samples fills servers of two speeds. Each long
 * sample at a slow server delays the step by two seconds. */
static void test_long_samples_go_to_fast_servers(void **state)
{
	struct site_servers *t = uneven_table();
	struct site_request req = {
		.service = "svc", .domain = "d1", .only_free = true};

	site_servers_speeds(t, "svc", 1000, &req.speeds);
	assert_true(req.speeds.uneven);
	assert_true(req.speeds.fast_share > 0.6 && req.speeds.fast_share < 0.7);
	for (int i = 0; i < SPEED_SERVERS * 12; i++) {
		bool is_long = i < FAST_SERVERS * 12;
		struct site_server *s;

		req.speed = is_long ? SITE_FAST_FIRST : SITE_SLOW_FIRST;
		s = site_servers_choose(t, 1000, &req);
		assert_int_equal(site_server_is_fast(s, &req.speeds), is_long);
		site_server_begin(s, 1000);
	}
	assert_null(site_servers_choose(t, 1000, &req));
	site_servers_free(t);
}

/* Load alone makes a server slower by a tenth: no server is left for long samples. */
static void test_equal_servers_are_not_uneven(void **state)
{
	struct site_servers *t = uneven_table();
	struct site_speeds speeds;
	struct site_server *s;
	size_t iter = 0;

	for (int i = 0; (s = site_servers_next(t, &iter)); i++) {
		for (int run = 0; run < 40; run++)
			site_server_record_run(s, RUN_EVENTS,
					       (40 + i % 5) * (RUN_EVENTS - 1));
	}
	site_servers_speeds(t, "svc", 1000, &speeds);
	assert_false(speeds.uneven);
	site_servers_free(t);
}

enum {
	STEP_SERVERS = 12,
	NEW_SERVERS = 3, ///< have the weights that the second step needs
	STEP_SLOTS = 12,
};

/* Load pattern: the first of two steps has more samples than there are slots. With
 * below_version it leaves those of the new servers to the second step, which fills them
 * at once. */
static void test_second_step_fills_new_servers(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_request first = {.service = "svc",
				     .domain = "d1",
				     .model = "m",
				     .min_version = 3,
				     .below_version = 4,
				     .only_free = true};
	struct site_request second = first;
	struct site_server *s;
	int n = 0;

	for (int i = 0; i < STEP_SERVERS; i++) {
		char id[16];
		struct site_server_entry e;

		snprintf(id, sizeof(id), "s%02d", i);
		e = entry(id, "d1");
		e.slots = STEP_SLOTS;
		e.models[0].version = i < NEW_SERVERS ? 4 : 3;
		site_servers_put(t, 1, 0, &e);
	}
	second.min_version = 4;
	second.below_version = 0;
	while ((s = site_servers_choose(t, 0, &first))) {
		site_server_begin(s, 0);
		n++;
	}
	assert_int_equal(n, (STEP_SERVERS - NEW_SERVERS) * STEP_SLOTS);
	for (n = 0; (s = site_servers_choose(t, 0, &second)); n++)
		site_server_begin(s, 0);
	assert_int_equal(n, NEW_SERVERS * STEP_SLOTS);
	site_servers_free(t);
}

/* Load pattern: a load takes twice as long as expected while samples wait. Its server
 * rejects one of them each 150 ms, not a slot's worth each time. */
static void test_unfinished_load_is_probed(void **state)
{
	struct site_servers *t = table_with_order(SITE_ORDER_ACCEPTED);
	int rejected = 0;

	for (int64_t now = 1950; now < 2850; now += 10) {
		struct site_server *s;

		while ((s = choose_version(t, now, 4))) {
			site_server_begin(s, now);
			site_server_probe_load(s, now, "m");
			site_server_record_rejection(s, now, 0);
			rejected++;
		}
	}
	assert_in_range(rejected, 1, 900 / 150);
	site_servers_free(t);
}

/* A server that runs a request under the old weights is not loading: its order came to
 * nothing, and all its slots are free. */
static void test_old_version_ends_probing(void **state)
{
	struct site_servers *t = table_with_order(SITE_ORDER_SENT);
	struct site_server *s = choose_version(t, 2000, 3);

	site_server_begin(s, 2000);
	site_server_probe_load(s, 2000, "other");
	assert_non_null(choose_version(t, 2010, 3));
	site_server_probe_load(s, 2000, "m");
	assert_null(choose_version(t, 2010, 3));
	site_server_record_old_version(s, "m", 3);
	assert_non_null(choose_version(t, 2010, 3));
	site_servers_free(t);
}

/* Guards against a load that takes longer than usual and makes its server unusable: a
 * 421 response postpones the expected time and is no failure. */
static void test_rejected_version_is_expected_later(void **state)
{
	struct site_servers *t = table_with_order(SITE_ORDER_ACCEPTED);
	struct site_server *s = choose_version(t, 1950, 4);

	site_server_begin(s, 1950);
	site_server_record_rejection(s, 1955, 4);
	assert_int_equal(s->running, 0);
	assert_int_equal(s->failures, 0);
	assert_null(choose_version(t, 2254, 4));
	assert_non_null(choose_version(t, 2105, 3));
	assert_non_null(choose_version(t, 2255, 4));
	site_servers_free(t);
}

/* Guards against avoiding full engines for up to 2.4 s: rejections count as a failure
 * only after ten in a row. */
static void test_ten_rejections_are_a_failure(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_server *s;
	int64_t now = 1000;

	site_servers_put(t, 1, 0, &e);
	s = choose(t, now);
	for (int i = 0; i < 9; i++, now += 150) {
		assert_non_null(choose_version(t, now, 3));
		/* Two in flight at the same time count once. */
		for (int k = 0; k < 2; k++) {
			site_server_begin(s, now);
			site_server_record_rejection(s, now, 0);
		}
		assert_null(choose_version(t, now + 149, 3));
		assert_int_equal(s->failures, 0);
	}
	site_server_begin(s, now);
	site_server_record_rejection(s, now, 0);
	assert_int_equal(s->running, 0);
	assert_int_equal(s->failures, 1);
	assert_null(choose_version(t, now + 299, 3));
	assert_non_null(choose_version(t, now + 300, 3));
	/* A success resets the count. */
	now += 300;
	for (int i = 0; i < 30; i++, now += 150) {
		site_server_begin(s, now);
		if (i % 9 == 8)
			site_server_end(s, now, true);
		else
			site_server_record_rejection(s, now, 0);
		assert_true(s->failures <= 1);
	}
	site_servers_free(t);
}

/* Requests of other nodes occupy slots only for choices with only_free: a report must
 * not make this node reject a caller's request. */
static void test_requests_of_other_nodes_take_free_slots(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_request req = {
		.service = "svc", .domain = "d1", .only_free = true};
	struct site_server *s;

	site_servers_put(t, 1, 0, &e);
	strcpy(e.id, "s2");
	site_servers_put(t, 2, 0, &e);
	s = choose(t, 0);
	assert_string_equal(s->entry.id, "s1");
	s->others = 2;
	assert_string_equal(site_servers_choose(t, 0, &req)->entry.id, "s2");
	assert_ptr_equal(choose(t, 0), s);
	s->others = 1;
	assert_string_equal(site_servers_choose(t, 0, &req)->entry.id, "s2");
	site_servers_free(t);
}

/* Two nodes see the same free slots: each takes its share, one of them the odd slot, and
 * a slot freed by a node's own request stays with it. Otherwise both send to the last
 * free slot, or neither does. */
static void test_nodes_share_free_slots(void **state)
{
	for (int rank = 0; rank < 2; rank++) {
		struct site_servers *t = site_servers_new();
		struct site_server_entry e = entry("s1", "d1");
		struct site_request req = {.service = "svc",
					   .domain = "d1",
					   .model = "m",
					   .only_free = true,
					   .claims = {1, rank, 7, 3}};
		struct site_server *s;
		int n = 0;

		e.slots = 8;
		site_servers_put(t, 1, 0, &e);
		s = choose(t, 0);
		s->others = 1;
		while (site_servers_choose(t, 0, &req)) {
			site_server_begin(s, 0);
			n++;
		}
		assert_int_equal(n, rank ? 3 : 4);
		site_server_end(s, 0, true);
		assert_non_null(site_servers_choose(t, 0, &req));
		site_server_begin(s, 0);
		assert_null(site_servers_choose(t, 0, &req));
		/* A report: the other node took its share. */
		s->others += rank ? 4 : 3;
		req.claims.round++;
		assert_null(site_servers_choose(t, 0, &req));
		/* One of its requests ended; its waiting samples need newer weights. */
		s->others--;
		req.claims.min_version = 4;
		assert_non_null(site_servers_choose(t, 0, &req));
		s->others++;
		/* Another request ended, and it has no waiting samples. */
		s->others--;
		req.claims = (struct site_claims){0};
		assert_non_null(site_servers_choose(t, 0, &req));
		site_servers_free(t);
	}
}

enum {
	N_SERVERS = 300,
	/// Services of 60 servers, small enough to compare all.
	SMALL_SERVICES = 5,
	STEPS = 30000,
};

/* The same servers in two tables: as one large service, and as small services. */
struct table_pair {
	struct site_servers *large;
	struct site_servers *small;
	struct rng rng;
	uint64_t rev;
	int64_t now;
	int versions[N_SERVERS]; ///< version in each entry, 0 without an entry
};

static void pair_put(struct table_pair *pair, int i)
{
	char id[16];
	char domain[16];
	struct site_server_entry e;

	snprintf(id, sizeof(id), "s%d", i);
	snprintf(domain, sizeof(domain), "d%d", i % 3);
	e = entry(id, domain);
	e.slots = 1 + i % 4;
	e.leaving = rng_below(&pair->rng, 10) == 0;
	pair->versions[i] = 1 + (int)rng_below(&pair->rng, 4);
	e.models[0].version = (uint64_t)pair->versions[i];
	snprintf(e.models[0].name, SITE_NAME_SIZE, "m%d", i / 3 % 2);
	pair->rev++;
	assert_int_equal(
		site_servers_put(pair->large, pair->rev, pair->now, &e),
		ERR_OK);
	snprintf(e.service, SITE_NAME_SIZE, "svc%d", i % SMALL_SERVICES);
	assert_int_equal(
		site_servers_put(pair->small, pair->rev, pair->now, &e),
		ERR_OK);
}

static void pair_random_event(struct table_pair *pair)
{
	int i = (int)rng_below(&pair->rng, N_SERVERS);
	bool ok = rng_below(&pair->rng, 3) > 0;
	char id[16];

	pair->now += (int64_t)rng_below(&pair->rng, 20);
	snprintf(id, sizeof(id), "s%d", i);
	switch (rng_below(&pair->rng, 60)) {
	case 0:
		site_servers_remove(pair->large, id, pair->now, false);
		site_servers_remove(pair->small, id, pair->now, false);
		pair->versions[i] = 0;
		return;
	case 1:
		site_servers_set_domain_out(pair->large, "d1", ok);
		site_servers_set_domain_out(pair->small, "d1", ok);
		return;
	case 2:
	case 3:
	case 4:
		pair_put(pair, i);
		return;
	default:
		break;
	}
	if (!pair->versions[i])
		return;
	if (rng_below(&pair->rng, 2)) {
		site_server_end(by_id(pair->large, id), pair->now, ok);
		site_server_end(by_id(pair->small, id), pair->now, ok);
	}
}

static struct site_server *choose_in_small(struct table_pair *pair,
					   struct site_request *req)
{
	char name[16];

	for (int i = 0; i < SMALL_SERVICES; i++) {
		struct site_server *s;

		snprintf(name, sizeof(name), "svc%d", i);
		req->service = name;
		s = site_servers_choose(pair->small, pair->now, req);
		if (s)
			return s;
	}
	return NULL;
}

/* Guards against a rejection while a server is free: after any sequence of events, a
 * choice in a large service finds a server exactly when a comparison of all does. */
static void test_free_server_is_found(void **state)
{
	struct table_pair pair = {.large = site_servers_new(),
				  .small = site_servers_new(),
				  .rng = {7},
				  .now = 1000};
	int none = 0;

	for (int i = 0; i < N_SERVERS; i++)
		pair_put(&pair, i);
	for (int step = 0; step < STEPS; step++) {
		struct site_request req = {
			.service = "svc",
			.domain = rng_below(&pair.rng, 4) ? "d1" : "d7",
			.model = rng_below(&pair.rng, 4) ? "m1" : NULL,
			.min_version = rng_below(&pair.rng, 6),
			.only_free = rng_below(&pair.rng, 4) > 0,
			.share = rng_below(&pair.rng, 3) ? 0 : 60,
		};
		struct site_server *s;

		pair_random_event(&pair);
		s = site_servers_choose(pair.large, pair.now, &req);
		none += !s;
		if (s) {
			site_server_begin(s, pair.now);
			site_server_begin(by_id(pair.small, s->entry.id),
					  pair.now);
			site_server_end(s, pair.now, true);
			site_server_end(by_id(pair.small, s->entry.id),
					pair.now, true);
		}
		assert_int_equal(s != NULL,
				 choose_in_small(&pair, &req) != NULL);
		req.service = "svc";
		s = site_servers_choose(pair.large, pair.now, &req);
		if (!s)
			continue;
		site_server_begin(s, pair.now);
		site_server_begin(by_id(pair.small, s->entry.id), pair.now);
	}
	assert_in_range(none, STEPS / 50, STEPS * 9 / 10);
	site_servers_free(pair.large);
	site_servers_free(pair.small);
}

/* Load pattern: many concurrent requests for a large service. Guards against a choice
 * that prefers some positions of the index: no server gets much more than its share. */
static void test_large_service_is_loaded_evenly(void **state)
{
	struct site_servers *t = site_servers_new();
	const struct site_request req = {
		.service = "svc", .domain = "d1", .only_free = true};
	struct site_server *s;
	size_t iter = 0;

	for (int i = 0; i < N_SERVERS; i++) {
		char id[16];
		struct site_server_entry e;

		snprintf(id, sizeof(id), "s%d", i);
		e = entry(id, "d1");
		e.slots = 16;
		site_servers_put(t, 1, 0, &e);
	}
	assert_int_equal(site_servers_count_usable(t, "svc"), N_SERVERS);
	assert_int_equal(site_servers_count_eligible(t, &req), N_SERVERS);
	for (int i = 0; i < N_SERVERS * 8; i++)
		site_server_begin(site_servers_choose(t, i / 10, &req), i / 10);
	while ((s = site_servers_next(t, &iter)))
		assert_in_range(s->running, 6, 10);
	site_servers_free(t);
}

/* A leaving announced in a response holds until the server restarts, whatever its entry
 * says. */
static void test_leaving_answer_holds_until_restart(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	htab_handle h;

	e.started_ms = 100;
	site_servers_put(t, 5, 0, &e);
	h = choose(t, 0)->self;
	assert_string_equal(site_servers_mark_leaving(t, h), "s1");
	assert_null(site_servers_mark_leaving(t, h));
	assert_null(choose(t, 0));
	assert_int_equal(site_servers_count_usable(t, "svc"), 0);
	site_servers_put(t, 4, 0, &e);
	site_servers_put(t, 6, 0, &e);
	assert_null(choose(t, 0));
	/* The entry vanishes in an outage; it returns in time, then too late. */
	site_servers_remove(t, "s1", 1000, true);
	site_servers_put(t, 7, 2000, &e);
	assert_null(choose(t, 2000));
	site_servers_remove(t, "s1", 3000, true);
	site_servers_expire(t, 3000 + SITE_REREGISTER_MS, 3000);
	assert_null(site_servers_get(t, h));
	site_servers_put(t, 8, 9000, &e);
	assert_null(choose(t, 9000));
	site_servers_remove(t, "s1", 9500, false);
	site_servers_put(t, 9, 9600, &e);
	assert_null(choose(t, 9600));
	e.started_ms = 10000;
	site_servers_put(t, 10, 10000, &e);
	assert_non_null(choose(t, 10000));
	site_servers_free(t);
}

/* The response arrives after the entry was removed, before or after it is added again. */
static void test_late_leaving_answer_is_kept(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	htab_handle h;

	for (int returned_first = 0; returned_first < 2; returned_first++) {
		uint64_t rev = 10 * (uint64_t)(1 + returned_first);

		e.started_ms = 100 + returned_first;
		site_servers_put(t, rev, 0, &e);
		h = choose(t, 0)->self;
		site_server_begin(choose(t, 0), 0);
		site_servers_remove(t, "s1", 10, false);
		if (returned_first)
			site_servers_put(t, rev + 1, 20, &e);
		assert_string_equal(site_servers_mark_leaving(t, h), "s1");
		if (!returned_first)
			site_servers_put(t, rev + 1, 20, &e);
		assert_null(choose(t, 20));
	}
	/* What one incarnation announced does not count for the next. */
	e.started_ms = 200;
	site_servers_put(t, 30, 30, &e);
	assert_null(site_servers_mark_leaving(t, h));
	assert_non_null(choose(t, 30));
	site_servers_free(t);
}

/* A rejected request no longer counts against this node's share of the free slots:
 * otherwise the node could not use the slot until the next report. */
static void test_rejection_returns_slot_share(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_request req = {.service = "svc",
				   .domain = "d1",
				   .only_free = true,
				   .claims = {1, 1, 7}};
	struct site_server *s;

	e.slots = 4;
	site_servers_put(t, 1, 0, &e);
	for (int i = 0; i < 2; i++) {
		s = site_servers_choose(t, 0, &req);
		assert_non_null(s);
		site_server_begin(s, 0);
	}
	assert_null(site_servers_choose(t, 0, &req));
	site_server_record_rejection(s, 0, 0);
	assert_non_null(site_servers_choose(t, 1000, &req));
	site_servers_free(t);
}

/* Long samples that overflow an engine's memory are evicted: a server with fewer busy
 * slots but full memory must not get the next sample. */
static void test_full_memory_outweighs_free_slots(void **state)
{
	struct site_servers *t = site_servers_new();
	struct site_server_entry e = entry("s1", "d1");
	struct site_request req = {.service = "svc",
				   .domain = "d1",
				   .memory_tokens = 40000,
				   .tokens = 13000};
	struct site_server *s;

	e.slots = 8;
	site_servers_put(t, 1, 0, &e);
	strcpy(e.id, "s2");
	site_servers_put(t, 2, 0, &e);
	s = choose(t, 0);
	assert_string_equal(s->entry.id, "s1");
	site_server_begin(s, 0);
	site_server_reserve(s, 30000);
	s = site_servers_choose(t, 0, &req);
	assert_string_equal(s->entry.id, "s2");
	for (int i = 0; i < 4; i++) {
		site_server_begin(s, 0);
		site_server_reserve(s, 1000);
	}
	assert_string_equal(site_servers_choose(t, 0, &req)->entry.id, "s2");
	/* Without a memory limit the busy slots decide. */
	req.tokens = 1000;
	req.memory_tokens = 0;
	assert_string_equal(site_servers_choose(t, 0, &req)->entry.id, "s1");
	site_servers_free(t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_route_by_longest_prefix),
		cmocka_unit_test(test_key_gives_its_team),
		cmocka_unit_test(test_restart_invalidates_handle),
		cmocka_unit_test(test_leaving_or_domain_out_gets_no_work),
		cmocka_unit_test(test_every_domain_out_gets_no_work),
		cmocka_unit_test(test_deleted_entry_removes_server),
		cmocka_unit_test(test_server_kept_through_store_outage),
		cmocka_unit_test(test_list_removes_absent_servers),
		cmocka_unit_test(test_older_weights_are_not_chosen),
		cmocka_unit_test(test_failing_server_costs_one_attempt),
		cmocka_unit_test(test_cold_server_gets_limited_rate),
		cmocka_unit_test(test_slow_servers_get_less_work),
		cmocka_unit_test(test_full_memory_outweighs_free_slots),
		cmocka_unit_test(test_rejection_returns_slot_share),
		cmocka_unit_test(test_requests_of_other_nodes_take_free_slots),
		cmocka_unit_test(test_nodes_share_free_slots),
		cmocka_unit_test(test_only_free_never_exceeds_slots),
		cmocka_unit_test(test_ordered_load_is_expected),
		cmocka_unit_test(test_missing_load_is_forgotten),
		cmocka_unit_test(test_stale_order_notice_is_ignored),
		cmocka_unit_test(test_observed_version_counts_before_entry),
		cmocka_unit_test(test_loaded_notice_makes_server_usable),
		cmocka_unit_test(test_long_samples_go_to_fast_servers),
		cmocka_unit_test(test_equal_servers_are_not_uneven),
		cmocka_unit_test(test_second_step_fills_new_servers),
		cmocka_unit_test(test_unfinished_load_is_probed),
		cmocka_unit_test(test_old_version_ends_probing),
		cmocka_unit_test(test_rejected_version_is_expected_later),
		cmocka_unit_test(test_ten_rejections_are_a_failure),
		cmocka_unit_test(test_free_server_is_found),
		cmocka_unit_test(test_large_service_is_loaded_evenly),
		cmocka_unit_test(test_leaving_answer_holds_until_restart),
		cmocka_unit_test(test_late_leaving_answer_is_kept),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
