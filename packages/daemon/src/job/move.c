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
	/// Least gain of a move to a fast server: several times what reading the
	/// prompt and the text takes there.
	RUN_MOVE_GAIN_MS = 400,
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

/* Time that a run at a slower kind of server saves at a fast one, 0 if it is at none or
 * has just begun there. */
static int64_t gain_at(struct core *c, const struct job *j,
		       const struct job_at_server *at,
		       const struct site_ask *ask, const struct site_server *to)
{
	const struct site_server *from =
		site_servers_get(site_mod_servers(c), at->server);
	int64_t now = core_now(c);
	const struct job_move m = {
		.length = job_item_length(&j->spec->items[at->item]),
		.elapsed_ms = now - at->sent_ms,
		.from_ms = from ? site_server_expected_pace(from, now,
							    &ask->speeds)
				: 0,
		.to_ms = site_server_expected_pace(to, now, &ask->speeds),
	};

	if (!at->fetch || !at->last_ms || now - at->sent_ms < RUN_MOVE_MS)
		return 0;
	return job_move_gain(&jobs_of(c)->pace, &m);
}

/* Load pattern: slots at fast servers become free while long samples run at slow ones.
 * The one that gains most goes on there. */
static void move_to_fast(struct core *c, struct job *j, struct site_ask *ask)
{
	ask->speed = SITE_FAST_FIRST;
	for (int moves = 0; moves < RUN_MOVES; moves++) {
		struct site_server *to = site_servers_choose(
			site_mod_servers(c), core_now(c), ask);
		int64_t best_gain = RUN_MOVE_GAIN_MS;
		struct job_at_server *best = NULL;

		if (!to)
			return;
		for (size_t i = 0; i < j->spec->n_items; i++) {
			int64_t gain = gain_at(c, j, &j->at[i], ask, to);

			if (gain <= best_gain)
				continue;
			best = &j->at[i];
			best_gain = gain;
		}
		if (!best)
			return;
		move(c, j, best, to);
	}
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
		to = moves < most && !ask.speeds.uneven
			     ? better_place(c, at, &ask)
			     : NULL;
		if (!to)
			continue;
		move(c, j, at, to);
		moves++;
	}
	if (most && ask.speeds.uneven)
		move_to_fast(c, j, &ask);
}
