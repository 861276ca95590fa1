// Slack and gain of a move, from the mean pace of recent samples.
#include "job/slack.h"

#include <stdbool.h>

/* Decay of earlier samples' weight with each new one: the mean covers about a hundred
 * samples, since the hint of a single one is inaccurate. */
static const double PACE_DECAY = 0.99;

/* Minimum remaining time as a share of the elapsed time: with heavy-tailed lengths
 * the expected remainder grows with the time already taken. */
static const double MIN_REMAINING_SHARE = 0.3;

/* Minimum ratio of the servers' paces. Servers of equal speed differ by less, due to
 * their load, and a move between them gains nothing. */
static const double MIN_SPEEDUP = 1.2;

/* Least slack of a sample that can wait for other servers, ms: hints are far off at
 * times. */
static const int64_t SPARE_SLACK_MS = 2500;

void job_pace_add(struct job_pace *p, int64_t length, int64_t ms)
{
	if (length <= 0 || ms <= 0)
		return;
	p->total_ms = p->total_ms * PACE_DECAY + (double)ms;
	p->total_length = p->total_length * PACE_DECAY + (double)length;
}

int64_t job_slack_ms(const struct job_pace *p, int64_t now, int64_t due_ms,
		     int64_t length)
{
	double expected_ms =
		p->total_length > 0
			? p->total_ms / p->total_length * (double)length
			: 0;

	return due_ms - now - (int64_t)expected_ms;
}

uint64_t job_version_to_leave(const struct job_newer *n, int64_t slack_ms)
{
	bool few = 2 * n->newer_servers <= n->servers;

	return few && slack_ms > SPARE_SLACK_MS ? n->min_version : 0;
}

int64_t job_move_gain_ms(const struct job_pace *p, const struct job_move *m)
{
	double expected_ms =
		p->total_length > 0
			? p->total_ms / p->total_length * (double)m->length
			: 0;
	double remaining_ms = expected_ms - (double)m->elapsed_ms;

	if (remaining_ms < MIN_REMAINING_SHARE * (double)m->elapsed_ms)
		remaining_ms = MIN_REMAINING_SHARE * (double)m->elapsed_ms;
	if (m->to_pace_ms * MIN_SPEEDUP > m->from_pace_ms)
		return 0;
	return (int64_t)(remaining_ms * (1 - m->to_pace_ms / m->from_pace_ms));
}
