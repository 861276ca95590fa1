// A node's side of one claim.
#include "claim/ask.h"

static const char *const verdict_names[CLAIM_VERDICTS] = {
	[CLAIM_GRANTED] = "granted",   [CLAIM_RUNNING] = "running",
	[CLAIM_DONE] = "done",	       [CLAIM_LOST] = "lost",
	[CLAIM_MISMATCH] = "mismatch", [CLAIM_UNAVAILABLE] = "unavailable",
};

const char *claim_verdict_name(enum claim_verdict v)
{
	return v < CLAIM_VERDICTS ? verdict_names[v] : "unknown";
}

enum claim_step claim_ask_begin(struct claim_ask *a, bool self, int64_t now,
				int64_t deadline_ms)
{
	int64_t give_up = now + CLAIM_ASK_GIVE_UP_MS;

	*a = (struct claim_ask){
		.since_ms = now,
		.give_up_ms = give_up < deadline_ms ? give_up : deadline_ms,
		.asked_self = self,
	};
	return self ? CLAIM_STEP_ASK_SELF : CLAIM_STEP_ASK_WRITER;
}

static enum claim_step ask_self(struct claim_ask *a)
{
	a->asked_self = true;
	return CLAIM_STEP_ASK_SELF;
}

static enum claim_step ask_over(struct claim_ask *a, enum claim_verdict v)
{
	a->over = true;
	a->verdict = v;
	return v == CLAIM_GRANTED ? CLAIM_STEP_RUN : CLAIM_STEP_ANSWER;
}

enum claim_step claim_ask_verdict(struct claim_ask *a, enum claim_verdict v,
				  bool self)
{
	if (a->over)
		return CLAIM_STEP_WAIT;
	if (v != CLAIM_UNAVAILABLE || (self && a->asked_self))
		return ask_over(a, v);
	return a->asked_self ? CLAIM_STEP_WAIT : ask_self(a);
}

enum claim_step claim_ask_tick(struct claim_ask *a, int64_t now)
{
	if (a->over)
		return CLAIM_STEP_WAIT;
	if (now >= a->give_up_ms)
		return ask_over(a, CLAIM_UNAVAILABLE);
	if (!a->asked_self && now - a->since_ms >= CLAIM_ASK_FALLBACK_MS)
		return ask_self(a);
	return CLAIM_STEP_WAIT;
}
