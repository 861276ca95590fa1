// Watches the runs of a batch: ends silent ones, moves them off slow servers.
#include "base/log.h"
#include "daemon/site_mod.h"
#include "job/run.h"

/* A run is moved from a server that is slower than the first figure to one that
 * is not slower than the second. */
static const double MOVE_FROM = 1.7;
static const double MOVE_TO = 1.3;

enum {
	/// Longest silence between two events; they come some 40 ms apart, and
	/// 160 ms at a slow engine.
	RUN_SILENCE_MS = 700,
	/// Longest wait for the first event, whatever other bytes come: twice the
	/// silence after which an engine is left that says nothing at all.
	RUN_FIRST_EVENT_MS = 3000,
	RUN_WATCH_MS = 100, ///< between two looks for slow and silent runs
	RUN_MOVE_MS = 300, ///< least time at a server before a run is moved
	RUN_MOVES = 4, ///< of a batch at one look
};

/* Whether a run is better off elsewhere, and where. */
static struct site_server *better_place(struct core *c,
					const struct job_at_server *at,
					const struct site_ask *ask)
{
	struct site_servers *t = site_mod_servers(c);
	const struct site_server *from = site_servers_get(t, at->server);
	int64_t now = core_now(c);
	struct site_server *to;

	if (!from || !at->last_ms || now - at->sent_ms < RUN_MOVE_MS ||
	    site_server_slowness(from, now, ask->pace_ms) < MOVE_FROM)
		return NULL;
	to = site_servers_choose(t, now, ask);
	if (!to || site_server_slowness(to, now, ask->pace_ms) > MOVE_TO)
		return NULL;
	return to;
}

/* Go on elsewhere from the last event that came. */
static void move(struct core *c, struct job *j, struct job_at_server *at,
		 struct site_server *to)
{
	int item = at->item;

	if (job_run_moved(j->run, item) != ERR_OK)
		return;
	log_event(EV_JOB_MOVED, "batch=%s item=%s to=%s events=%llu ms=%lld",
		  j->id, j->spec->items[item].id, to->entry.id,
		  (unsigned long long)job_run_text(j->run, item)->last_event,
		  (long long)(core_now(c) - at->sent_ms));
	core_fetch_cancel(c, at->fetch);
	job_leave_server(c, at, true);
	job_send_item(c, j, item, to);
}

/* Only events are progress: comments, and the body of a refusal, may come without
 * end. */
static bool is_silent(struct core *c, const struct job_at_server *at)
{
	if (!at->last_ms)
		return core_now(c) - at->sent_ms >= RUN_FIRST_EVENT_MS;
	return core_now(c) - at->last_ms >= RUN_SILENCE_MS;
}

void job_watch_runs(struct core *c, struct job *j)
{
	struct site_ask ask;
	int moves = 0;
	int most;

	if (!j->running || core_now(c) < j->runs_next_ms)
		return;
	j->runs_next_ms = core_now(c) + RUN_WATCH_MS;
	if (j->owner.ended || !job_ask_of(c, j, &ask))
		return;
	/* A text of one version can't go on under another: it would begin anew. */
	most = job_route(c, j)->one_version || !site_mod_current(c) ? 0
								    : RUN_MOVES;
	for (size_t i = 0; i < j->spec->n_items; i++) {
		struct job_at_server *at = &j->at[i];
		struct site_server *to;

		if (!at->fetch)
			continue;
		if (is_silent(c, at)) {
			job_cut(c, j, at);
			continue;
		}
		to = moves < most ? better_place(c, at, &ask) : NULL;
		if (!to)
			continue;
		move(c, j, at, to);
		moves++;
	}
}
