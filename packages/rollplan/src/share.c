// Assigns the servers of a service to models in proportion to their work.
#include "share.h"

#include <stdlib.h>
#include <string.h>

enum {
	SHARE_DOMAINS_MAX = 64, ///< failure domains counted separately
	/// Demand arrives every 200 ms; seven missed updates mean a lost sender.
	DEMAND_TTL_MS = 1500,
};

/* Largest fraction added to the work of a model with an overdue step, reached when
 * the step is overdue by opts.due_ms. */
static const double LATE_BONUS_MAX = 0.5;

/* Fraction of a server added to the share of a model that already owns one more
 * server, so that a fractional share does not move a server back and forth. */
static const double OWNED_BONUS = 0.5;

bool share_demand_known(const struct rollplan_model *m, int64_t now)
{
	return m->demand_known && now - m->demand.as_of_ms <= DEMAND_TTL_MS;
}

/* Factor on the work of a model with an overdue step: 1 to 1 + LATE_BONUS_MAX. */
static double late_factor(const struct rollplan *p,
			  const struct rollplan_model *m)
{
	double late_ratio;

	if (p->opts.due_ms <= 0 || m->demand.overdue_ms <= 0 ||
	    !share_demand_known(m, p->now_ms))
		return 1;
	late_ratio = (double)m->demand.overdue_ms / (double)p->opts.due_ms;
	return 1 + LATE_BONUS_MAX * (late_ratio < 1 ? late_ratio : 1);
}

/* Mean work of the models whose work is known, 1 if there are none. */
static double mean_work(const struct rollplan *p)
{
	double sum = 0;
	int n = 0;

	for (int i = 0; i < p->n_models; i++) {
		sum += p->models[i].work;
		n += p->models[i].work > 0;
	}
	return n ? sum / n : 1;
}

static double weighted_work(const struct rollplan *p, int model, double mean)
{
	const struct rollplan_model *m = &p->models[model];

	return (m->work > 0 ? m->work : mean) * late_factor(p, m);
}

/* Number of servers for each model by its work, at least one if there are enough.
 *
 * @param owned  servers that each model owns now */
static void compute_shares(const struct rollplan *p, int n, const int *owned,
			   int share[ROLLPLAN_MODELS_MAX])
{
	double mean = mean_work(p);
	double remainder[ROLLPLAN_MODELS_MAX] = {0};
	double total = 0;
	int unassigned = n;
	int extra = n - p->n_models;

	for (int m = 0; m < p->n_models; m++)
		total += weighted_work(p, m, mean);
	for (int m = 0; m < p->n_models; m++) {
		double due = extra > 0 ? 1 + extra * weighted_work(p, m, mean) /
							 total
				       : (double)n / p->n_models;

		share[m] = (int)due;
		remainder[m] = due - share[m];
		if (owned[m] > share[m])
			remainder[m] += OWNED_BONUS;
		unassigned -= share[m];
	}
	for (; unassigned > 0 && p->n_models; unassigned--) {
		int best = 0;

		for (int m = 1; m < p->n_models; m++) {
			if (remainder[m] > remainder[best])
				best = m;
		}
		share[best]++;
		remainder[best] -= 1;
	}
}

static int row_compare(const void *a, const void *b)
{
	const struct share_row *x = a;
	const struct share_row *y = b;

	return strcmp(x->s->entry.id, y->s->entry.id);
}

/* Usable servers of a service, sorted by id so that all plans agree. */
static int collect_rows(const struct site_servers *t, const char *service,
			struct share_row *rows)
{
	struct site_server *s;
	size_t iter = 0;
	int n = 0;

	while ((s = site_servers_next(t, &iter)) && n < SHARE_SERVERS_MAX) {
		if (strcmp(s->entry.service, service) != 0 ||
		    !site_server_usable(t, s) || s->missing_since_ms)
			continue;
		rows[n++] = (struct share_row){s, -1};
	}
	qsort(rows, (size_t)n, sizeof(*rows), row_compare);
	return n;
}

/* Model of which a server has the highest version, -1 if none is above 1. */
static int initial_owner(const struct rollplan *p, const struct site_server *s)
{
	uint64_t best = 1;
	int owner = -1;

	for (int m = 0; m < p->n_models; m++) {
		uint64_t v = site_server_version(s, p->models[m].name);

		if (v > best) {
			best = v;
			owner = m;
		}
	}
	return owner;
}

/* Index of rows by failure domain: avoids comparing each of thousands of servers
 * with all others. */
struct domains {
	const char *names[SHARE_DOMAINS_MAX];
	int n;
	int row_domain[SHARE_SERVERS_MAX]; ///< domain of each row
	/// Per domain: no row before this one is free.
	int first_free[SHARE_DOMAINS_MAX];
	int owned[ROLLPLAN_MODELS_MAX][SHARE_DOMAINS_MAX];
	int total[ROLLPLAN_MODELS_MAX]; ///< rows owned by each model
};

/* Domains beyond the table count as the last one. */
static int domain_of(struct domains *d, const char *name)
{
	for (int i = 0; i < d->n; i++) {
		if (strcmp(d->names[i], name) == 0)
			return i;
	}
	if (d->n == SHARE_DOMAINS_MAX)
		return SHARE_DOMAINS_MAX - 1;
	d->names[d->n] = name;
	return d->n++;
}

static void domains_count(struct domains *d, const struct share_row *rows,
			  int n)
{
	for (int i = 0; i < n; i++) {
		d->row_domain[i] = domain_of(d, rows[i].s->entry.domain);
		if (rows[i].owner < 0)
			continue;
		d->owned[rows[i].owner][d->row_domain[i]]++;
		d->total[rows[i].owner]++;
	}
}

/* First free (unowned) row of a domain, n if there is none. */
static int first_free_row(struct domains *d, const struct share_row *rows,
			  int n, int domain)
{
	int i = d->first_free[domain];

	while (i < n && (rows[i].owner >= 0 || d->row_domain[i] != domain))
		i++;
	d->first_free[domain] = i;
	return i;
}

/* First free row of the domain in which the model owns the fewest, -1 if none. */
static int pick_free(struct domains *d, const struct share_row *rows, int n,
		     int model)
{
	int best = -1;
	int best_owned = 0;

	for (int k = 0; k < d->n; k++) {
		int owned = d->owned[model][k];
		int row = first_free_row(d, rows, n, k);

		if (row == n ||
		    (best >= 0 && (owned > best_owned ||
				   (owned == best_owned && row > best))))
			continue;
		best = row;
		best_owned = owned;
	}
	return best;
}

/* Release the servers that a model owns beyond its share. */
static void release_excess(struct domains *d, struct share_row *rows, int n,
			   int model, int share)
{
	for (int i = n - 1; i >= 0 && d->total[model] > share; i--) {
		if (rows[i].owner != model)
			continue;
		rows[i].owner = -1;
		d->owned[model][d->row_domain[i]]--;
		d->total[model]--;
	}
}

int share_assign(const struct rollplan *p, const struct site_servers *t,
		 const char *service, struct share_row *rows)
{
	int n = collect_rows(t, service, rows);
	int models = p->n_models;
	int share[ROLLPLAN_MODELS_MAX] = {0};
	struct domains d = {.n = 0};

	for (int i = 0; i < n; i++)
		rows[i].owner = initial_owner(p, rows[i].s);
	domains_count(&d, rows, n);
	compute_shares(p, n, d.total, share);
	for (int m = 0; m < models; m++)
		release_excess(&d, rows, n, m, share[m]);
	for (bool more = true; more && models;) {
		more = false;
		for (int m = 0; m < models; m++) {
			int row = d.total[m] < share[m]
					  ? pick_free(&d, rows, n, m)
					  : -1;

			if (row < 0)
				continue;
			rows[row].owner = m;
			d.owned[m][d.row_domain[row]]++;
			d.total[m]++;
			more = true;
		}
	}
	return n;
}

int share_model_index(const struct rollplan *p, const char *model)
{
	for (int m = 0; m < p->n_models; m++) {
		if (strcmp(p->models[m].name, model) == 0)
			return m;
	}
	return -1;
}

int rollplan_model_servers(const struct rollplan *p,
			   const struct site_servers *t, const char *service,
			   const char *model, htab_handle *out, int cap)
{
	struct share_row rows[SHARE_SERVERS_MAX];
	int n = share_assign(p, t, service, rows);
	int want = share_model_index(p, model);
	int k = 0;

	for (int i = 0; i < n && k < cap; i++) {
		if (want >= 0 && rows[i].owner == want)
			out[k++] = rows[i].s->self;
	}
	return k;
}
