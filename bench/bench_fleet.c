// Cost and service of a day of three failure domains in virtual time: the fleet plan,
// a fixed size, a reactive threshold, and greedy use of cheap servers.
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "fleet/fleet.h"

enum {
	DOMAINS = 3,
	SERVERS_PER_DOMAIN = 64,
	DAY_S = 86400,
	WARMUP_S = 3600, ///< not measured: no server runs at the start
	BOOT_S = 90,
	RAMP_UP_S = 110, ///< from ready to full capacity
	LOAD_LAG_S = 10, ///< age of the load that a plan sees
	BACKLOG_DRAIN_S = 120, ///< target time to work off a backlog
	LOSS_INTERVAL_S = 3 * 3600,
	LOSS_OFFSET_S = 5,
	AFTER_LOSS_S = 600, ///< measured separately after a loss
	SEED = 11,
	MS = 1000,
};

static const double cheap_price = 0.3;
static const double cold_share = 0.2; ///< capacity when just ready
static const double target = 0.75; ///< utilization

struct server {
	bool used;
	bool cheap;
	int ready_s; ///< time from which it serves
};

struct domain {
	struct server servers[SERVERS_PER_DOMAIN];
	double steady, preemptible; ///< current load, in servers
	double backlog; ///< cuttable work not done yet, server seconds
	/// Recent steady and cuttable load, by second.
	double load_history[LOAD_LAG_S][2];
	struct fleet fleet;
	double spare; ///< unused capacity in the last second
};

struct day {
	struct domain d[DOMAINS];
	struct rng rng;
	int now_s;
	int last_loss_s;
	/* Sums, in server seconds. */
	double server_seconds_paid, steady, steady_lost, preemptible,
		done_on_cheap, cuttable_waited;
	double after_loss_steady, after_loss_steady_lost,
		after_loss_cuttable_waited, after_loss_cuttable;
	bool measured;
};

struct policy {
	const char *name;
	void (*step)(struct day *day, struct domain *d);
};

static double server_capacity(const struct server *s, int now_s)
{
	double age = now_s - s->ready_s;

	if (!s->used || age < 0)
		return 0;
	return fmin(1.0, cold_share + (1 - cold_share) * age / RAMP_UP_S);
}

static double capacity(const struct day *day, const struct domain *d,
		       bool cheap)
{
	double sum = 0;

	for (int i = 0; i < SERVERS_PER_DOMAIN; i++) {
		if (d->servers[i].cheap == cheap)
			sum += server_capacity(&d->servers[i], day->now_s);
	}
	return sum;
}

static int count(const struct domain *d, bool cheap)
{
	int n = 0;

	for (int i = 0; i < SERVERS_PER_DOMAIN; i++)
		n += d->servers[i].used && d->servers[i].cheap == cheap;
	return n;
}

static void start_server(const struct day *day, struct domain *d, bool cheap)
{
	for (int i = 0; i < SERVERS_PER_DOMAIN; i++) {
		if (d->servers[i].used)
			continue;
		d->servers[i] =
			(struct server){true, cheap, day->now_s + BOOT_S};
		return;
	}
}

/* The newest server has the least cached. */
static void stop_server(struct domain *d, bool cheap)
{
	struct server *newest = NULL;

	for (int i = 0; i < SERVERS_PER_DOMAIN; i++) {
		struct server *s = &d->servers[i];

		if (s->used && s->cheap == cheap &&
		    (!newest || s->ready_s > newest->ready_s))
			newest = s;
	}
	if (newest)
		newest->used = false;
}

static void resize(struct day *day, struct domain *d, int n_change, bool cheap)
{
	for (; n_change > 0; n_change--)
		start_server(day, d, cheap);
	for (; n_change < 0; n_change++)
		stop_server(d, cheap);
}

/* Load as it was LOAD_LAG_S ago, backlog included. */
static void get_lagged_load(const struct day *day, const struct domain *d,
			    double *steady, double *preemptible)
{
	int slot = (day->now_s + 1) % LOAD_LAG_S;

	*steady = d->load_history[slot][0];
	*preemptible = d->load_history[slot][1];
}

static void step_fixed(struct day *day, struct domain *d)
{
	const double peak = 22.0; /* of generate_load(), bursts included */

	resize(day, d, (int)ceil(peak / target) - count(d, false), false);
}

static void step_reactive(struct day *day, struct domain *d)
{
	double steady, preemptible, utilization;

	get_lagged_load(day, d, &steady, &preemptible);
	utilization = (steady + preemptible) / fmax(1, capacity(day, d, false));
	if (utilization > 0.8 && day->now_s % 30 == 0)
		resize(day, d, 1, false);
	else if (utilization < 0.5 && day->now_s % 300 == 0 &&
		 count(d, false) > 1)
		resize(day, d, -1, false);
}

static int starting(const struct day *day, const struct domain *d)
{
	int n = 0;

	for (int i = 0; i < SERVERS_PER_DOMAIN; i++)
		n += d->servers[i].used && d->servers[i].ready_s > day->now_s;
	return n;
}

static double other_domains_spare(const struct day *day, const struct domain *d)
{
	double spare = 0;

	for (int i = 0; i < DOMAINS; i++) {
		if (&day->d[i] != d)
			spare += day->d[i].spare;
	}
	return spare;
}

static void step_plan(struct day *day, struct domain *d)
{
	struct fleet_input in = {
		.regular = count(d, false),
		.cheap = count(d, true),
		.starting = starting(day, d),
		.other_domains_spare = other_domains_spare(day, d),
		.cheap_price = cheap_price,
	};
	struct fleet_plan p;

	get_lagged_load(day, d, &in.steady, &in.preemptible);
	p = fleet_step(&d->fleet, (int64_t)day->now_s * MS + 1, &in);
	resize(day, d, p.regular, false);
	resize(day, d, p.cheap, true);
}

/* Runs all cuttable work on cheap servers, regardless of their loss. */
static void step_greedy(struct day *day, struct domain *d)
{
	double steady, preemptible;

	get_lagged_load(day, d, &steady, &preemptible);
	if (day->now_s % 60 != 0)
		return;
	resize(day, d, (int)ceil(steady * 1.15 / target) - count(d, false),
	       false);
	if (day->now_s - day->last_loss_s > AFTER_LOSS_S)
		resize(day, d,
		       (int)ceil(preemptible * 1.15 / target) - count(d, true),
		       true);
}

static void generate_load(struct day *day, int i)
{
	struct domain *d = &day->d[i];
	double t = (double)day->now_s / DAY_S * 2 * M_PI + 0.5 * i;
	double noise = rng_unit(&day->rng) - 0.5;
	bool burst = (day->now_s + 300 * i) % 1200 < 240;
	bool surge = day->now_s % 21600 > 21600 - 900;

	d->steady = (4 + 2.5 * sin(t) + noise) * (surge ? 1.5 : 1.0);
	d->preemptible = 6 + 4 * sin(t + 1) + noise + (burst ? 2 : 0);
	d->load_history[day->now_s % LOAD_LAG_S][0] = d->steady;
	d->load_history[day->now_s % LOAD_LAG_S][1] =
		d->preemptible + d->backlog / BACKLOG_DRAIN_S;
}

/* Serves one second: steady load on regular servers; cuttable load on cheap and spare
 * regular ones; the remainder on other domains' spare servers. */
static void serve_load(struct day *day)
{
	double spare = 0, unserved = 0, steady_lost = 0;

	for (int i = 0; i < DOMAINS; i++) {
		struct domain *d = &day->d[i];
		double regular = capacity(day, d, false);
		double cheap = capacity(day, d, true);
		double steady_done = fmin(d->steady, regular);
		double demand = d->preemptible + d->backlog;
		double cheap_done = fmin(demand, cheap);
		double regular_done =
			fmin(demand - cheap_done, regular - steady_done);

		d->backlog = demand - cheap_done - regular_done;
		d->spare = regular - steady_done - regular_done + cheap -
			   cheap_done;
		spare += regular - steady_done - regular_done;
		steady_lost += d->steady - steady_done;
		unserved += d->backlog;
		if (!day->measured)
			continue;
		day->steady += d->steady;
		day->preemptible += d->preemptible;
		day->done_on_cheap += cheap_done;
		day->server_seconds_paid +=
			count(d, false) + cheap_price * count(d, true);
	}
	if (steady_lost > 0) {
		double moved = fmin(steady_lost, spare);

		steady_lost -= moved;
		spare -= moved;
	}
	for (int i = 0; unserved > 0 && i < DOMAINS; i++)
		day->d[i].backlog *= 1 - fmin(1, spare / unserved);
	unserved -= fmin(unserved, spare);
	if (!day->measured)
		return;
	day->steady_lost += steady_lost;
	day->cuttable_waited += unserved;
}

static void lose_cheap_servers(struct day *day)
{
	struct domain *d = &day->d[rng_below(&day->rng, DOMAINS)];

	for (int i = 0; i < SERVERS_PER_DOMAIN; i++) {
		if (d->servers[i].cheap)
			d->servers[i].used = false;
	}
	fleet_cheap_lost(&d->fleet, (int64_t)day->now_s * MS + 1);
	day->last_loss_s = day->now_s;
}

/* Counts separately within AFTER_LOSS_S of a loss. */
static void count_after_loss(struct day *day, const struct day *day_before)
{
	if (!day->measured || day->now_s - day->last_loss_s >= AFTER_LOSS_S)
		return;
	day->after_loss_steady += day->steady - day_before->steady;
	day->after_loss_steady_lost +=
		day->steady_lost - day_before->steady_lost;
	day->after_loss_cuttable_waited +=
		day->cuttable_waited - day_before->cuttable_waited;
	day->after_loss_cuttable += day->preemptible - day_before->preemptible;
}

static void run(struct day *day, const struct policy *p)
{
	static struct day day_before;
	const struct fleet_opts opts = {
		.target = target,
		.lead_ms = (BOOT_S + RAMP_UP_S) * MS,
		.hold_ms = 900 * MS,
		.penalty_ms = 600 * MS,
		.min = 1,
		.max = SERVERS_PER_DOMAIN / 2,
	};

	memset(day, 0, sizeof(*day));
	day->rng.state = SEED;
	day->last_loss_s = -DAY_S;
	for (int i = 0; i < DOMAINS; i++)
		fleet_init(&day->d[i].fleet, &opts);
	for (; day->now_s < DAY_S; day->now_s++) {
		day_before = *day;
		day->measured = day->now_s >= WARMUP_S;
		for (int i = 0; i < DOMAINS; i++) {
			generate_load(day, i);
			p->step(day, &day->d[i]);
		}
		if (day->measured &&
		    day->now_s % LOSS_INTERVAL_S == LOSS_OFFSET_S)
			lose_cheap_servers(day);
		serve_load(day);
		count_after_loss(day, &day_before);
	}
	printf("%s: %.0f regular server hours paid, %.4f%% of steady work "
	       "lost, cuttable work waited %.2f s, %.1f%% of all work on cheap "
	       "servers; after losses: %.4f%% lost, waited %.2f s\n",
	       p->name, day->server_seconds_paid / 3600,
	       100 * day->steady_lost / day->steady,
	       day->cuttable_waited / day->preemptible,
	       100 * day->done_on_cheap / (day->steady + day->preemptible),
	       100 * day->after_loss_steady_lost /
		       fmax(1, day->after_loss_steady),
	       day->after_loss_cuttable_waited /
		       fmax(1, day->after_loss_cuttable));
}

static int report_check(const char *name, double value, const char *unit,
			double bound, bool ok)
{
	printf("bench %s %.4f %s bound %.4f %s\n", name, value, unit, bound,
	       ok ? "pass" : "fail");
	return ok ? 0 : 1;
}

int main(void)
{
	static struct day fixed, reactive, planned, greedy;
	double steady_lost, cost_vs_fixed, cheap, steady_lost_after_loss,
		mean_wait_s;
	int bad = 0;

	run(&fixed, &(struct policy){"fixed size", step_fixed});
	run(&reactive, &(struct policy){"reactive threshold", step_reactive});
	run(&greedy, &(struct policy){"cheap without regard", step_greedy});
	run(&planned, &(struct policy){"ours", step_plan});
	cost_vs_fixed = planned.server_seconds_paid / fixed.server_seconds_paid;
	mean_wait_s = planned.cuttable_waited / planned.preemptible;
	steady_lost = planned.steady_lost / planned.steady;
	cheap = planned.done_on_cheap / (planned.steady + planned.preemptible);
	steady_lost_after_loss = planned.after_loss_steady_lost /
				 fmax(1, planned.after_loss_steady);
	bad |= report_check("fleet_cost_of_fixed", cost_vs_fixed, "ratio", 0.6,
			    cost_vs_fixed <= 0.6);
	bad |= report_check("fleet_steady_lost", steady_lost, "share", 0.001,
			    steady_lost <= 0.001);
	bad |= report_check("fleet_cost_of_reactive",
			    planned.server_seconds_paid /
				    reactive.server_seconds_paid,
			    "ratio", 0.8,
			    planned.server_seconds_paid <=
				    0.8 * reactive.server_seconds_paid);
	bad |= report_check("fleet_wait", mean_wait_s, "s", 1.0,
			    mean_wait_s <= 1.0);
	bad |= report_check("fleet_on_cheap", cheap, "share", 0.25,
			    cheap >= 0.25);
	bad |= report_check("fleet_steady_lost_after_loss",
			    steady_lost_after_loss, "share", 0.001,
			    steady_lost_after_loss <= 0.001);
	bad |= report_check("fleet_wait_after_loss_of_greedy",
			    planned.after_loss_cuttable_waited /
				    greedy.after_loss_cuttable_waited,
			    "ratio", 0.25,
			    planned.after_loss_cuttable_waited <=
				    0.25 * greedy.after_loss_cuttable_waited);
	return bad;
}
