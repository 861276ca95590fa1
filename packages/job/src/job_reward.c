// Reward calls of a batch's run: order, retries and outcomes.
#include <stdlib.h>
#include <string.h>

#include "run_state.h"

enum {
	/// Minimum delay after a call without a score; doubles with each failed
	/// call, up to REWARD_BACKOFF_DOUBLINGS times.
	REWARD_RETRY_MIN_MS = 40,
	REWARD_BACKOFF_DOUBLINGS = 4,
};

/* Whether the reward call of `a` is to be sent before that of `b`. */
static bool reward_precedes(const struct job_run *r, const struct run_item *a,
			    const struct run_item *b)
{
	if (r->unfinished[a->group] != r->unfinished[b->group])
		return r->unfinished[a->group] < r->unfinished[b->group];
	return a->text.whole_ms < b->text.whole_ms;
}

int job_run_next_reward(struct job_run *r, int64_t now)
{
	int best = -1;
	int next;

	if (r->count[JOB_REWARD_SENT] >= JOB_REWARD_CALLS_MAX)
		return -1;
	for (int i = r->first[JOB_GENERATED]; i >= 0; i = next) {
		struct run_item *it = &r->items[i];

		next = it->next;
		if (now >= r->opts.give_up_ms)
			run_set_finished(r, it, now, true);
		else if (now >= it->not_before_ms &&
			 (best < 0 || reward_precedes(r, it, &r->items[best])))
			best = i;
	}
	return best;
}

void job_run_reward_postpone(struct job_run *r, int item, int64_t now)
{
	r->items[item].not_before_ms = now + REWARD_RETRY_MIN_MS;
}

enum err job_run_reward_sent(struct job_run *r, int item)
{
	if (r->items[item].phase != JOB_GENERATED)
		return ERR_INVALID;
	run_set_phase(r, &r->items[item], JOB_REWARD_SENT);
	return ERR_OK;
}

void job_reward_tried_add(uint32_t tried[JOB_REWARD_TRIED_MAX], uint32_t server)
{
	memmove(tried + 1, tried, (JOB_REWARD_TRIED_MAX - 1) * sizeof(*tried));
	tried[0] = server;
}

int job_reward_avoid_count(int servers)
{
	if (servers < 2)
		return 0;
	return servers <= JOB_REWARD_TRIED_MAX ? servers - 1
					       : JOB_REWARD_TRIED_MAX;
}

int job_run_reward_unanswered(const struct job_run *r, int item)
{
	return r->items[item].reward_unanswered;
}

static int64_t reward_backoff_ms(const struct run_item *it)
{
	int doublings = it->reward_failures < REWARD_BACKOFF_DOUBLINGS
				? it->reward_failures
				: REWARD_BACKOFF_DOUBLINGS;

	return (int64_t)REWARD_RETRY_MIN_MS << doublings;
}

void job_run_reward_ended(struct job_run *r, int item, int64_t now,
			  enum job_reward_outcome outcome, int max_failures,
			  const char *seal)
{
	struct run_item *it = &r->items[item];

	if (it->phase != JOB_REWARD_SENT)
		return;
	run_set_phase(r, it, JOB_GENERATED);
	if (outcome == JOB_REWARD_SCORED) {
		free(it->text.score);
		it->text.score = strdup(seal);
		if (it->text.score)
			run_set_finished(r, it, now, false);
	} else if (outcome == JOB_REWARD_FAILED &&
		   ++it->reward_failures >= max_failures) {
		run_set_finished(r, it, now, true);
	}
	it->reward_unanswered += outcome == JOB_REWARD_UNANSWERED;
	it->not_before_ms = now + reward_backoff_ms(it);
}
