// Checks the attempts of a batch: aborts silent ones, moves others off slow servers.
#include "base/log.h"
#include "daemon/site_mod.h"
#include "job/attempt.h"

/* Least slowness of a server that an attempt leaves, and greatest of the new one. */
static const double MOVE_FROM_SLOWNESS = 1.7;
static const double MOVE_TO_SLOWNESS = 1.3;

enum {
	/// Longest gap between two events; they arrive some 40 ms apart, 160 ms at a
	/// slow engine.
	EVENT_TIMEOUT_MS = 700,
	/// Longest wait for the first event, even if other bytes arrive: twice the idle
	/// timeout for an engine that sends nothing.
	FIRST_EVENT_TIMEOUT_MS = 3000,
	CHECK_INTERVAL_MS =
		100, ///< between checks for slow and silent attempts
	MOVE_MIN_AGE_MS = 300, ///< minimum time at a server before a move
	MOVES_MAX = 4, ///< of a batch in one check
	/// Minimum time saved by a move to a fast server: several times what prefill of
	/// the prompt and the text takes there.
	MOVE_MIN_GAIN_MS = 400,
};

/* Faster server to move an attempt to, NULL if it should stay. */
static struct site_server *better_server(struct core *c,
					 const struct job_attempt *attempt,
					 const struct site_request *needs)
{
	struct site_servers *t = site_mod_servers(c);
	const struct site_server *from = site_servers_get(t, attempt->server);
	int64_t now = core_now(c);
	struct site_server *to;

	if (!from || !attempt->last_event_ms ||
	    now - attempt->sent_ms < MOVE_MIN_AGE_MS ||
	    site_server_slowness(from, now, needs->pace_ms) <
		    MOVE_FROM_SLOWNESS)
		return NULL;
	to = site_servers_choose(t, now, needs);
	if (!to ||
	    site_server_slowness(to, now, needs->pace_ms) > MOVE_TO_SLOWNESS)
		return NULL;
	return to;
}

/* Continues an attempt at another server after the last event received. */
static void move_attempt(struct core *c, struct job *j,
			 struct job_attempt *attempt, struct site_server *to)
{
	int item = attempt->item;

	if (job_run_requeue(j->run, item) != ERR_OK)
		return;
	log_event(EV_JOB_MOVED, "batch=%s item=%s to=%s events=%llu ms=%lld",
		  j->id, j->spec->items[item].id, to->entry.id,
		  (unsigned long long)job_run_text(j->run, item)->last_event,
		  (long long)(core_now(c) - attempt->sent_ms));
	core_fetch_cancel(c, attempt->fetch);
	job_release_attempt(c, attempt, true);
	job_send_item(c, j, item, to);
}

/* Milliseconds that a move to a fast server saves; 0 if the attempt is not in flight or
 * has just started. */
static int64_t move_gain(struct core *c, const struct job *j,
			 const struct job_attempt *attempt,
			 const struct site_request *needs,
			 const struct site_server *to)
{
	const struct site_server *from =
		site_servers_get(site_mod_servers(c), attempt->server);
	int64_t now = core_now(c);
	const struct job_move m = {
		.length = job_item_expected_tokens(
			&j->spec->items[attempt->item]),
		.elapsed_ms = now - attempt->sent_ms,
		.from_pace_ms = from ? site_server_expected_pace(from, now,
								 &needs->speeds)
				     : 0,
		.to_pace_ms =
			site_server_expected_pace(to, now, &needs->speeds),
	};

	if (!attempt->fetch || !attempt->last_event_ms ||
	    now - attempt->sent_ms < MOVE_MIN_AGE_MS)
		return 0;
	return job_move_gain_ms(&jobs_of(c)->pace, &m);
}

/* Load pattern: slots at fast servers become free while long samples run at slow ones.
 * The sample that saves the most time moves first. */
static void move_to_fast(struct core *c, struct job *j,
			 struct site_request *needs)
{
	needs->speed = SITE_FAST_FIRST;
	for (int moves = 0; moves < MOVES_MAX; moves++) {
		struct site_server *to = site_servers_choose(
			site_mod_servers(c), core_now(c), needs);
		int64_t best_gain = MOVE_MIN_GAIN_MS;
		struct job_attempt *best = NULL;

		if (!to)
			return;
		for (size_t i = 0; i < j->spec->n_items; i++) {
			int64_t gain =
				move_gain(c, j, &j->attempts[i], needs, to);

			if (gain <= best_gain)
				continue;
			best = &j->attempts[i];
			best_gain = gain;
		}
		if (!best)
			return;
		move_attempt(c, j, best, to);
	}
}

/* Whether an attempt makes no progress. Only events count: comments and the body of a
 * refusal may arrive without end. */
static bool is_silent(struct core *c, const struct job_attempt *attempt)
{
	if (!attempt->last_event_ms)
		return core_now(c) - attempt->sent_ms >= FIRST_EVENT_TIMEOUT_MS;
	return core_now(c) - attempt->last_event_ms >= EVENT_TIMEOUT_MS;
}

void job_check_attempts(struct core *c, struct job *j)
{
	struct site_request needs;
	int moves = 0;
	int max_moves;

	if (!j->running || core_now(c) < j->check_next_ms)
		return;
	j->check_next_ms = core_now(c) + CHECK_INTERVAL_MS;
	if (j->owner.ended || !job_server_needs(c, j, &needs))
		return;
	needs.spare_limited = true;
	/* A text limited to one weight version would restart under another one. */
	max_moves = job_route(c, j)->one_version || !site_mod_may_start_work(c)
			    ? 0
			    : MOVES_MAX;
	for (size_t i = 0; i < j->spec->n_items; i++) {
		struct job_attempt *attempt = &j->attempts[i];
		struct site_server *to;

		if (!attempt->fetch)
			continue;
		if (is_silent(c, attempt)) {
			job_abort_attempt(c, j, attempt);
			continue;
		}
		to = moves < max_moves && !needs.speeds.uneven
			     ? better_server(c, attempt, &needs)
			     : NULL;
		if (!to)
			continue;
		move_attempt(c, j, attempt, to);
		moves++;
	}
	if (max_moves && needs.speeds.uneven)
		move_to_fast(c, j, &needs);
}
