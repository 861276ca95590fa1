// Chooses orders that bring each model's servers to its target version.
#include "rollplan/rollplan.h"

#include <string.h>

#include "share.h"

enum {
	FAILED_RETRY_MS = 300, ///< delay from a failed order to its retry
	/// Delay from a new version until usable servers are loaded: by then the
	/// first samples of the newest step, its longest, are at servers.
	RESERVE_DELAY_MS = 150,
};

void rollplan_init(struct rollplan *p, const struct rollplan_opts *opts)
{
	memset(p, 0, sizeof(*p));
	p->opts = *opts;
	load_limit_init(&p->limit, opts->max_loads, opts->load_max_ms);
}

enum err rollplan_set_target(struct rollplan *p, const char *model,
			     uint64_t version)
{
	int idx = share_model_index(p, model);
	struct rollplan_model *m;

	if (idx >= 0) {
		p->models[idx].version = version;
		return ERR_OK;
	}
	if (p->n_models == ROLLPLAN_MODELS_MAX)
		return ERR_FULL;
	m = &p->models[p->n_models++];
	strncpy(m->name, model, SITE_NAME_SIZE - 1);
	m->version = version;
	return ERR_OK;
}

void rollplan_set_work(struct rollplan *p, const char *model, double work)
{
	int idx = share_model_index(p, model);

	if (idx >= 0)
		p->models[idx].work = work;
}

void rollplan_set_demand(struct rollplan *p, const char *model,
			 const struct rollplan_demand *demand)
{
	int idx = share_model_index(p, model);
	struct rollplan_model *m;
	int64_t overdue_floor_ms;

	if (idx < 0)
		return;
	m = &p->models[idx];
	if (m->demand_known && demand->as_of_ms < m->demand.as_of_ms)
		return;
	/* Let it fall no faster than time passes, so that the end of one overdue
	 * step does not take away servers that the next step needs. */
	overdue_floor_ms = m->demand_known
				   ? m->demand.overdue_ms - (demand->as_of_ms -
							     m->demand.as_of_ms)
				   : 0;
	m->demand = *demand;
	if (m->demand.overdue_ms < overdue_floor_ms)
		m->demand.overdue_ms = overdue_floor_ms;
	m->demand_known = true;
}

static void drop_pending(struct rollplan *p, int i)
{
	p->pending[i] = p->pending[--p->n_pending];
}

/* Whether a busy server is free again by now. */
static bool busy_over(const struct rollplan *p,
		      const struct rollplan_pending *o, int64_t now)
{
	return o->busy && now - o->sent_ms >= p->limit.usual_ms;
}

/* Drop orders whose server is gone or shows the version, and those timed out. */
static void drop_settled(struct rollplan *p, const struct site_servers *t,
			 int64_t now)
{
	for (int i = p->n_pending - 1; i >= 0; i--) {
		const struct rollplan_pending *o = &p->pending[i];
		const struct site_server *s = site_servers_get(t, o->server);

		if (!s || busy_over(p, o, now) ||
		    now - o->sent_ms >= p->opts.order_timeout_ms ||
		    site_server_version(s, o->model) >= o->version)
			drop_pending(p, i);
	}
}

static const struct rollplan_pending *find_pending(const struct rollplan *p,
						   htab_handle server)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].server == server)
			return &p->pending[i];
	}
	return NULL;
}

void rollplan_order_failed(struct rollplan *p, htab_handle server, int64_t now)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].server == server)
			p->pending[i].sent_ms = now - p->opts.order_timeout_ms +
						FAILED_RETRY_MS;
		p->pending[i].failed |= p->pending[i].server == server;
	}
}

void rollplan_order_accepted(struct rollplan *p, htab_handle server)
{
	for (int i = 0; i < p->n_pending; i++)
		p->pending[i].accepted |= p->pending[i].server == server;
}

void rollplan_order_busy(struct rollplan *p, htab_handle server, int64_t now)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].server != server)
			continue;
		p->pending[i].sent_ms = now;
		p->pending[i].busy = true;
	}
}

void rollplan_load_ended(struct rollplan *p, htab_handle server,
			 const char *model, uint64_t version, bool ended_now,
			 int64_t now)
{
	for (int i = p->n_pending - 1; i >= 0; i--) {
		const struct rollplan_pending *o = &p->pending[i];
		const struct load_limit_sample s = {
			.sent_ms = o->sent_ms,
			.duration_ms = now - o->sent_ms,
			.concurrent = o->concurrent,
		};

		if (o->server != server || o->version > version ||
		    strcmp(o->model, model) != 0)
			continue;
		if (ended_now && o->accepted && !o->busy && !o->failed)
			load_limit_add(&p->limit, now, &s);
		drop_pending(p, i);
	}
}

/* Whether an order's load is assumed to be in progress. A slow one must not make room
 * for more before it is over. */
static bool load_in_progress(const struct rollplan *p,
			     const struct rollplan_pending *o, int64_t now)
{
	int64_t usual_ms = p->limit.usual_ms;

	return !o->failed &&
	       now - o->sent_ms < (o->end_visible ? 2 * usual_ms : usual_ms);
}

static int count_loading(const struct rollplan *p, int64_t now)
{
	int n = 0;

	for (int i = 0; i < p->n_pending; i++)
		n += load_in_progress(p, &p->pending[i], now);
	return n;
}

/* Versions that a server is behind its model's target, 0 while it has an order. */
static uint64_t versions_behind(const struct rollplan *p,
				const struct share_row *r)
{
	uint64_t want, have;

	if (r->owner < 0 || find_pending(p, r->s->self))
		return 0;
	want = p->models[r->owner].version;
	have = site_server_version(r->s, p->models[r->owner].name);
	return have && want > have ? want - have : 0;
}

static void count_row(const struct rollplan *p, const struct share_row *r,
		      int64_t now, struct rollplan_count *n)
{
	const struct rollplan_model *m = &p->models[r->owner];
	const struct rollplan_pending *o = find_pending(p, r->s->self);
	uint64_t have = site_server_version(r->s, m->name);
	bool is_loading = o && load_in_progress(p, o, now);
	uint64_t ordered = o && !o->failed && strcmp(o->model, m->name) == 0
				   ? o->version
				   : 0;
	bool usable;

	n->owned++;
	n->current += have >= m->version || ordered >= m->version;
	/* The entry shows a finished load up to one heartbeat later. */
	if (!is_loading && ordered > have)
		have = ordered;
	usable = have && have + 1 >= m->version;
	n->usable += usable;
	n->loading += usable && is_loading;
}

static void count_rows(const struct rollplan *p, const struct share_row *rows,
		       int n, int64_t now, struct rollplan_count *counts)
{
	memset(counts, 0, (size_t)p->n_models * sizeof(*counts));
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
	struct rollplan_count counts[ROLLPLAN_MODELS_MAX];
	struct share_row rows[SHARE_SERVERS_MAX];
	int m = share_model_index(p, model);

	if (m < 0)
		return (struct rollplan_count){0};
	count_rows(p, rows, share_assign(p, t, service, rows), now, counts);
	return counts[m];
}

const char *rollplan_reason_name(enum rollplan_reason reason)
{
	static const char *const names[] = {
		[ROLLPLAN_NONE] = "none",	[ROLLPLAN_IDLE] = "idle",
		[ROLLPLAN_RESERVE] = "reserve", [ROLLPLAN_BEHIND] = "behind",
		[ROLLPLAN_STALE] = "stale",
	};

	return names[reason];
}

/* Record when new target versions were first seen. */
static void note_published(struct rollplan *p, int64_t now)
{
	for (int i = 0; i < p->n_models; i++) {
		struct rollplan_model *m = &p->models[i];

		if (m->noted_version == m->version)
			continue;
		m->publish_gap_ms =
			m->noted_version ? now - m->published_ms : 0;
		m->published_ms = now;
		m->noted_version = m->version;
	}
}

/* Load pattern: all servers of a model have the same version, and the model's two open
 * steps end together, so that two versions are published within a second. Servers not
 * loaded after the first one are too old for the step of the second, whose longest
 * samples then wait for loads. So half of the servers load early, and only the short
 * samples of the first step wait for them. */
static bool reserve_due(const struct rollplan_model *m,
			const struct rollplan_count *n, int64_t now)
{
	return now - m->published_ms >= RESERVE_DELAY_MS &&
	       2 * n->current < n->owned && 2 * n->loading < n->usable;
}

static enum rollplan_reason load_reason(const struct rollplan *p,
					const struct share_row *r,
					const struct rollplan_count *counts,
					int64_t now)
{
	uint64_t versions = versions_behind(p, r);
	const struct rollplan_model *m;
	const struct rollplan_count *n;

	if (!versions)
		return ROLLPLAN_NONE;
	if (versions > 1)
		return ROLLPLAN_STALE;
	m = &p->models[r->owner];
	n = &counts[r->owner];
	if (!share_demand_known(m, now))
		return ROLLPLAN_BEHIND;
	if (reserve_due(m, n, now))
		return ROLLPLAN_RESERVE;
	/* Two thirds of the limit are kept for the next version of any model: when
	 * idle loads took half, a reserve was late for its version. */
	if (!m->demand.waiting && 2 * (n->loading + 1) <= n->usable &&
	    3 * count_loading(p, now) < p->limit.limit)
		return ROLLPLAN_IDLE;
	return ROLLPLAN_NONE;
}

/* Loads that overlap share the source of the weights. */
static void note_concurrency(struct rollplan *p, int64_t now)
{
	int n = count_loading(p, now);

	for (int i = 0; i < p->n_pending; i++) {
		struct rollplan_pending *o = &p->pending[i];

		if (load_in_progress(p, o, now) && o->concurrent < n)
			o->concurrent = n;
	}
}

struct candidate {
	const struct share_row *row;
	enum rollplan_reason reason;
	uint64_t versions_behind;
};

static bool more_urgent(const struct rollplan_count *counts,
			const struct candidate *a, const struct candidate *b)
{
	if (a->reason != b->reason)
		return a->reason > b->reason;
	if (a->reason == ROLLPLAN_STALE && a->row->owner != b->row->owner)
		return counts[a->row->owner].usable <
		       counts[b->row->owner].usable;
	return a->versions_behind > b->versions_behind;
}

static bool most_urgent(const struct rollplan *p, const struct share_row *rows,
			int n, int64_t now, struct candidate *best)
{
	struct rollplan_count counts[ROLLPLAN_MODELS_MAX];

	count_rows(p, rows, n, now, counts);
	*best = (struct candidate){0};
	for (int i = 0; i < n; i++) {
		const struct candidate c = {
			.row = &rows[i],
			.reason = load_reason(p, &rows[i], counts, now),
			.versions_behind = versions_behind(p, &rows[i]),
		};

		if (c.reason != ROLLPLAN_NONE &&
		    (!best->row || more_urgent(counts, &c, best)))
			*best = c;
	}
	return best->row != NULL;
}

bool rollplan_next_order(struct rollplan *p, const struct site_servers *t,
			 const char *service, int64_t now,
			 struct rollplan_order *out)
{
	struct share_row rows[SHARE_SERVERS_MAX];
	struct candidate best;
	int n;

	p->now_ms = now;
	note_published(p, now);
	drop_settled(p, t, now);
	if (count_loading(p, now) >= p->limit.limit ||
	    p->n_pending == ROLLPLAN_PENDING_MAX)
		return false;
	n = share_assign(p, t, service, rows);
	if (!most_urgent(p, rows, n, now, &best))
		return false;
	*out = (struct rollplan_order){
		.server = best.row->s->self,
		.model = p->models[best.row->owner].name,
		.version = p->models[best.row->owner].version,
		.reason = best.reason,
	};
	p->pending[p->n_pending] = (struct rollplan_pending){
		.server = out->server,
		.version = out->version,
		.sent_ms = now,
		.end_visible = best.row->s->running + best.row->s->others > 0,
	};
	strncpy(p->pending[p->n_pending].model, out->model, SITE_NAME_SIZE - 1);
	p->n_pending++;
	note_concurrency(p, now);
	return true;
}
