// The second stage of an item: its text is whole, its reward is asked for.
#include <stdlib.h>
#include <string.h>

#include "run_state.h"

enum {
	AGAIN_MS = 40, ///< least wait after a call that brought nothing
	AGAIN_DOUBLINGS = 4, ///< of that wait, a call that failed each
};

/* Whether an item's reward is to be asked for before another one's. */
static bool goes_before(const struct job_run *r, const struct run_item *a,
			const struct run_item *b)
{
	if (r->open[a->group] != r->open[b->group])
		return r->open[a->group] < r->open[b->group];
	return a->text.whole_ms < b->text.whole_ms;
}

int job_run_next_reward(struct job_run *r, int64_t now)
{
	int best = -1;
	int next;

	if (r->count[JOB_RATING] >= JOB_RATING_MAX)
		return -1;
	for (int i = r->first[JOB_WHOLE]; i >= 0; i = next) {
		struct run_item *it = &r->items[i];

		next = it->next;
		if (now >= r->opts.give_up_ms)
			run_ready(r, it, now, true);
		else if (now >= it->not_before_ms &&
			 (best < 0 || goes_before(r, it, &r->items[best])))
			best = i;
	}
	return best;
}

void job_run_reward_later(struct job_run *r, int item, int64_t now)
{
	r->items[item].not_before_ms = now + AGAIN_MS;
}

enum err job_run_rating(struct job_run *r, int item)
{
	if (r->items[item].step != JOB_WHOLE)
		return ERR_INVALID;
	run_step(r, &r->items[item], JOB_RATING);
	return ERR_OK;
}

void job_rating_tried(uint32_t tried[JOB_RATING_TRIED], uint32_t server)
{
	memmove(tried + 1, tried, (JOB_RATING_TRIED - 1) * sizeof(*tried));
	tried[0] = server;
}

int job_rating_avoids(int servers)
{
	if (servers < 2)
		return 0;
	return servers <= JOB_RATING_TRIED ? servers - 1 : JOB_RATING_TRIED;
}

int job_run_unanswered(const struct job_run *r, int item)
{
	return r->items[item].unanswered;
}

static int64_t again_ms(const struct run_item *it)
{
	int shift = it->rating_failures < AGAIN_DOUBLINGS ? it->rating_failures
							  : AGAIN_DOUBLINGS;

	return (int64_t)AGAIN_MS << shift;
}

void job_run_rated(struct job_run *r, int item, int64_t now,
		   enum job_rating how, int max_failures, const char *seal)
{
	struct run_item *it = &r->items[item];

	if (it->step != JOB_RATING)
		return;
	run_step(r, it, JOB_WHOLE);
	if (how == JOB_RATED) {
		free(it->text.score);
		it->text.score = strdup(seal);
		if (it->text.score)
			run_ready(r, it, now, false);
	} else if (how == JOB_RATING_FAILED &&
		   ++it->rating_failures >= max_failures) {
		run_ready(r, it, now, true);
	}
	it->unanswered += how == JOB_RATING_BROKEN;
	it->not_before_ms = now + again_ms(it);
}
