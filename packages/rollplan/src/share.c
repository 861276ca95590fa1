// Division of a service's servers among models.
#include "share.h"

#include <stdlib.h>
#include <string.h>

enum {
	SHARE_DOMAINS = 64, ///< failure domains that are told apart
	/// Needs come each 200 ms; seven lost in a row are a lost sender.
	NEED_KEEP_MS = 1500,
};

/* Most by which the work of a model counts more when it is late, reached at one due
 * time late. */
static const double LATE_MORE = 0.5;

/* Part of a server that a model which has one more counts as above its due, so that
 * a share between two numbers does not move a server to and fro. */
static const double KEEP = 0.5;

bool share_need_known(const struct rollplan_model *m, int64_t now)
{
	return m->needed && now - m->need.at_ms <= NEED_KEEP_MS;
}

/* How much more the work of a model counts, from 1. */
static double lateness(const struct rollplan *p, const struct rollplan_model *m)
{
	double late;

	if (p->opts.due_ms <= 0 || m->need.late_ms <= 0 ||
	    !share_need_known(m, p->now_ms))
		return 1;
	late = (double)m->need.late_ms / (double)p->opts.due_ms;
	return 1 + LATE_MORE * (late < 1 ? late : 1);
}

/* Mean work of the models that it is known of, 1 if of none. */
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

static double work_of(const struct rollplan *p, int model, double mean)
{
	const struct rollplan_model *m = &p->models[model];

	return (m->work > 0 ? m->work : mean) * lateness(p, m);
}

/* Servers for each model by its work, one at least if there are enough.
 *
 * @param owned  servers that each has now */
static void shares_of(const struct rollplan *p, int n, const int *owned,
		      int share[ROLLPLAN_MODELS])
{
	double mean = mean_work(p);
	double rest[ROLLPLAN_MODELS] = {0};
	double total = 0;
	int spare = n;
	int left = n - p->n_models;

	for (int m = 0; m < p->n_models; m++)
		total += work_of(p, m, mean);
	for (int m = 0; m < p->n_models; m++) {
		double due = left > 0 ? 1 + left * work_of(p, m, mean) / total
				      : (double)n / p->n_models;

		share[m] = (int)due;
		rest[m] = due - share[m];
		if (owned[m] > share[m])
			rest[m] += KEEP;
		spare -= share[m];
	}
	for (; spare > 0 && p->n_models; spare--) {
		int best = 0;

		for (int m = 1; m < p->n_models; m++) {
			if (rest[m] > rest[best])
				best = m;
		}
		share[best]++;
		rest[best] -= 1;
	}
}

static int row_compare(const void *a, const void *b)
{
	const struct share_row *x = a;
	const struct share_row *y = b;

	return strcmp(x->s->entry.id, y->s->entry.id);
}

/* Usable servers of a service, by id, so that every plan sees one order. */
static int rows_of(const struct site_servers *t, const char *service,
		   struct share_row *rows)
{
	struct site_server *s;
	size_t iter = 0;
	int n = 0;

	while ((s = site_servers_next(t, &iter)) && n < SHARE_MAX) {
		if (strcmp(s->entry.service, service) != 0 ||
		    !site_server_usable(t, s) || s->lapsed_ms)
			continue;
		rows[n++] = (struct share_row){s, -1};
	}
	qsort(rows, (size_t)n, sizeof(*rows), row_compare);
	return n;
}

/* Index of the model whose named version a server is nearest to; servers that
 * have the first version of everything belong to nobody. */
static int owner_of(const struct rollplan *p, const struct site_server *s)
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

/* Servers of a service by failure domain, so that a choice among thousands does not
 * compare each with all others. */
struct domains {
	const char *names[SHARE_DOMAINS];
	int n;
	int of[SHARE_MAX]; ///< domain of each row
	int free[SHARE_DOMAINS]; ///< first row without an owner, or a row before it
	int owned[ROLLPLAN_MODELS][SHARE_DOMAINS];
	int total[ROLLPLAN_MODELS]; ///< rows that each model owns
};

/* Domains beyond the table count as the last one. */
static int domain_of(struct domains *d, const char *name)
{
	for (int i = 0; i < d->n; i++) {
		if (strcmp(d->names[i], name) == 0)
			return i;
	}
	if (d->n == SHARE_DOMAINS)
		return SHARE_DOMAINS - 1;
	d->names[d->n] = name;
	return d->n++;
}

static void domains_count(struct domains *d, const struct share_row *rows,
			  int n)
{
	for (int i = 0; i < n; i++) {
		d->of[i] = domain_of(d, rows[i].s->entry.domain);
		if (rows[i].owner < 0)
			continue;
		d->owned[rows[i].owner][d->of[i]]++;
		d->total[rows[i].owner]++;
	}
}

/* First free row of a domain, n if there is none. */
static int free_in(struct domains *d, const struct share_row *rows, int n,
		   int domain)
{
	int i = d->free[domain];

	while (i < n && (rows[i].owner >= 0 || d->of[i] != domain))
		i++;
	d->free[domain] = i;
	return i;
}

/* A free row of the domain in which the model has the fewest, -1 for none. */
static int pick_free(struct domains *d, const struct share_row *rows, int n,
		     int model)
{
	int best = -1;
	int best_in = 0;

	for (int k = 0; k < d->n; k++) {
		int in = d->owned[model][k];
		int at = free_in(d, rows, n, k);

		if (at == n || (best >= 0 &&
				(in > best_in || (in == best_in && at > best))))
			continue;
		best = at;
		best_in = in;
	}
	return best;
}

/* Take back from a model what it has beyond its share. */
static void release_excess(struct domains *d, struct share_row *rows, int n,
			   int model, int share)
{
	for (int i = n - 1; i >= 0 && d->total[model] > share; i--) {
		if (rows[i].owner != model)
			continue;
		rows[i].owner = -1;
		d->owned[model][d->of[i]]--;
		d->total[model]--;
	}
}

int share_assign(const struct rollplan *p, const struct site_servers *t,
		 const char *service, struct share_row *rows)
{
	int n = rows_of(t, service, rows);
	int models = p->n_models;
	int share[ROLLPLAN_MODELS] = {0};
	struct domains d = {.n = 0};

	for (int i = 0; i < n; i++)
		rows[i].owner = owner_of(p, rows[i].s);
	domains_count(&d, rows, n);
	shares_of(p, n, d.total, share);
	for (int m = 0; m < models; m++)
		release_excess(&d, rows, n, m, share[m]);
	for (bool more = true; more && models;) {
		more = false;
		for (int m = 0; m < models; m++) {
			int at = d.total[m] < share[m]
					 ? pick_free(&d, rows, n, m)
					 : -1;

			if (at < 0)
				continue;
			rows[at].owner = m;
			d.owned[m][d.of[at]]++;
			d.total[m]++;
			more = true;
		}
	}
	return n;
}

int share_model(const struct rollplan *p, const char *model)
{
	for (int m = 0; m < p->n_models; m++) {
		if (strcmp(p->models[m].name, model) == 0)
			return m;
	}
	return -1;
}

int rollplan_share(const struct rollplan *p, const struct site_servers *t,
		   const char *service, const char *model, htab_handle *out,
		   int cap)
{
	struct share_row rows[SHARE_MAX];
	int n = share_assign(p, t, service, rows);
	int want = share_model(p, model);
	int k = 0;

	for (int i = 0; i < n && k < cap; i++) {
		if (want >= 0 && rows[i].owner == want)
			out[k++] = rows[i].s->self;
	}
	return k;
}
