// Orders that bring each model's share of the servers up to date.
#include "rollplan/rollplan.h"

#include <string.h>

#include "share.h"

enum {
	FAILED_AGAIN_MS = 300, ///< after a refusal, before the next order
	/// Wait after a naming before usable servers are loaded for the next one:
	/// the newest step's first samples, its longest, are at servers by then.
	RESERVE_AFTER_MS = 150,
};

void rollplan_init(struct rollplan *p, const struct rollplan_opts *opts)
{
	memset(p, 0, sizeof(*p));
	p->opts = *opts;
}

void rollplan_target(struct rollplan *p, const char *model, uint64_t version)
{
	int at = share_model(p, model);
	struct rollplan_model *m;

	if (at >= 0) {
		p->models[at].version = version;
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
	int at = share_model(p, model);

	if (at >= 0)
		p->models[at].work = work;
}

void rollplan_need(struct rollplan *p, const char *model,
		   const struct rollplan_need *need)
{
	int at = share_model(p, model);
	struct rollplan_model *m;
	int64_t left;

	if (at < 0)
		return;
	m = &p->models[at];
	if (m->needed && need->at_ms < m->need.at_ms)
		return;
	/* Falls no faster than time passes: the end of one late step does not move
	 * servers that the next one needs. */
	left = m->needed ? m->need.late_ms - (need->at_ms - m->need.at_ms) : 0;
	m->need = *need;
	if (m->need.late_ms < left)
		m->need.late_ms = left;
	m->needed = true;
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
static uint64_t behind(const struct rollplan *p, const struct share_row *r)
{
	uint64_t want, have;

	if (r->owner < 0 || pending_at(p, r->s->self))
		return 0;
	want = p->models[r->owner].version;
	have = site_server_version(r->s, p->models[r->owner].name);
	return have && want > have ? want - have : 0;
}

static void count_row(const struct rollplan *p, const struct share_row *r,
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

static void count_rows(const struct rollplan *p, const struct share_row *rows,
		       int n, int64_t now, struct rollplan_count *counts)
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
	struct share_row rows[SHARE_MAX];
	int m = share_model(p, model);

	if (m < 0)
		return (struct rollplan_count){0};
	count_rows(p, rows, share_assign(p, t, service, rows), now, counts);
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
static enum rollplan_why why_load(const struct rollplan *p,
				  const struct share_row *r,
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
	if (!share_need_known(m, now))
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
	const struct share_row *row;
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

static bool most_urgent(const struct rollplan *p, const struct share_row *rows,
			int n, int64_t now, struct candidate *best)
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
	struct share_row rows[SHARE_MAX];
	struct candidate best;
	int n;

	p->now_ms = now;
	note_namings(p, now);
	settle(p, t, now);
	if (loading(p, now) >= p->opts.at_once ||
	    p->n_pending == ROLLPLAN_PENDING)
		return false;
	n = share_assign(p, t, service, rows);
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
