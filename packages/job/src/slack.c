// Slack by the mean pace of recent samples.
#include "job/slack.h"

/* Part of the earlier samples' weight that is left with each new one: some hundred
 * samples count, as hints are far off for single ones. */
static const double KEEP = 0.99;

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
