// Slack by the mean pace of recent samples.
#include "job/slack.h"

/* Part of the earlier samples' weight that is left with each new one: some hundred
 * samples count, as hints are far off for single ones. */
static const double KEEP = 0.99;

/* Of the time that a sample has taken, what is left at least: with heavy tails the
 * rest grows with what is past. */
static const double TAIL = 0.3;

/* Paces of like servers differ by their load: below this there is no gain. */
static const double FASTER = 1.4;

void job_pace_note(struct job_pace *p, int64_t length, int64_t ms)
{
	if (length <= 0 || ms <= 0)
		return;
	p->ms = p->ms * KEEP + (double)ms;
	p->length = p->length * KEEP + (double)length;
}

int64_t job_slack(const struct job_pace *p, int64_t now, int64_t due_ms,
		  int64_t length)
{
	double ms = p->length > 0 ? p->ms / p->length * (double)length : 0;

	return due_ms - now - (int64_t)ms;
}

int64_t job_move_gain(const struct job_pace *p, const struct job_move *m)
{
	double whole =
		p->length > 0 ? p->ms / p->length * (double)m->length : 0;
	double left = whole - (double)m->elapsed_ms;

	if (left < TAIL * (double)m->elapsed_ms)
		left = TAIL * (double)m->elapsed_ms;
	if (m->to_ms * FASTER > m->from_ms)
		return 0;
	return (int64_t)(left * (1 - m->to_ms / m->from_ms));
}
