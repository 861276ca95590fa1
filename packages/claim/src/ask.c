// Acquires the claim of one request.
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
	int64_t timeout_at = now + CLAIM_TIMEOUT_MS;

	*a = (struct claim_ask){
		.start_ms = now,
		.timeout_at_ms =
			timeout_at < deadline_ms ? timeout_at : deadline_ms,
		.local_requested = self,
	};
	return self ? CLAIM_STEP_ASK_SELF : CLAIM_STEP_ASK_WRITER;
}

static enum claim_step request_local(struct claim_ask *a)
{
	a->local_requested = true;
	return CLAIM_STEP_ASK_SELF;
}

static enum claim_step claim_decide(struct claim_ask *a, enum claim_verdict v)
{
	a->decided = true;
	a->verdict = v;
	return v == CLAIM_GRANTED ? CLAIM_STEP_RUN : CLAIM_STEP_ANSWER;
}

enum claim_step claim_ask_verdict(struct claim_ask *a, enum claim_verdict v,
				  bool self)
{
	if (a->decided)
		return CLAIM_STEP_WAIT;
	if (v != CLAIM_UNAVAILABLE || (self && a->local_requested))
		return claim_decide(a, v);
	return a->local_requested ? CLAIM_STEP_WAIT : request_local(a);
}

enum claim_step claim_ask_tick(struct claim_ask *a, int64_t now)
{
	if (a->decided)
		return CLAIM_STEP_WAIT;
	if (now >= a->timeout_at_ms)
		return claim_decide(a, CLAIM_UNAVAILABLE);
	if (!a->local_requested && now - a->start_ms >= CLAIM_FALLBACK_MS)
		return request_local(a);
	return CLAIM_STEP_WAIT;
}
