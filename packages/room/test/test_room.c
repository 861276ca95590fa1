// Reports of requests at engines: none counts twice, none from before a restart or
// too old; homes that follow them rarely send to an engine that is full.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <stdio.h>

#include "base/rng.h"
#include "room/room.h"
#include "site/server.h"

enum {
	ENGINES = 24,
	SLOTS = 8,
	HOMES = 2,
	SAMPLES = 128, ///< of a step: two steps need more than all slots
	STEP_MS = 4000,
	STEPS = 6,
	SEEDS = 8,
	RUNS = 2048,
	EVENT_MS = 49,
	EVENTS_LONGEST = 144,
	TICK_MS = 20,
	REPORT_MS = 200,
	FLIGHT_MS = 2,
	RETRY_MS = 40,
};

static int added[4];

static void add(void *ctx, htab_handle server, int delta)
{
	added[server] += delta;
}

static struct room *table_new(void)
{
	const struct room_opts opts = {.self = "me", .add = add};

	memset(added, 0, sizeof(added));
	return room_new(&opts);
}

static enum err take(struct room *r, int64_t now, const char *node,
		     uint64_t run, uint64_t seq, int64_t sent_ms, int running)
{
	static struct room_report rep;

	memset(&rep, 0, sizeof(rep));
	rep.run = run;
	rep.seq = seq;
	rep.sent_ms = sent_ms;
	rep.at[0] = (struct room_at){1, running};
	rep.n_at = 1;
	rep.steps[0] = (struct room_step){.model = "m",
					  .waiting = 5,
					  .running = running,
					  .min_version = 4,
					  .due_in_ms = 100};
	rep.n_steps = 1;
	return room_take(r, now, node, &rep);
}

/* A node that counts its own report, a repeated one, or one of a process that has
 * ended takes free slots for busy. */
static void test_counts_once(void **state)
{
	struct room *r = table_new();

	assert_int_equal(take(r, 0, "me", 9, 1, 0, 3), ERR_INVALID);
	assert_int_equal(take(r, 0, "a", 9, 1, 0, 3), ERR_OK);
	assert_int_equal(take(r, 0, "a", 9, 1, 0, 3), ERR_INVALID);
	assert_int_equal(take(r, 0, "b", 9, 1, 0, 2), ERR_OK);
	assert_int_equal(room_others(r, 1), 5);
	assert_int_equal(take(r, 10, "a", 9, 2, 10, 1), ERR_OK);
	assert_int_equal(room_others(r, 1), 3);
	/* It starts again; a report of its earlier process comes late. */
	assert_int_equal(take(r, 20, "a", 10, 1, 5, 4), ERR_OK);
	assert_int_equal(take(r, 30, "a", 9, 3, 20, 1), ERR_INVALID);
	assert_int_equal(room_others(r, 1), 6);
	assert_int_equal(added[1], 6);
	room_free(r);
}

/* A share of a lost node that stays is never used again. */
static void test_expires(void **state)
{
	struct room *r = table_new();
	struct room_need need;

	take(r, 1000, "a", 9, 1, 0, 3);
	assert_int_equal(room_expire(r, 1000 + ROOM_KEEP_MS), 0);
	assert_int_equal(added[1], 3);
	assert_true(room_need(r, 1000 + ROOM_KEEP_MS, "m", NULL, 0, &need));
	assert_false(room_need(r, 1001 + ROOM_KEEP_MS, "m", NULL, 0, &need));
	assert_int_equal(room_expire(r, 1001 + ROOM_KEEP_MS), 1);
	assert_int_equal(added[1], 0);
	assert_int_equal(room_nodes(r), 0);
	/* Its process is known for longer: an older one can't return. */
	assert_int_equal(take(r, 4000, "a", 8, 7, 3000, 3), ERR_INVALID);
	room_expire(r, 1001 + ROOM_FORGET_MS);
	assert_int_equal(take(r, 12000, "a", 8, 7, 3000, 3), ERR_OK);
	room_free(r);
}

/* A report that was held up on its way is as old as its sending, and clocks that
 * drift apart do not make it look old. */
static void test_held_up(void **state)
{
	struct room *r = table_new();
	struct room_need need;

	take(r, 1000, "a", 9, 1, 50, 3);
	assert_int_equal(take(r, 3000, "a", 9, 2, 500, 3), ERR_INVALID);
	assert_int_equal(take(r, 3000, "a", 9, 3, 1500, 3), ERR_OK);
	assert_true(room_need(r, 3000, "m", NULL, 0, &need));
	assert_int_equal(need.at_ms, 2450);
	/* Due 100 ms after the sending. */
	assert_int_equal(need.late_ms, 450);
	for (int i = 1; i <= 100000; i++) {
		int64_t now = 3000 + i * (int64_t)REPORT_MS;

		/* The sender's clock loses 50 microseconds a second. */
		assert_int_equal(take(r, now, "a", 9, (uint64_t)i + 3,
				      2050 + i * (int64_t)REPORT_MS - i / 100,
				      3),
				 ERR_OK);
	}
	room_free(r);
}

static void test_need(void **state)
{
	const struct room_step own = {
		.model = "m", .waiting = 2, .running = 1, .due_in_ms = -30};
	struct room *r = table_new();
	struct room_need need;

	assert_false(room_need(r, 0, "m", NULL, 0, &need));
	assert_true(room_need(r, 0, "m", &own, 1, &need));
	assert_int_equal(need.late_ms, 30);
	assert_int_equal(need.at_ms, 0);
	take(r, 100, "a", 9, 1, 0, 3);
	take(r, 150, "b", 9, 1, 0, 4);
	assert_true(room_need(r, 200, "m", &own, 1, &need));
	assert_int_equal(need.waiting, 12);
	assert_int_equal(need.running, 8);
	assert_int_equal(need.at_ms, 100);
	/* Nothing is open of this model. */
	assert_true(room_need(r, 200, "n", &own, 1, &need));
	assert_int_equal(need.waiting + need.running, 0);
	room_free(r);
}

/* Nodes that have samples of the model waiting compete for its engines; one that has
 * none, or that needs newer weights than an engine has, must not hold slots back. */
static void test_claims(void **state)
{
	struct room *r = table_new();
	struct room_claims cl = room_claims(r, 100, "m", 100);

	/* Another one may have begun at the same moment. */
	assert_int_equal(cl.others, 1);
	assert_int_equal(room_claims(r, 100 + ROOM_HOLD_MS, "m", 100).others,
			 0);
	take(r, 200, "a", 9, 1, 0, 3);
	take(r, 200, "z", 9, 1, 0, 3);
	cl = room_claims(r, 200, "m", 100);
	assert_int_equal(cl.others, 2);
	assert_int_equal(cl.rank, 1);
	assert_int_equal(cl.min_version, 4);
	take(r, 210, "a", 9, 2, 10, 3);
	assert_int_not_equal(room_claims(r, 210, "m", 100).round, cl.round);
	assert_int_equal(room_claims(r, 210, "n", 100).others, 0);
	assert_int_equal(room_claims(r, 300 + ROOM_KEEP_MS, "m", 100).others,
			 0);
	room_free(r);
}

/* More nodes than rows: what does not fit is refused, and rows of lost nodes are
 * used again. */
static void test_bounds(void **state)
{
	struct room *r = table_new();
	char name[16];

	for (int i = 0; i < ROOM_NODES; i++) {
		snprintf(name, sizeof(name), "n%d", i);
		assert_int_equal(take(r, i, name, 9, 1, 0, 1), ERR_OK);
	}
	assert_int_equal(take(r, 100, "x", 9, 1, 0, 1), ERR_FULL);
	room_expire(r, 1 + ROOM_KEEP_MS);
	assert_int_equal(take(r, 1 + ROOM_KEEP_MS, "x", 9, 1, 0, 1), ERR_OK);
	assert_int_equal(room_others(r, 1), ROOM_NODES);
	assert_int_equal(added[1], ROOM_NODES);
	room_free(r);
}

/* --- homes that share engines, in virtual time --- */

struct run {
	htab_handle server;
	int home;
	int64_t end_ms; ///< 0: row is free
	bool refused;
};

struct home {
	char name[8];
	struct room *room;
	struct site_servers *servers;
	int waiting;
	int backing_off[RETRY_MS + 1]; ///< refused samples, by time of return
	int64_t begun_ms;
	int64_t next_ms; ///< next report
	uint64_t seq;
	bool lost;
	struct room_report flying;
	int64_t arrives_ms; ///< 0: no report is on its way
};

struct world {
	struct home homes[HOMES];
	struct run runs[RUNS];
	int at[ENGINES + 1]; ///< requests at each engine, by its handle's index
	int percent_lost; ///< reports that do not arrive
	struct rng rng;
	int sends, refused, whole;
	int64_t whole_ms; ///< when the last sample ended
};

static void add_others(void *ctx, htab_handle server, int delta)
{
	struct home *h = ctx;

	site_servers_get(h->servers, server)->others += delta;
}

static void world_new(struct world *w, int percent_lost, uint64_t seed)
{
	memset(w, 0, sizeof(*w));
	w->percent_lost = percent_lost;
	w->rng = (struct rng){seed};
	for (int i = 0; i < HOMES; i++) {
		struct home *h = &w->homes[i];
		const struct room_opts opts = {
			.self = h->name, .add = add_others, .ctx = h};

		snprintf(h->name, sizeof(h->name), "h%d", i);
		h->room = room_new(&opts);
		h->servers = site_servers_new();
		for (int k = 0; k < ENGINES; k++) {
			struct site_server_entry e = {.slots = SLOTS,
						      .service = "svc",
						      .models = {{"m", 1}},
						      .n_models = 1};

			snprintf(e.id, sizeof(e.id), "e%d", k);
			site_servers_put(h->servers, 1, 0, &e);
		}
	}
}

static void world_free(struct world *w)
{
	for (int i = 0; i < HOMES; i++) {
		room_free(w->homes[i].room);
		site_servers_free(w->homes[i].servers);
	}
}

static int *engine(struct world *w, htab_handle server)
{
	return &w->at[server & 0xffff];
}

static void begin_run(struct world *w, int home, struct site_server *s,
		      int64_t now)
{
	int *at = engine(w, s->self);
	int events = 1 + (int)rng_below(&w->rng, 30);
	int i = 0;

	while (w->runs[i].end_ms)
		i++;
	if (rng_below(&w->rng, 20) == 0)
		events = EVENTS_LONGEST;
	w->runs[i] = (struct run){
		.server = s->self,
		.home = home,
		.refused = *at == SLOTS,
		.end_ms = now + (*at == SLOTS ? 2 : events * EVENT_MS),
	};
	site_server_begin(s, now);
	w->sends++;
	w->refused += w->runs[i].refused;
	*at += !w->runs[i].refused;
	w->homes[home].waiting--;
}

static void end_runs(struct world *w, int64_t now)
{
	for (int i = 0; i < RUNS; i++) {
		struct run *run = &w->runs[i];
		struct home *h = &w->homes[run->home];

		if (!run->end_ms || run->end_ms > now)
			continue;
		*engine(w, run->server) -= !run->refused;
		site_server_end(site_servers_get(h->servers, run->server), now,
				!run->refused);
		if (run->refused)
			h->backing_off[(now + RETRY_MS) % (RETRY_MS + 1)]++;
		else
			w->whole_ms = now;
		w->whole += !run->refused;
		run->end_ms = 0;
	}
}

static void report(struct world *w, struct home *h, int64_t now)
{
	struct room_report *rep = &h->flying;
	struct site_server *s;
	size_t iter = 0;

	memset(rep, 0, sizeof(*rep));
	rep->run = 1;
	rep->seq = ++h->seq;
	rep->sent_ms = now;
	while ((s = site_servers_next(h->servers, &iter)))
		rep->at[rep->n_at++] = (struct room_at){s->self, s->running};
	rep->steps[0] = (struct room_step){.model = "m", .waiting = h->waiting};
	rep->n_steps = 1;
	h->next_ms = now + (now - h->begun_ms < 3 * ROOM_HOLD_MS ? ROOM_HOLD_MS
								 : REPORT_MS);
	h->arrives_ms = (int)rng_below(&w->rng, 100) < w->percent_lost
				? 0
				: now + FLIGHT_MS;
}

static void send(struct world *w, int home, int64_t now)
{
	struct home *h = &w->homes[home];
	struct site_ask ask = {.service = "svc",
			       .model = "m",
			       .domain = "",
			       .only_free = true};
	struct site_server *s;

	if (w->percent_lost < 100) {
		struct room_claims cl =
			room_claims(h->room, now, "m", h->begun_ms);

		ask.claims = (struct site_claims){cl.others, cl.rank, cl.round,
						  cl.min_version};
	}
	while (h->waiting > 0 &&
	       (s = site_servers_choose(h->servers, now, &ask)))
		begin_run(w, home, s, now);
}

static void step_home(struct world *w, int i, int64_t now)
{
	struct home *h = &w->homes[i];
	struct home *other = &w->homes[1 - i];
	int *back = &h->backing_off[now % (RETRY_MS + 1)];
	bool begins = now % STEP_MS == 0 && now < (int64_t)STEPS * STEP_MS;

	if (h->arrives_ms == now && now) {
		room_take(other->room, now, h->name, &h->flying);
		h->arrives_ms = 0;
	}
	if (h->lost)
		return;
	h->waiting += *back;
	*back = 0;
	room_expire(h->room, now);
	if (begins) {
		h->waiting += SAMPLES;
		h->begun_ms = now;
	}
	/* The ticks of two nodes do not fall together. */
	if (begins || (now + 7 * i) % TICK_MS == 0)
		send(w, i, now);
	if (begins || ((now + 7 * i) % TICK_MS == 0 && now >= h->next_ms))
		report(w, h, now);
}

static void replay(struct world *w, int64_t from, int64_t to)
{
	for (int64_t now = from; now < to; now++) {
		end_runs(w, now);
		for (int i = 0; i < HOMES; i++)
			step_home(w, i, now);
	}
}

static struct world w;

static double refused_of(int percent_lost, int64_t *last_ms)
{
	int sends = 0;
	int refused = 0;

	*last_ms = 0;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		world_new(&w, percent_lost, seed);
		replay(&w, 0, (int64_t)STEPS * STEP_MS + 20000);
		assert_int_equal(w.whole, HOMES * STEPS * SAMPLES);
		sends += w.sends;
		refused += w.refused;
		*last_ms += w.whole_ms / SEEDS;
		world_free(&w);
	}
	print_message("%d%% of the reports lost: %d of %d sends refused "
		      "(%.1f%%), last sample at %lld ms\n",
		      percent_lost, refused, sends, 100.0 * refused / sends,
		      (long long)*last_ms);
	return (double)refused / sends;
}

/* Two homes begin a step at the same moment. Without reports each takes all engines
 * for its own. */
static void test_two_homes(void **state)
{
	int64_t without_ms, with_ms;

	assert_true(refused_of(100, &without_ms) > 0.06);
	assert_true(refused_of(0, &with_ms) < 0.03);
	/* Holding back must not make the steps end later. */
	assert_true(with_ms <= without_ms);
}

/* With every third report lost, the rest still helps; no sample is left behind. */
static void test_lost_reports(void **state)
{
	int64_t last_ms;
	double without = refused_of(100, &last_ms);

	assert_true(refused_of(33, &last_ms) < without / 2);
}

/* A home is lost with its requests: its slots are used again after 1.5 s, by a
 * survivor that has samples waiting. */
static void test_lost_home(void **state)
{
	static const int64_t lost_ms = 1000;
	struct site_server *s;
	size_t iter = 0;
	int others = 0;
	int running = 0;

	world_new(&w, 0, 1);
	replay(&w, 0, lost_ms);
	w.homes[1].lost = true;
	for (int i = 0; i < RUNS; i++) {
		if (w.runs[i].home == 1 && w.runs[i].end_ms)
			w.runs[i].end_ms = lost_ms;
	}
	w.homes[0].waiting += 2 * ENGINES * SLOTS;
	replay(&w, lost_ms, lost_ms + ROOM_KEEP_MS - REPORT_MS);
	while ((s = site_servers_next(w.homes[0].servers, &iter)))
		others += s->others;
	assert_true(others > 0);
	replay(&w, lost_ms + ROOM_KEEP_MS - REPORT_MS,
	       lost_ms + ROOM_KEEP_MS + 2 * TICK_MS);
	iter = 0;
	while ((s = site_servers_next(w.homes[0].servers, &iter))) {
		assert_int_equal(s->others, 0);
		running += s->running;
	}
	/* All but what ended since the last tick. */
	assert_in_range(running, ENGINES * SLOTS * 9 / 10, ENGINES * SLOTS);
	world_free(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_counts_once),
		cmocka_unit_test(test_expires),
		cmocka_unit_test(test_held_up),
		cmocka_unit_test(test_need),
		cmocka_unit_test(test_claims),
		cmocka_unit_test(test_bounds),
		cmocka_unit_test(test_two_homes),
		cmocka_unit_test(test_lost_reports),
		cmocka_unit_test(test_lost_home),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
