// Slack by the mean pace of recent samples.
#include "job/slack.h"

/* Part of the earlier samples' weight that is left with each new one: some hundred
 * samples count, as hints are far off for single ones. */
static const double PACE_DECAY = 0.99;

/* Of the time that a sample has taken, what is left at least: with heavy tails the
 * rest grows with what is past. */
static const double MIN_REMAINING_SHARE = 0.3;

/* Paces of like servers differ by their load: below this there is no gain. */
static const double MIN_SPEEDUP = 1.4;

void job_pace_note(struct job_pace *p, int64_t length, int64_t ms)
{
	if (length <= 0 || ms <= 0)
		return;
	p->total_ms = p->total_ms * PACE_DECAY + (double)ms;
	p->total_length = p->total_length * PACE_DECAY + (double)length;
}

int64_t job_slack(const struct job_pace *p, int64_t now, int64_t due_ms,
		  int64_t length)
{
	double expected_ms =
		p->total_length > 0
			? p->total_ms / p->total_length * (double)length
			: 0;

	return due_ms - now - (int64_t)expected_ms;
}

int64_t job_move_gain(const struct job_pace *p, const struct job_move *m)
{
	double expected_ms =
		p->total_length > 0
			? p->total_ms / p->total_length * (double)m->length
			: 0;
	double remaining_ms = expected_ms - (double)m->elapsed_ms;

	if (remaining_ms < MIN_REMAINING_SHARE * (double)m->elapsed_ms)
		remaining_ms = MIN_REMAINING_SHARE * (double)m->elapsed_ms;
	if (m->to_ms * MIN_SPEEDUP > m->from_ms)
		return 0;
	return (int64_t)(remaining_ms * (1 - m->to_ms / m->from_ms));
}
