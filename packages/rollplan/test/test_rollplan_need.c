// Tests weight loads with known demand: while samples wait, usable servers are not
// taken for loads, and each new version finds enough of them.
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
	SERVERS = 48,
	MODELS = 3,
	MAX_LOADS = 9,
	LOAD_MS = 900,
	STEP_MS = 4000,
	PUBLISH_OFFSET_MS = 1300, ///< between new versions of two models
	ENTRY_DELAY_MAX_MS = 2000, ///< until an entry shows a load
	TICK_MS = 10,
	WARMUP_MS = 5 * STEP_MS,
	SIM_MS = 25 * STEP_MS,
};

static const struct rollplan_opts opts = {.max_loads = MAX_LOADS,
					  .load_max_ms = 1000,
					  .order_timeout_ms = 4000,
					  .due_ms = 7500};

/// True state of a server, which its entry shows with a delay.
struct sim_server {
	uint64_t have[MODELS];
	int model; ///< that is being loaded
	uint64_t version;
	int64_t done_ms; ///< end of the load, 0 if none is in progress
	int64_t entry_due_ms; ///< next update of the entry, 0 if it is current
};

struct load_sim {
	struct rollplan plan;
	struct site_servers *t;
	struct sim_server servers[SERVERS];
	struct rng rng;
	uint64_t rev;
	int loads; ///< ordered after the warm-up
	int usable_loads; ///< those on servers usable by a new step
	int min_usable_percent; ///< of a model, 100 ms after a new version
	int64_t stale_ms; ///< longest time until no server was stale
	double usable_sum; ///< sum of usable fractions over observations
	double first_usable_sum; ///< same, first second after new versions
	int observations;
	int first_observations;
};

static const char *model_name(int model)
{
	static const char *const names[MODELS] = {"m0", "m1", "m2"};

	return names[model];
}

static uint64_t published_version(int model, int64_t now)
{
	return 2 + (uint64_t)((now + model * PUBLISH_OFFSET_MS) / STEP_MS);
}

static int64_t since_published_ms(int model, int64_t now)
{
	return (now + model * PUBLISH_OFFSET_MS) % STEP_MS;
}

static void update_entry(struct load_sim *sim, int i)
{
	struct site_server_entry e = {.slots = 8, .n_models = MODELS};

	snprintf(e.id, sizeof(e.id), "s%02d", i);
	snprintf(e.domain, sizeof(e.domain), "d%d", i % 4);
	strcpy(e.service, "svc");
	for (int m = 0; m < MODELS; m++) {
		strcpy(e.models[m].name, model_name(m));
		e.models[m].version = sim->servers[i].have[m];
	}
	site_servers_put(sim->t, ++sim->rev, 0, &e);
	sim->servers[i].entry_due_ms = 0;
}

static int index_of(const struct load_sim *sim, htab_handle h)
{
	return atoi(site_servers_get(sim->t, h)->entry.id + 1);
}

static void begin_load_sim(struct load_sim *sim, uint64_t version)
{
	*sim = (struct load_sim){.rng = {3}, .min_usable_percent = 100};
	sim->t = site_servers_new();
	rollplan_init(&sim->plan, &opts);
	for (int i = 0; i < SERVERS; i++) {
		for (int m = 0; m < MODELS; m++)
			sim->servers[i].have[m] = m == i % MODELS ? version : 1;
		update_entry(sim, i);
	}
}

static void advance_servers(struct load_sim *sim, int64_t now)
{
	for (int i = 0; i < SERVERS; i++) {
		struct sim_server *s = &sim->servers[i];

		if (s->done_ms && now >= s->done_ms) {
			s->have[s->model] = s->version;
			s->done_ms = 0;
			s->entry_due_ms =
				now + (int64_t)rng_below(&sim->rng,
							 ENTRY_DELAY_MAX_MS);
		}
		if (s->entry_due_ms && now >= s->entry_due_ms)
			update_entry(sim, i);
	}
}

static void give_orders(struct load_sim *sim, int64_t now)
{
	struct rollplan_order o;
	int loading = 0;

	while (rollplan_next_order(&sim->plan, sim->t, "svc", now, &o)) {
		struct sim_server *s = &sim->servers[index_of(sim, o.server)];

		assert_int_equal(s->done_ms, 0);
		s->model = o.model[1] - '0';
		s->version = o.version;
		s->done_ms = now + LOAD_MS;
		if (now < WARMUP_MS)
			continue;
		sim->loads++;
		sim->usable_loads += s->have[s->model] + 1 >= o.version;
	}
	for (int i = 0; i < SERVERS; i++)
		loading += sim->servers[i].done_ms != 0;
	assert_in_range(loading, 0, MAX_LOADS);
}

static void observe_share(struct load_sim *sim, int model, int64_t now)
{
	htab_handle out[SERVERS];
	int n = rollplan_model_servers(&sim->plan, sim->t, "svc",
				       model_name(model), out, SERVERS);
	int64_t since_ms = since_published_ms(model, now);
	int usable = 0;
	int stale = 0;

	for (int k = 0; k < n; k++) {
		const struct sim_server *s =
			&sim->servers[index_of(sim, out[k])];
		bool old = s->have[model] + 1 < published_version(model, now);

		stale += old;
		usable += !old && !s->done_ms;
	}
	sim->usable_sum += (double)usable / n;
	sim->observations++;
	if (since_ms < 1000) {
		sim->first_usable_sum += (double)usable / n;
		sim->first_observations++;
	}
	if (since_ms == 100 && usable * 100 / n < sim->min_usable_percent)
		sim->min_usable_percent = usable * 100 / n;
	if (stale && since_ms > sim->stale_ms)
		sim->stale_ms = since_ms;
}

/* @param wait_ms  time for which samples wait after each new version; -1: demand is
 *                 not known */
static void run_load_sim(struct load_sim *sim, int wait_ms)
{
	for (int64_t now = 0; now < SIM_MS; now += TICK_MS) {
		for (int m = 0; m < MODELS; m++) {
			const struct rollplan_demand demand = {
				.waiting = since_published_ms(m, now) < wait_ms,
				.running = 60,
				.as_of_ms = now,
			};

			rollplan_set_target(&sim->plan, model_name(m),
					    published_version(m, now));
			if (wait_ms >= 0)
				rollplan_set_demand(&sim->plan, model_name(m),
						    &demand);
		}
		advance_servers(sim, now);
		give_orders(sim, now);
		for (int m = 0; m < MODELS && now >= WARMUP_MS; m++)
			observe_share(sim, m, now);
	}
	site_servers_free(sim->t);
}

static double per_second(int loads)
{
	return loads * 1000.0 / (SIM_MS - WARMUP_MS);
}

static void print_load_rates(const char *label, const struct load_sim *sim)
{
	print_message("%s: %.1f loads a second, %.1f of usable servers; usable "
		      "%.2f, in the first second after a version %.2f, least "
		      "%d%%; stale for %lld ms\n",
		      label, per_second(sim->loads),
		      per_second(sim->usable_loads),
		      sim->usable_sum / sim->observations,
		      sim->first_usable_sum / sim->first_observations,
		      sim->min_usable_percent, (long long)sim->stale_ms);
}

/* Guards against loading every server for every version: at the heaviest load that
 * took 9 loads a second, while samples waited for servers that were loading. */
static void test_waiting_samples_halve_loads(void **state)
{
	struct load_sim all, sim;

	begin_load_sim(&all, 2);
	run_load_sim(&all, -1);
	print_load_rates("demand not known", &all);
	begin_load_sim(&sim, 2);
	run_load_sim(&sim, STEP_MS);
	print_load_rates("samples wait always", &sim);
	/* Every server for every version takes 12 a second, more than 9 concurrent
	 * loads achieve. */
	assert_true(per_second(all.loads) >= 8.9);
	/* Every server for every other version: fewer would leave stale servers. */
	assert_true(per_second(sim.loads) <= 6.1);
	assert_true(sim.usable_sum / sim.observations >=
		    all.usable_sum / all.observations + 0.05);
	/* Usable servers are not loaded. */
	assert_int_equal(sim.usable_loads, 0);
	assert_in_range(sim.min_usable_percent, 50, 100);
	assert_in_range(sim.stale_ms, 0, 2500);
}

/* Guards against idle loads that delay the loads for the next version. */
static void test_idle_loads_leave_capacity(void **state)
{
	static const int waits[] = {0, 1500, 3000};

	for (int i = 0; i < 3; i++) {
		struct load_sim sim;

		begin_load_sim(&sim, 2);
		run_load_sim(&sim, waits[i]);
		print_load_rates("samples wait at times", &sim);
		assert_in_range(sim.min_usable_percent, 50, 100);
		assert_in_range(sim.stale_ms, 0, 2500);
		assert_true(per_second(sim.loads) <= 7.5);
	}
}

static void begin_same_version(struct load_sim *sim, uint64_t version)
{
	begin_load_sim(sim, version);
	for (int m = 0; m < MODELS; m++)
		rollplan_set_target(&sim->plan, model_name(m), version);
}

static int count_orders(struct load_sim *sim, int64_t now,
			enum rollplan_reason reason)
{
	struct rollplan_order o;
	int n = 0;

	while (rollplan_next_order(&sim->plan, sim->t, "svc", now, &o)) {
		assert_int_equal(o.reason, reason);
		n++;
	}
	return n;
}

static void set_demand(struct load_sim *sim, int waiting, int64_t now)
{
	const struct rollplan_demand demand = {.waiting = waiting,
					       .as_of_ms = now};

	for (int m = 0; m < MODELS; m++)
		rollplan_set_demand(&sim->plan, model_name(m), &demand);
}

/* All servers have version 8, samples wait, and m0 publishes version 9 at 4,000 ms:
 * half of its 16 servers load once the step's first samples are at servers. */
static void begin_reserve(struct load_sim *sim)
{
	begin_same_version(sim, 8);
	set_demand(sim, 50, 0);
	assert_int_equal(count_orders(sim, 0, ROLLPLAN_NONE), 0);
	rollplan_set_target(&sim->plan, "m0", 9);
	set_demand(sim, 50, 4000);
	assert_int_equal(count_orders(sim, 4000, ROLLPLAN_NONE), 0);
	set_demand(sim, 50, 4150);
	assert_int_equal(count_orders(sim, 4150, ROLLPLAN_RESERVE), 8);
}

/* Guards against a new version that leaves no usable server: all have the same
 * version, and samples wait until the next one. */
static void test_half_of_share_loads_while_samples_wait(void **state)
{
	struct load_sim sim;

	begin_reserve(&sim);
	set_demand(&sim, 50, 5200);
	assert_int_equal(count_orders(&sim, 5200, ROLLPLAN_NONE), 0);
	set_demand(&sim, 50, 8000);
	assert_int_equal(count_orders(&sim, 8000, ROLLPLAN_NONE), 0);
	site_servers_free(sim.t);
}

/* Guards against a step without a usable server: both open steps of a trainer end
 * together, so that it publishes two versions within a second. */
static void test_two_versions_within_a_second(void **state)
{
	struct rollplan_count n;
	struct load_sim sim;

	begin_reserve(&sim);
	rollplan_set_target(&sim.plan, "m0", 10);
	set_demand(&sim, 50, 4700);
	/* The other servers are stale now; the limit allows one more load. */
	assert_int_equal(count_orders(&sim, 4700, ROLLPLAN_STALE), 1);
	n = rollplan_count(&sim.plan, sim.t, "svc", "m0", 5200);
	assert_in_range(n.usable, 8, 16);
	site_servers_free(sim.t);
}

/* Guards against servers that stay behind although no sample waits, and against
 * loads that are held back because of an outdated demand. */
static void test_idle_loads_and_unknown_demand(void **state)
{
	struct load_sim sim;

	begin_same_version(&sim, 8);
	rollplan_set_target(&sim.plan, "m0", 9);
	set_demand(&sim, 0, 0);
	/* Idle loads take at most a third of the concurrent loads. */
	assert_int_equal(count_orders(&sim, 0, ROLLPLAN_IDLE), 3);
	/* While samples wait, load only up to half of the 16. */
	set_demand(&sim, 1, 1000);
	assert_int_equal(count_orders(&sim, 1000, ROLLPLAN_RESERVE), 5);
	set_demand(&sim, 1, 2000);
	assert_int_equal(count_orders(&sim, 2000, ROLLPLAN_NONE), 0);
	/* The demand has expired. */
	assert_int_equal(count_orders(&sim, 3600, ROLLPLAN_BEHIND), 8);
	site_servers_free(sim.t);
}

/* Guards against a trainer that stays behind: the work of its model counts up to a
 * half more, and its share does not shrink as soon as the overdue step ends. */
static void test_late_model_gets_larger_share(void **state)
{
	struct rollplan_demand demand = {.overdue_ms = 7500, .as_of_ms = 100};
	htab_handle out[SERVERS];
	struct rollplan_order o;
	struct load_sim sim;

	begin_same_version(&sim, 8);
	for (int m = 0; m < MODELS; m++)
		rollplan_set_work(&sim.plan, model_name(m), 1000);
	assert_int_equal(rollplan_model_servers(&sim.plan, sim.t, "svc", "m1",
						out, SERVERS),
			 16);
	rollplan_set_demand(&sim.plan, "m1", &demand);
	rollplan_next_order(&sim.plan, sim.t, "svc", 100, &o);
	/* 1.5 / 3.5 of the servers. */
	assert_in_range(rollplan_model_servers(&sim.plan, sim.t, "svc", "m1",
					       out, SERVERS),
			20, 21);
	demand = (struct rollplan_demand){.overdue_ms = 0, .as_of_ms = 600};
	rollplan_set_demand(&sim.plan, "m1", &demand);
	rollplan_next_order(&sim.plan, sim.t, "svc", 600, &o);
	assert_in_range(rollplan_model_servers(&sim.plan, sim.t, "svc", "m1",
					       out, SERVERS),
			19, 21);
	site_servers_free(sim.t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_waiting_samples_halve_loads),
		cmocka_unit_test(test_idle_loads_leave_capacity),
		cmocka_unit_test(test_half_of_share_loads_while_samples_wait),
		cmocka_unit_test(test_two_versions_within_a_second),
		cmocka_unit_test(test_idle_loads_and_unknown_demand),
		cmocka_unit_test(test_late_model_gets_larger_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
