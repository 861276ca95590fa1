// Shares of the servers, and the orders that bring each share up to date.
#include "rollplan/rollplan.h"

#include <stdlib.h>
#include <string.h>

enum {
	SHARE_MAX = 1024, ///< servers of a service that a plan looks at
	ROLLPLAN_DOMAINS = 64, ///< failure domains that are told apart
	FAILED_AGAIN_MS = 300, ///< after a refusal, before the next order
	/// Needs come each 200 ms; seven lost in a row are a lost sender.
	NEED_KEEP_MS = 1500,
	/// Wait after a naming before usable servers are loaded for the next one:
	/// the newest step's first samples, its longest, are at servers by then.
	RESERVE_AFTER_MS = 150,
};

/* Most by which the work of a model counts more when it is late, reached at one due
 * time late. */
static const double LATE_MORE = 0.5;

/* Part of a server that a model which has one more counts as above its due, so that
 * a share between two numbers does not move a server to and fro. */
static const double KEEP = 0.5;

void rollplan_init(struct rollplan *p, const struct rollplan_opts *opts)
{
	memset(p, 0, sizeof(*p));
	p->opts = *opts;
}

static struct rollplan_model *model_of(struct rollplan *p, const char *model)
{
	for (int i = 0; i < p->n_models; i++) {
		if (strcmp(p->models[i].name, model) == 0)
			return &p->models[i];
	}
	return NULL;
}

void rollplan_target(struct rollplan *p, const char *model, uint64_t version)
{
	struct rollplan_model *m = model_of(p, model);

	if (m) {
		m->version = version;
		return;
	}
	if (p->n_models == ROLLPLAN_MODELS)
		return;
	m = &p->models[p->n_models++];
	strncpy(m->name, model, SITE_NAME - 1);
	m->version = version;
}

void rollplan_work(struct rollplan *p, const char *model, double work)
{
	struct rollplan_model *m = model_of(p, model);

	if (m)
		m->work = work;
}

void rollplan_need(struct rollplan *p, const char *model,
		   const struct rollplan_need *need)
{
	struct rollplan_model *m = model_of(p, model);
	int64_t left;

	if (!m || (m->needed && need->at_ms < m->need.at_ms))
		return;
	/* Falls no faster than time passes: the end of one late step does not move
	 * servers that the next one needs. */
	left = m->needed ? m->need.late_ms - (need->at_ms - m->need.at_ms) : 0;
	m->need = *need;
	if (m->need.late_ms < left)
		m->need.late_ms = left;
	m->needed = true;
}

static bool need_known(const struct rollplan_model *m, int64_t now)
{
	return m->needed && now - m->need.at_ms <= NEED_KEEP_MS;
}

/* How much more the work of a model counts, from 1. */
static double lateness(const struct rollplan *p, const struct rollplan_model *m)
{
	double late;

	if (p->opts.due_ms <= 0 || m->need.late_ms <= 0 ||
	    !need_known(m, p->now_ms))
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

/* Servers of a service by failure domain, so that a choice among thousands does not
 * compare each with all others. */
struct domains {
	const char *names[ROLLPLAN_DOMAINS];
	int n;
	int of[SHARE_MAX]; ///< domain of each row
	int free[ROLLPLAN_DOMAINS]; ///< first row without an owner, or a row before it
	int owned[ROLLPLAN_MODELS][ROLLPLAN_DOMAINS];
	int total[ROLLPLAN_MODELS]; ///< rows that each model owns
};

/* Domains beyond the table count as the last one. */
static int domain_of(struct domains *d, const char *name)
{
	for (int i = 0; i < d->n; i++) {
		if (strcmp(d->names[i], name) == 0)
			return i;
	}
	if (d->n == ROLLPLAN_DOMAINS)
		return ROLLPLAN_DOMAINS - 1;
	d->names[d->n] = name;
	return d->n++;
}

static void domains_count(struct domains *d, const struct row *rows, int n)
{
	d->n = 0;
	memset(d->free, 0, sizeof(d->free));
	memset(d->owned, 0, sizeof(d->owned));
	memset(d->total, 0, sizeof(d->total));
	for (int i = 0; i < n; i++) {
		d->of[i] = domain_of(d, rows[i].s->entry.domain);
		if (rows[i].owner < 0)
			continue;
		d->owned[rows[i].owner][d->of[i]]++;
		d->total[rows[i].owner]++;
	}
}

/* First free row of a domain, n if there is none. */
static int free_in(struct domains *d, const struct row *rows, int n, int domain)
{
	int i = d->free[domain];

	while (i < n && (rows[i].owner >= 0 || d->of[i] != domain))
		i++;
	d->free[domain] = i;
	return i;
}

/* A free row of the domain in which the model has the fewest, -1 for none. */
static int pick_free(struct domains *d, const struct row *rows, int n,
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
static void release_excess(struct domains *d, struct row *rows, int n,
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

static int assign(const struct rollplan *p, const struct site_servers *t,
		  const char *service, struct row *rows)
{
	int n = rows_of(t, service, rows);
	int models = p->n_models;
	int share[ROLLPLAN_MODELS] = {0};
	struct domains d;

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

static const struct rollplan_pending *pending_at(const struct rollplan *p,
						 htab_handle server)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].server == server)
			return &p->pending[i];
	}
	return NULL;
}

void rollplan_failed(struct rollplan *p, htab_handle server, int64_t now)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].server == server)
			p->pending[i].at_ms =
				now - p->opts.late_ms + FAILED_AGAIN_MS;
		p->pending[i].failed |= p->pending[i].server == server;
	}
}

/* Whether an order's load is surely still in progress. */
static bool in_progress(const struct rollplan *p,
			const struct rollplan_pending *o, int64_t now)
{
	return !o->failed && now - o->at_ms < p->opts.load_ms;
}

static int loading(const struct rollplan *p, int64_t now)
{
	int n = 0;

	for (int i = 0; i < p->n_pending; i++)
		n += in_progress(p, &p->pending[i], now);
	return n;
}

/* How many versions a server is behind for the model that counts on it. */
static uint64_t behind(const struct rollplan *p, const struct row *r)
{
	uint64_t want, have;

	if (r->owner < 0 || pending_at(p, r->s->self))
		return 0;
	want = p->models[r->owner].version;
	have = site_server_version(r->s, p->models[r->owner].name);
	return have && want > have ? want - have : 0;
}

static void count_row(const struct rollplan *p, const struct row *r,
		      int64_t now, struct rollplan_count *n)
{
	const struct rollplan_model *m = &p->models[r->owner];
	const struct rollplan_pending *o = pending_at(p, r->s->self);
	uint64_t have = site_server_version(r->s, m->name);
	bool loads = o && in_progress(p, o, now);
	uint64_t ordered = o && !o->failed && strcmp(o->model, m->name) == 0
				   ? o->version
				   : 0;
	bool usable;

	n->owned++;
	n->current += have >= m->version || ordered >= m->version;
	/* A load that is over shows in the entry up to a heartbeat later. */
	if (!loads && ordered > have)
		have = ordered;
	usable = have && have + 1 >= m->version;
	n->usable += usable;
	n->loading += usable && loads;
}

static void count_rows(const struct rollplan *p, const struct row *rows, int n,
		       int64_t now, struct rollplan_count *counts)
{
	memset(counts, 0, ROLLPLAN_MODELS * sizeof(*counts));
	for (int i = 0; i < n; i++) {
		if (rows[i].owner >= 0)
			count_row(p, &rows[i], now, &counts[rows[i].owner]);
	}
}

struct rollplan_count rollplan_count(const struct rollplan *p,
				     const struct site_servers *t,
				     const char *service, const char *model,
				     int64_t now)
{
	struct rollplan_count counts[ROLLPLAN_MODELS];
	struct row rows[SHARE_MAX];
	int m = model_index(p, model);

	if (m < 0)
		return (struct rollplan_count){0};
	count_rows(p, rows, assign(p, t, service, rows), now, counts);
	return counts[m];
}

const char *rollplan_why_name(enum rollplan_why why)
{
	static const char *const names[] = {
		[ROLLPLAN_NONE] = "none",	[ROLLPLAN_IDLE] = "idle",
		[ROLLPLAN_RESERVE] = "reserve", [ROLLPLAN_BEHIND] = "behind",
		[ROLLPLAN_STALE] = "stale",
	};

	return names[why];
}

/* Note when versions were named. */
static void note_namings(struct rollplan *p, int64_t now)
{
	for (int i = 0; i < p->n_models; i++) {
		struct rollplan_model *m = &p->models[i];

		if (m->seen == m->version)
			continue;
		m->gap_ms = m->seen ? now - m->named_ms : 0;
		m->named_ms = now;
		m->seen = m->version;
	}
}

/* Load pattern: all servers of a model have the same version, and the model's two open
 * steps end together, so that it names two versions within a second. Servers that are
 * not loaded after the first naming are of no use to the step of the second one, whose
 * longest samples then wait for loads. So half of the servers load at once; what waits
 * for them are the short samples of the first step. */
static bool reserve_due(const struct rollplan_model *m,
			const struct rollplan_count *n, int64_t now)
{
	return now - m->named_ms >= RESERVE_AFTER_MS &&
	       2 * n->current < n->owned && 2 * n->loading < n->usable;
}

/* Whether a server is to be loaded now. */
static enum rollplan_why why_load(const struct rollplan *p, const struct row *r,
				  const struct rollplan_count *counts,
				  int64_t now)
{
	uint64_t versions = behind(p, r);
	const struct rollplan_model *m;
	const struct rollplan_count *n;

	if (!versions)
		return ROLLPLAN_NONE;
	if (versions > 1)
		return ROLLPLAN_STALE;
	m = &p->models[r->owner];
	n = &counts[r->owner];
	if (!need_known(m, now))
		return ROLLPLAN_BEHIND;
	if (reserve_due(m, n, now))
		return ROLLPLAN_RESERVE;
	/* The others are left to the next naming of any model: with half of them
	 * taken by idle loads, a reserve was late for its naming. */
	if (!m->need.waiting && 2 * (n->loading + 1) <= n->usable &&
	    3 * loading(p, now) < p->opts.at_once)
		return ROLLPLAN_IDLE;
	return ROLLPLAN_NONE;
}

/* A server that may be loaded. */
struct candidate {
	const struct row *row;
	enum rollplan_why why;
	uint64_t behind;
};

/* Whether a load is more urgent than another one. */
static bool more_urgent(const struct rollplan_count *counts,
			const struct candidate *a, const struct candidate *b)
{
	if (a->why != b->why)
		return a->why > b->why;
	if (a->why == ROLLPLAN_STALE && a->row->owner != b->row->owner)
		return counts[a->row->owner].usable <
		       counts[b->row->owner].usable;
	return a->behind > b->behind;
}

static bool most_urgent(const struct rollplan *p, const struct row *rows, int n,
			int64_t now, struct candidate *best)
{
	struct rollplan_count counts[ROLLPLAN_MODELS];

	count_rows(p, rows, n, now, counts);
	*best = (struct candidate){0};
	for (int i = 0; i < n; i++) {
		const struct candidate c = {
			.row = &rows[i],
			.why = why_load(p, &rows[i], counts, now),
			.behind = behind(p, &rows[i]),
		};

		if (c.why != ROLLPLAN_NONE &&
		    (!best->row || more_urgent(counts, &c, best)))
			*best = c;
	}
	return best->row != NULL;
}

bool rollplan_next(struct rollplan *p, const struct site_servers *t,
		   const char *service, int64_t now, struct rollplan_order *out)
{
	struct row rows[SHARE_MAX];
	struct candidate best;
	int n;

	p->now_ms = now;
	note_namings(p, now);
	settle(p, t, now);
	if (loading(p, now) >= p->opts.at_once ||
	    p->n_pending == ROLLPLAN_PENDING)
		return false;
	n = assign(p, t, service, rows);
	if (!most_urgent(p, rows, n, now, &best))
		return false;
	*out = (struct rollplan_order){
		.server = best.row->s->self,
		.model = p->models[best.row->owner].name,
		.version = p->models[best.row->owner].version,
		.why = best.why,
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
