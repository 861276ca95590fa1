// Shares of the servers, and the orders that bring each share up to date.
#include "rollplan/rollplan.h"

#include <stdlib.h>
#include <string.h>

enum {
	SHARE_MAX = 1024, ///< servers of a service that a plan looks at
	FAILED_AGAIN_MS = 300, ///< after a refusal, before the next order
};

/* Part of a server that a model which has one more counts as above its due, so that
 * a share between two numbers does not move a server to and fro. */
static const double KEEP = 0.5;

void rollplan_init(struct rollplan *p, const struct rollplan_opts *opts)
{
	memset(p, 0, sizeof(*p));
	p->opts = *opts;
}

void rollplan_target(struct rollplan *p, const char *model, uint64_t version)
{
	struct rollplan_model *m;

	for (int i = 0; i < p->n_models; i++) {
		if (strcmp(p->models[i].name, model) == 0) {
			p->models[i].version = version;
			return;
		}
	}
	if (p->n_models == ROLLPLAN_MODELS)
		return;
	m = &p->models[p->n_models++];
	strncpy(m->name, model, SITE_NAME - 1);
	m->version = version;
}

void rollplan_work(struct rollplan *p, const char *model, double work)
{
	for (int i = 0; i < p->n_models; i++) {
		if (strcmp(p->models[i].name, model) == 0)
			p->models[i].work = work;
	}
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
	return p->models[model].work > 0 ? p->models[model].work : mean;
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

/* A server and what the plan thinks of it. */
struct row {
	const struct site_server *s;
	int owner; ///< model that counts on it, -1 for none
};

static int row_compare(const void *a, const void *b)
{
	const struct row *x = a;
	const struct row *y = b;

	return strcmp(x->s->entry.id, y->s->entry.id);
}

/* Usable servers of a service, by id, so that every plan sees one order. */
static int rows_of(const struct site_servers *t, const char *service,
		   struct row *rows)
{
	struct site_server *s;
	size_t iter = 0;
	int n = 0;

	while ((s = site_servers_next(t, &iter)) && n < SHARE_MAX) {
		if (strcmp(s->entry.service, service) != 0 ||
		    !site_server_usable(t, s) || s->lapsed_ms)
			continue;
		rows[n++] = (struct row){s, -1};
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

static int count_owned(const struct row *rows, int n, int model)
{
	int k = 0;

	for (int i = 0; i < n; i++)
		k += rows[i].owner == model;
	return k;
}

/* Servers of the domain that a model already has: fewer is better. */
static int owned_in_domain(const struct row *rows, int n, int model,
			   const char *domain)
{
	int k = 0;

	for (int i = 0; i < n; i++)
		k += rows[i].owner == model &&
		     strcmp(rows[i].s->entry.domain, domain) == 0;
	return k;
}

static int pick_free(const struct row *rows, int n, int model)
{
	int best = -1;
	int best_in = 0;

	for (int i = 0; i < n; i++) {
		int in;

		if (rows[i].owner >= 0)
			continue;
		in = owned_in_domain(rows, n, model, rows[i].s->entry.domain);
		if (best < 0 || in < best_in) {
			best = i;
			best_in = in;
		}
	}
	return best;
}

/* Take back from a model what it has beyond its share. */
static void release_excess(struct row *rows, int n, int model, int share)
{
	int k = count_owned(rows, n, model);

	for (int i = n - 1; i >= 0 && k > share; i--) {
		if (rows[i].owner != model)
			continue;
		rows[i].owner = -1;
		k--;
	}
}

static int assign(const struct rollplan *p, const struct site_servers *t,
		  const char *service, struct row *rows)
{
	int n = rows_of(t, service, rows);
	int models = p->n_models;
	int owned[ROLLPLAN_MODELS] = {0};
	int share[ROLLPLAN_MODELS] = {0};

	for (int i = 0; i < n; i++) {
		rows[i].owner = owner_of(p, rows[i].s);
		if (rows[i].owner >= 0)
			owned[rows[i].owner]++;
	}
	shares_of(p, n, owned, share);
	for (int m = 0; m < models; m++)
		release_excess(rows, n, m, share[m]);
	for (bool more = true; more && models;) {
		more = false;
		for (int m = 0; m < models; m++) {
			int at = count_owned(rows, n, m) < share[m]
					 ? pick_free(rows, n, m)
					 : -1;

			if (at < 0)
				continue;
			rows[at].owner = m;
			more = true;
		}
	}
	return n;
}

static int model_index(const struct rollplan *p, const char *model)
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
	struct row rows[SHARE_MAX];
	int n = assign(p, t, service, rows);
	int want = model_index(p, model);
	int k = 0;

	for (int i = 0; i < n && k < cap; i++) {
		if (want >= 0 && rows[i].owner == want)
			out[k++] = rows[i].s->self;
	}
	return k;
}

static void drop_pending(struct rollplan *p, int i)
{
	p->pending[i] = p->pending[--p->n_pending];
}

/* Forget orders that show in the servers' entries, are late, or void. */
static void settle(struct rollplan *p, const struct site_servers *t,
		   int64_t now)
{
	for (int i = p->n_pending - 1; i >= 0; i--) {
		const struct rollplan_pending *o = &p->pending[i];
		const struct site_server *s = site_servers_get(t, o->server);

		if (!s || now - o->at_ms >= p->opts.late_ms ||
		    site_server_version(s, o->model) >= o->version)
			drop_pending(p, i);
	}
}

static bool is_pending(const struct rollplan *p, htab_handle server)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].server == server)
			return true;
	}
	return false;
}

void rollplan_failed(struct rollplan *p, htab_handle server, int64_t now)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].server == server)
			p->pending[i].at_ms =
				now - p->opts.late_ms + FAILED_AGAIN_MS;
	}
}

/* How many versions a server is behind for the model that counts on it. */
static uint64_t behind(const struct rollplan *p, const struct row *r)
{
	uint64_t want, have;

	if (r->owner < 0 || is_pending(p, r->s->self))
		return 0;
	want = p->models[r->owner].version;
	have = site_server_version(r->s, p->models[r->owner].name);
	return have && want > have ? want - have : 0;
}

/* Loads that are surely still in progress. */
static int loading(const struct rollplan *p, int64_t now)
{
	int n = 0;

	for (int i = 0; i < p->n_pending; i++)
		n += now - p->pending[i].at_ms < p->opts.load_ms;
	return n;
}

/* Servers of a model that a step may use: a version behind at most. */
static int count_fresh(const struct rollplan *p, const struct row *rows, int n,
		       int model)
{
	const struct rollplan_model *m = &p->models[model];
	int k = 0;

	for (int i = 0; i < n; i++)
		k += rows[i].owner == model &&
		     site_server_version(rows[i].s, m->name) + 1 >= m->version;
	return k;
}

/* Whether a row is more urgent than another one. */
static bool more_urgent(const struct rollplan *p, const struct row *rows, int n,
			const struct row *a, const struct row *b)
{
	uint64_t x = behind(p, a);
	uint64_t y = behind(p, b);
	bool stale = x > 1;

	if (stale != (y > 1))
		return stale;
	if (stale && a->owner != b->owner)
		return count_fresh(p, rows, n, a->owner) <
		       count_fresh(p, rows, n, b->owner);
	return x > y;
}

bool rollplan_next(struct rollplan *p, const struct site_servers *t,
		   const char *service, int64_t now, struct rollplan_order *out)
{
	struct row rows[SHARE_MAX];
	int best = -1;
	int n;

	settle(p, t, now);
	if (loading(p, now) >= p->opts.at_once ||
	    p->n_pending == ROLLPLAN_PENDING)
		return false;
	n = assign(p, t, service, rows);
	for (int i = 0; i < n; i++) {
		if (!behind(p, &rows[i]))
			continue;
		if (best < 0 || more_urgent(p, rows, n, &rows[i], &rows[best]))
			best = i;
	}
	if (best < 0)
		return false;
	*out = (struct rollplan_order){
		.server = rows[best].s->self,
		.model = p->models[rows[best].owner].name,
		.version = p->models[rows[best].owner].version,
	};
	p->pending[p->n_pending] = (struct rollplan_pending){
		.server = out->server,
		.version = out->version,
		.at_ms = now,
	};
	strncpy(p->pending[p->n_pending].model, out->model, SITE_NAME - 1);
	p->n_pending++;
	return true;
}
