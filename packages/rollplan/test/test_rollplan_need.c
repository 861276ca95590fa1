// Weight loads of models whose samples wait: usable servers stay out of loads, and
// each naming finds enough of them.
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
	AT_ONCE = 9,
	LOAD_MS = 900,
	STEP_MS = 4000,
	APART_MS = 1300, ///< between the namings of two models
	ENTRY_MS = 2000, ///< longest time until an entry shows a load
	TICK_MS = 10,
	WARM_MS = 5 * STEP_MS,
	DAY_MS = 25 * STEP_MS,
};

static const struct rollplan_opts opts = {
	.at_once = AT_ONCE, .load_ms = 1000, .late_ms = 4000, .due_ms = 7500};

/// A server as it is, and what its entry says.
struct real {
	uint64_t have[MODELS];
	int model; ///< of the load in progress
	uint64_t version;
	int64_t done_ms; ///< of the load, 0 for none
	int64_t shown_ms; ///< when the entry shows what it has, 0: it does
};

struct day {
	struct rollplan plan;
	struct site_servers *t;
	struct real real[SERVERS];
	struct rng rng;
	uint64_t rev;
	int loads; ///< ordered after the warm-up
	int usable_loads; ///< of them, of servers that a new step could use
	int least_percent; ///< usable ones of a share 100 ms after a naming
	int64_t stale_ms; ///< longest time until a share had no stale server
	double usable; ///< mean usable part of the shares
	double first; ///< the same in the first second after namings
	int looks;
	int firsts;
};

static const char *name_of(int model)
{
	static const char *const names[MODELS] = {"m0", "m1", "m2"};

	return names[model];
}

static uint64_t named(int model, int64_t now)
{
	return 2 + (uint64_t)((now + model * APART_MS) / STEP_MS);
}

/* Time since a model's version was named. */
static int64_t since_naming(int model, int64_t now)
{
	return (now + model * APART_MS) % STEP_MS;
}

static void show(struct day *d, int i)
{
	struct site_server_entry e = {.slots = 8, .n_models = MODELS};

	snprintf(e.id, sizeof(e.id), "s%02d", i);
	snprintf(e.domain, sizeof(e.domain), "d%d", i % 4);
	strcpy(e.service, "svc");
	for (int m = 0; m < MODELS; m++) {
		strcpy(e.models[m].name, name_of(m));
		e.models[m].version = d->real[i].have[m];
	}
	site_servers_put(d->t, ++d->rev, 0, &e);
	d->real[i].shown_ms = 0;
}

static int index_of(const struct day *d, htab_handle h)
{
	return atoi(site_servers_get(d->t, h)->entry.id + 1);
}

static void begin(struct day *d, uint64_t version)
{
	*d = (struct day){.rng = {3}, .least_percent = 100};
	d->t = site_servers_new();
	rollplan_init(&d->plan, &opts);
	for (int i = 0; i < SERVERS; i++) {
		for (int m = 0; m < MODELS; m++)
			d->real[i].have[m] = m == i % MODELS ? version : 1;
		show(d, i);
	}
}

static void serve(struct day *d, int64_t now)
{
	for (int i = 0; i < SERVERS; i++) {
		struct real *r = &d->real[i];

		if (r->done_ms && now >= r->done_ms) {
			r->have[r->model] = r->version;
			r->done_ms = 0;
			r->shown_ms =
				now + (int64_t)rng_below(&d->rng, ENTRY_MS);
		}
		if (r->shown_ms && now >= r->shown_ms)
			show(d, i);
	}
}

static void order(struct day *d, int64_t now)
{
	struct rollplan_order o;
	int loading = 0;

	while (rollplan_next(&d->plan, d->t, "svc", now, &o)) {
		struct real *r = &d->real[index_of(d, o.server)];

		assert_int_equal(r->done_ms, 0);
		r->model = o.model[1] - '0';
		r->version = o.version;
		r->done_ms = now + LOAD_MS;
		if (now < WARM_MS)
			continue;
		d->loads++;
		d->usable_loads += r->have[r->model] + 1 >= o.version;
	}
	for (int i = 0; i < SERVERS; i++)
		loading += d->real[i].done_ms != 0;
	assert_in_range(loading, 0, AT_ONCE);
}

/* Look at the share of a model, a time after its naming. */
static void look(struct day *d, int model, int64_t now)
{
	htab_handle out[SERVERS];
	int n = rollplan_share(&d->plan, d->t, "svc", name_of(model), out,
			       SERVERS);
	int64_t since = since_naming(model, now);
	int usable = 0;
	int stale = 0;

	for (int k = 0; k < n; k++) {
		const struct real *r = &d->real[index_of(d, out[k])];
		bool old = r->have[model] + 1 < named(model, now);

		stale += old;
		usable += !old && !r->done_ms;
	}
	d->usable += (double)usable / n;
	d->looks++;
	if (since < 1000) {
		d->first += (double)usable / n;
		d->firsts++;
	}
	if (since == 100 && usable * 100 / n < d->least_percent)
		d->least_percent = usable * 100 / n;
	if (stale && since > d->stale_ms)
		d->stale_ms = since;
}

/* @param wait_ms  after each naming, samples of the model wait for so long; -1: the
 *                 plan is told nothing */
static void run(struct day *d, int wait_ms)
{
	for (int64_t now = 0; now < DAY_MS; now += TICK_MS) {
		for (int m = 0; m < MODELS; m++) {
			const struct rollplan_need need = {
				.waiting = since_naming(m, now) < wait_ms,
				.running = 60,
				.at_ms = now,
			};

			rollplan_target(&d->plan, name_of(m), named(m, now));
			if (wait_ms >= 0)
				rollplan_need(&d->plan, name_of(m), &need);
		}
		serve(d, now);
		order(d, now);
		for (int m = 0; m < MODELS && now >= WARM_MS; m++)
			look(d, m, now);
	}
	site_servers_free(d->t);
}

static double per_second(int loads)
{
	return loads * 1000.0 / (DAY_MS - WARM_MS);
}

static void report(const char *what, const struct day *d)
{
	print_message("%s: %.1f loads a second, %.1f of usable servers; usable "
		      "%.2f, in the first second after a naming %.2f, least "
		      "%d%%; stale for %lld ms\n",
		      what, per_second(d->loads), per_second(d->usable_loads),
		      d->usable / d->looks, d->first / d->firsts,
		      d->least_percent, (long long)d->stale_ms);
}

/* Guards against loads of every server for every version, which took 9 loads a
 * second on the heaviest day while samples waited for servers that were loading. */
static void test_half_the_loads(void **state)
{
	struct day all, d;

	begin(&all, 2);
	run(&all, -1);
	report("no need known", &all);
	begin(&d, 2);
	run(&d, STEP_MS);
	report("samples wait always", &d);
	/* Every server for every version takes 12, more than 9 at once give. */
	assert_true(per_second(all.loads) >= 8.9);
	/* Every server for every other version: fewer would leave stale ones. */
	assert_true(per_second(d.loads) <= 6.1);
	assert_true(d.usable / d.looks >= all.usable / all.looks + 0.05);
	/* Usable servers stay out of loads. */
	assert_int_equal(d.usable_loads, 0);
	assert_in_range(d.least_percent, 50, 100);
	assert_in_range(d.stale_ms, 0, 2500);
}

/* Guards against idle loads that hold up those of the next naming. */
static void test_idle_loads_leave_room(void **state)
{
	static const int waits[] = {0, 1500, 3000};

	for (int i = 0; i < 3; i++) {
		struct day d;

		begin(&d, 2);
		run(&d, waits[i]);
		report("samples wait at times", &d);
		assert_in_range(d.least_percent, 50, 100);
		assert_in_range(d.stale_ms, 0, 2500);
		assert_true(per_second(d.loads) <= 7.5);
	}
}

static void put_all(struct day *d, uint64_t version)
{
	begin(d, version);
	for (int m = 0; m < MODELS; m++)
		rollplan_target(&d->plan, name_of(m), version);
}

static int count_orders(struct day *d, int64_t now, enum rollplan_why why)
{
	struct rollplan_order o;
	int n = 0;

	while (rollplan_next(&d->plan, d->t, "svc", now, &o)) {
		assert_int_equal(o.why, why);
		n++;
	}
	return n;
}

static void tell(struct day *d, int waiting, int64_t now)
{
	const struct rollplan_need need = {.waiting = waiting, .at_ms = now};

	for (int m = 0; m < MODELS; m++)
		rollplan_need(&d->plan, name_of(m), &need);
}

/* All servers have version 8, samples wait, and m0 names version 9 at 4,000 ms: half of
 * its 16 servers load once the step's first samples are at servers. */
static void begin_reserve(struct day *d)
{
	put_all(d, 8);
	tell(d, 50, 0);
	assert_int_equal(count_orders(d, 0, ROLLPLAN_NONE), 0);
	rollplan_target(&d->plan, "m0", 9);
	tell(d, 50, 4000);
	assert_int_equal(count_orders(d, 4000, ROLLPLAN_NONE), 0);
	tell(d, 50, 4150);
	assert_int_equal(count_orders(d, 4150, ROLLPLAN_RESERVE), 8);
}

/* Guards against a naming that leaves no usable server: all have one version, and
 * samples wait up to the next naming. */
static void test_same_version_everywhere(void **state)
{
	struct day d;

	begin_reserve(&d);
	tell(&d, 50, 5200);
	assert_int_equal(count_orders(&d, 5200, ROLLPLAN_NONE), 0);
	tell(&d, 50, 8000);
	assert_int_equal(count_orders(&d, 8000, ROLLPLAN_NONE), 0);
	site_servers_free(d.t);
}

/* Guards against a step without a usable server: both open steps of a trainer end
 * together, so that it names two versions within a second. */
static void test_two_namings_within_a_second(void **state)
{
	struct rollplan_count n;
	struct day d;

	begin_reserve(&d);
	rollplan_target(&d.plan, "m0", 10);
	tell(&d, 50, 4700);
	/* The others are stale now; one more load fits in. */
	assert_int_equal(count_orders(&d, 4700, ROLLPLAN_STALE), 1);
	n = rollplan_count(&d.plan, d.t, "svc", "m0", 5200);
	assert_in_range(n.usable, 8, 16);
	site_servers_free(d.t);
}

/* Guards against servers that stay behind when nothing waits, and against a plan
 * that holds loads back on an old need. */
static void test_idle_and_unknown(void **state)
{
	struct day d;

	put_all(&d, 8);
	rollplan_target(&d.plan, "m0", 9);
	tell(&d, 0, 0);
	/* At most a third of the loads at once. */
	assert_int_equal(count_orders(&d, 0, ROLLPLAN_IDLE), 3);
	/* With samples waiting, only what makes up half of the 16. */
	tell(&d, 1, 1000);
	assert_int_equal(count_orders(&d, 1000, ROLLPLAN_RESERVE), 5);
	tell(&d, 1, 2000);
	assert_int_equal(count_orders(&d, 2000, ROLLPLAN_NONE), 0);
	/* The need is told no more. */
	assert_int_equal(count_orders(&d, 3600, ROLLPLAN_BEHIND), 8);
	site_servers_free(d.t);
}

/* Guards against a trainer that stays behind: its share grows by up to a half, and
 * does not shrink back the moment that its late step ends. */
static void test_late_model_gets_more(void **state)
{
	struct rollplan_need need = {.late_ms = 7500, .at_ms = 100};
	htab_handle out[SERVERS];
	struct rollplan_order o;
	struct day d;

	put_all(&d, 8);
	for (int m = 0; m < MODELS; m++)
		rollplan_work(&d.plan, name_of(m), 1000);
	assert_int_equal(
		rollplan_share(&d.plan, d.t, "svc", "m1", out, SERVERS), 16);
	rollplan_need(&d.plan, "m1", &need);
	rollplan_next(&d.plan, d.t, "svc", 100, &o);
	/* 1.5 of 3.5 parts. */
	assert_in_range(rollplan_share(&d.plan, d.t, "svc", "m1", out, SERVERS),
			20, 21);
	need = (struct rollplan_need){.late_ms = 0, .at_ms = 600};
	rollplan_need(&d.plan, "m1", &need);
	rollplan_next(&d.plan, d.t, "svc", 600, &o);
	assert_in_range(rollplan_share(&d.plan, d.t, "svc", "m1", out, SERVERS),
			19, 21);
	site_servers_free(d.t);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_half_the_loads),
		cmocka_unit_test(test_idle_loads_leave_room),
		cmocka_unit_test(test_same_version_everywhere),
		cmocka_unit_test(test_two_namings_within_a_second),
		cmocka_unit_test(test_idle_and_unknown),
		cmocka_unit_test(test_late_model_gets_more),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
