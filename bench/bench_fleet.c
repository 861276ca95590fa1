// A simulated day of three failure domains in virtual time: server hours paid and
// work served with the fleet plan, compared with a fixed size, a reactive threshold,
// and greedy use of cheap servers that ignores their loss.
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "fleet/fleet.h"

enum {
	DOMAINS = 3,
	SERVERS = 64,
	DAY_S = 86400,
	WARMUP_S = 3600, ///< not measured: no server runs at the start
	BOOT_S = 90,
	WARM_S = 110, ///< from ready to full capacity
	LAG_S = 10, ///< age of the load that a plan sees
	DRAIN_S = 120, ///< target time to work off a backlog
	/// Between losses of all cheap servers of one domain.
	VANISH_EVERY_S = 3 * 3600,
	NOTICE_S = 5,
	AFTER_S = 600, ///< measured separately after a loss
	SEED = 11,
	MS = 1000,
};

static const double cheap_price = 0.3;
static const double cold_share = 0.2; ///< of the full capacity, when just ready
static const double target = 0.75; ///< utilization of the planned servers

struct server {
	bool used;
	bool cheap;
	int live_s; ///< time from which it serves
};

struct domain {
	struct server servers[SERVERS];
	double steady, cuttable; ///< current load, in servers
	double backlog; ///< cuttable work not done yet, server seconds
	/// Recent steady and cuttable load, by second.
	double seen[LAG_S][2];
	struct fleet fleet;
	double spare; ///< unused capacity in the last second
};

struct day {
	struct domain d[DOMAINS];
	struct rng rng;
	int now_s;
	int vanished_s; ///< time of the last loss
	/* Sums over the measured time, in server seconds. */
	double paid, steady, lost, cuttable, on_cheap, waited;
	double after_steady, after_lost, after_waited, after_cuttable;
	bool counted; ///< past the warm-up
};

struct policy {
	const char *name;
	void (*step)(struct day *day, struct domain *d);
};

static double server_capacity(const struct server *s, int now_s)
{
	double age = now_s - s->live_s;

	if (!s->used || age < 0)
		return 0;
	return fmin(1.0, cold_share + (1 - cold_share) * age / WARM_S);
}

static double capacity(const struct day *day, const struct domain *d,
		       bool cheap)
{
	double sum = 0;

	for (int i = 0; i < SERVERS; i++) {
		if (d->servers[i].cheap == cheap)
			sum += server_capacity(&d->servers[i], day->now_s);
	}
	return sum;
}

static int count(const struct domain *d, bool cheap)
{
	int n = 0;

	for (int i = 0; i < SERVERS; i++)
		n += d->servers[i].used && d->servers[i].cheap == cheap;
	return n;
}

static void start(const struct day *day, struct domain *d, bool cheap)
{
	for (int i = 0; i < SERVERS; i++) {
		if (d->servers[i].used)
			continue;
		d->servers[i] =
			(struct server){true, cheap, day->now_s + BOOT_S};
		return;
	}
}

/* Stops the newest server: it has the least in its cache. */
static void stop(struct domain *d, bool cheap)
{
	struct server *newest = NULL;

	for (int i = 0; i < SERVERS; i++) {
		struct server *s = &d->servers[i];

		if (s->used && s->cheap == cheap &&
		    (!newest || s->live_s > newest->live_s))
			newest = s;
	}
	if (newest)
		newest->used = false;
}

static void change(struct day *day, struct domain *d, int by, bool cheap)
{
	for (; by > 0; by--)
		start(day, d, cheap);
	for (; by < 0; by++)
		stop(d, cheap);
}

/* Load as it was LOAD_LAG_S ago, backlog included. */
static void seen(const struct day *day, const struct domain *d, double *steady,
		 double *cuttable)
{
	int slot = (day->now_s + 1) % LAG_S;

	*steady = d->seen[slot][0];
	*cuttable = d->seen[slot][1];
}

static void step_fixed(struct day *day, struct domain *d)
{
	const double peak = 22.0; /* of generate_load(), bursts included */

	change(day, d, (int)ceil(peak / target) - count(d, false), false);
}

static void step_reactive(struct day *day, struct domain *d)
{
	double steady, cuttable, use;

	seen(day, d, &steady, &cuttable);
	use = (steady + cuttable) / fmax(1, capacity(day, d, false));
	if (use > 0.8 && day->now_s % 30 == 0)
		change(day, d, 1, false);
	else if (use < 0.5 && day->now_s % 300 == 0 && count(d, false) > 1)
		change(day, d, -1, false);
}

static int starting(const struct day *day, const struct domain *d)
{
	int n = 0;

	for (int i = 0; i < SERVERS; i++)
		n += d->servers[i].used && d->servers[i].live_s > day->now_s;
	return n;
}

static double others_spare(const struct day *day, const struct domain *d)
{
	double spare = 0;

	for (int i = 0; i < DOMAINS; i++) {
		if (&day->d[i] != d)
			spare += day->d[i].spare;
	}
	return spare;
}

static void step_ours(struct day *day, struct domain *d)
{
	struct fleet_input in = {
		.regular = count(d, false),
		.cheap = count(d, true),
		.starting = starting(day, d),
		.others_spare = others_spare(day, d),
		.cheap_price = cheap_price,
	};
	struct fleet_plan p;

	seen(day, d, &in.steady, &in.cuttable);
	p = fleet_step(&d->fleet, (int64_t)day->now_s * MS + 1, &in);
	change(day, d, p.regular, false);
	change(day, d, p.cheap, true);
}

/* Runs all cuttable work on cheap servers, regardless of their loss. */
static void step_greedy(struct day *day, struct domain *d)
{
	double steady, cuttable;

	seen(day, d, &steady, &cuttable);
	if (day->now_s % 60 != 0)
		return;
	change(day, d, (int)ceil(steady * 1.15 / target) - count(d, false),
	       false);
	if (day->now_s - day->vanished_s > AFTER_S)
		change(day, d,
		       (int)ceil(cuttable * 1.15 / target) - count(d, true),
		       true);
}

static void offer(struct day *day, int i)
{
	struct domain *d = &day->d[i];
	double t = (double)day->now_s / DAY_S * 2 * M_PI + 0.5 * i;
	double noise = rng_unit(&day->rng) - 0.5;
	bool burst = (day->now_s + 300 * i) % 1200 < 240;
	bool surge = day->now_s % 21600 > 21600 - 900;

	d->steady = (4 + 2.5 * sin(t) + noise) * (surge ? 1.5 : 1.0);
	d->cuttable = 6 + 4 * sin(t + 1) + noise + (burst ? 2 : 0);
	d->seen[day->now_s % LAG_S][0] = d->steady;
	d->seen[day->now_s % LAG_S][1] = d->cuttable + d->backlog / DRAIN_S;
}

/* Serves one second: steady load first, on regular servers; cuttable load on cheap
 * servers and spare regular ones; the remainder on other domains' spare servers. */
static void serve(struct day *day)
{
	double spare = 0, left = 0, lost = 0;

	for (int i = 0; i < DOMAINS; i++) {
		struct domain *d = &day->d[i];
		double regular = capacity(day, d, false);
		double cheap = capacity(day, d, true);
		double s = fmin(d->steady, regular);
		double want = d->cuttable + d->backlog;
		double c = fmin(want, cheap);
		double r = fmin(want - c, regular - s);

		d->backlog = want - c - r;
		d->spare = regular - s - r + cheap - c;
		spare += regular - s - r;
		lost += d->steady - s;
		left += d->backlog;
		if (!day->counted)
			continue;
		day->steady += d->steady;
		day->cuttable += d->cuttable;
		day->on_cheap += c;
		day->paid += count(d, false) + cheap_price * count(d, true);
	}
	if (lost > 0) {
		double moved = fmin(lost, spare);

		lost -= moved;
		spare -= moved;
	}
	for (int i = 0; left > 0 && i < DOMAINS; i++)
		day->d[i].backlog *= 1 - fmin(1, spare / left);
	left -= fmin(left, spare);
	if (!day->counted)
		return;
	day->lost += lost;
	day->waited += left;
}

static void vanish(struct day *day)
{
	struct domain *d = &day->d[rng_below(&day->rng, DOMAINS)];

	for (int i = 0; i < SERVERS; i++) {
		if (d->servers[i].cheap)
			d->servers[i].used = false;
	}
	fleet_cheap_lost(&d->fleet, (int64_t)day->now_s * MS + 1);
	day->vanished_s = day->now_s;
}

/* Counts separately what happens within AFTER_LOSS_S of a loss. */
static void note_after(struct day *day, const struct day *before)
{
	if (!day->counted || day->now_s - day->vanished_s >= AFTER_S)
		return;
	day->after_steady += day->steady - before->steady;
	day->after_lost += day->lost - before->lost;
	day->after_waited += day->waited - before->waited;
	day->after_cuttable += day->cuttable - before->cuttable;
}

static void run(struct day *day, const struct policy *p)
{
	static struct day before;
	const struct fleet_opts opts = {
		.target = target,
		.lead_ms = (BOOT_S + WARM_S) * MS,
		.hold_ms = 900 * MS,
		.penalty_ms = 600 * MS,
		.min = 1,
		.max = SERVERS / 2,
	};

	memset(day, 0, sizeof(*day));
	day->rng.state = SEED;
	day->vanished_s = -DAY_S;
	for (int i = 0; i < DOMAINS; i++)
		fleet_init(&day->d[i].fleet, &opts);
	for (; day->now_s < DAY_S; day->now_s++) {
		before = *day;
		day->counted = day->now_s >= WARMUP_S;
		for (int i = 0; i < DOMAINS; i++) {
			offer(day, i);
			p->step(day, &day->d[i]);
		}
		if (day->counted && day->now_s % VANISH_EVERY_S == NOTICE_S)
			vanish(day);
		serve(day);
		note_after(day, &before);
	}
	printf("%s: %.0f regular server hours paid, %.4f%% of steady work "
	       "lost, cuttable work waited %.2f s, %.1f%% of all work on cheap "
	       "servers; after losses: %.4f%% lost, waited %.2f s\n",
	       p->name, day->paid / 3600, 100 * day->lost / day->steady,
	       day->waited / day->cuttable,
	       100 * day->on_cheap / (day->steady + day->cuttable),
	       100 * day->after_lost / fmax(1, day->after_steady),
	       day->after_waited / fmax(1, day->after_cuttable));
}

static int line(const char *name, double value, const char *unit, double bound,
		bool ok)
{
	printf("bench %s %.4f %s bound %.4f %s\n", name, value, unit, bound,
	       ok ? "pass" : "fail");
	return ok ? 0 : 1;
}

int main(void)
{
	static struct day fixed, reactive, ours, greedy;
	double lost, cost, cheap, after, wait;
	int bad = 0;

	run(&fixed, &(struct policy){"fixed size", step_fixed});
	run(&reactive, &(struct policy){"reactive threshold", step_reactive});
	run(&greedy, &(struct policy){"cheap without regard", step_greedy});
	run(&ours, &(struct policy){"ours", step_ours});
	cost = ours.paid / fixed.paid;
	wait = ours.waited / ours.cuttable;
	lost = ours.lost / ours.steady;
	cheap = ours.on_cheap / (ours.steady + ours.cuttable);
	after = ours.after_lost / fmax(1, ours.after_steady);
	bad |= line("fleet_cost_of_fixed", cost, "ratio", 0.6, cost <= 0.6);
	bad |= line("fleet_steady_lost", lost, "share", 0.001, lost <= 0.001);
	bad |= line("fleet_cost_of_reactive", ours.paid / reactive.paid,
		    "ratio", 0.8, ours.paid <= 0.8 * reactive.paid);
	bad |= line("fleet_wait", wait, "s", 1.0, wait <= 1.0);
	bad |= line("fleet_on_cheap", cheap, "share", 0.25, cheap >= 0.25);
	bad |= line("fleet_steady_lost_after_loss", after, "share", 0.001,
		    after <= 0.001);
	bad |= line("fleet_wait_after_loss_of_greedy",
		    ours.after_waited / greedy.after_waited, "ratio", 0.25,
		    ours.after_waited <= 0.25 * greedy.after_waited);
	return bad;
}
