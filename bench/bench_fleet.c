// A day of three failure domains in virtual time: what is paid and what is
// served by our plan, a fixed size, a reactive threshold, and cheap servers
// without regard to their loss.
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "fleet/fleet.h"

enum {
	DOMAINS = 3,
	SERVERS = 64, ///< of a failure domain
	DAY_S = 86400,
	WARMUP_S = 3600, ///< not counted: all begin with nothing running
	BOOT_S = 90,
	WARM_S = 110, ///< from live to full capacity
	LAG_S = 10, ///< age of the load that a plan sees
	DRAIN_S = 120, ///< in which a backlog should be worked off
	VANISH_EVERY_S = 3 * 3600,
	NOTICE_S = 5,
	AFTER_S = 600, ///< looked at after a loss
	SEED = 11,
	MS = 1000,
};

static const double cheap_price = 0.3;
static const double cold_share = 0.2; ///< capacity when live
static const double target = 0.75;

struct server {
	bool used;
	bool cheap;
	int live_s; ///< when it serves
};

struct domain {
	struct server servers[SERVERS];
	double steady, preemptible; ///< offered now
	double backlog; ///< cuttable work not done, in server seconds
	double seen[LAG_S][2]; ///< load as plans see it
	struct fleet fleet;
	double spare; ///< at the end of the last second
};

struct day {
	struct domain d[DOMAINS];
	struct rng rng;
	int now_s;
	int vanished_s; ///< last loss
	double paid, steady, lost, preemptible, on_cheap, waited;
	double after_steady, after_lost, after_waited, after_cuttable;
	bool counted;
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

/* The newest goes first: it has the least cached. */
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

/* Load as it was LAG_S ago, backlog included. */
static void seen(const struct day *day, const struct domain *d, double *steady,
		 double *preemptible)
{
	int slot = (day->now_s + 1) % LAG_S;

	*steady = d->seen[slot][0];
	*preemptible = d->seen[slot][1];
}

static void step_fixed(struct day *day, struct domain *d)
{
	const double peak = 22.0; /* of the demand below, bursts included */

	change(day, d, (int)ceil(peak / target) - count(d, false), false);
}

static void step_reactive(struct day *day, struct domain *d)
{
	double steady, preemptible, use;

	seen(day, d, &steady, &preemptible);
	use = (steady + preemptible) / fmax(1, capacity(day, d, false));
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

static double other_domains_spare(const struct day *day, const struct domain *d)
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
		.other_domains_spare = other_domains_spare(day, d),
		.cheap_price = cheap_price,
	};
	struct fleet_plan p;

	seen(day, d, &in.steady, &in.preemptible);
	p = fleet_step(&d->fleet, (int64_t)day->now_s * MS + 1, &in);
	change(day, d, p.regular, false);
	change(day, d, p.cheap, true);
}

/* All work that may be cut on cheap servers, whatever happens to them. */
static void step_greedy(struct day *day, struct domain *d)
{
	double steady, preemptible;

	seen(day, d, &steady, &preemptible);
	if (day->now_s % 60 != 0)
		return;
	change(day, d, (int)ceil(steady * 1.15 / target) - count(d, false),
	       false);
	if (day->now_s - day->vanished_s > AFTER_S)
		change(day, d,
		       (int)ceil(preemptible * 1.15 / target) - count(d, true),
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
	d->preemptible = 6 + 4 * sin(t + 1) + noise + (burst ? 2 : 0);
	d->seen[day->now_s % LAG_S][0] = d->steady;
	d->seen[day->now_s % LAG_S][1] = d->preemptible + d->backlog / DRAIN_S;
}

/* A second's work: steady first, on regular servers; the rest where it fits;
 * what is left over goes to other failure domains' spare. */
static void serve(struct day *day)
{
	double spare = 0, left = 0, lost = 0;

	for (int i = 0; i < DOMAINS; i++) {
		struct domain *d = &day->d[i];
		double regular = capacity(day, d, false);
		double cheap = capacity(day, d, true);
		double s = fmin(d->steady, regular);
		double want = d->preemptible + d->backlog;
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
		day->preemptible += d->preemptible;
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

/* Count apart what happens in the minutes after a loss. */
static void note_after(struct day *day, const struct day *before)
{
	if (!day->counted || day->now_s - day->vanished_s >= AFTER_S)
		return;
	day->after_steady += day->steady - before->steady;
	day->after_lost += day->lost - before->lost;
	day->after_waited += day->waited - before->waited;
	day->after_cuttable += day->preemptible - before->preemptible;
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
	       day->waited / day->preemptible,
	       100 * day->on_cheap / (day->steady + day->preemptible),
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
	wait = ours.waited / ours.preemptible;
	lost = ours.lost / ours.steady;
	cheap = ours.on_cheap / (ours.steady + ours.preemptible);
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
