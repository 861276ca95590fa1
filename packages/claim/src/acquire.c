// Acquires the claim of one request.
#include "claim/acquire.h"

static const char *const verdict_names[CLAIM_VERDICT_COUNT] = {
	[CLAIM_GRANTED] = "granted",   [CLAIM_RUNNING] = "running",
	[CLAIM_DONE] = "done",	       [CLAIM_LOST] = "lost",
	[CLAIM_MISMATCH] = "mismatch", [CLAIM_UNAVAILABLE] = "unavailable",
};

const char *claim_verdict_name(enum claim_verdict v)
{
	return v < CLAIM_VERDICT_COUNT ? verdict_names[v] : "unknown";
}

enum claim_step claim_acquire_begin(struct claim_acquire *a, bool self,
				    int64_t now, int64_t deadline_ms)
{
	int64_t timeout_at = now + CLAIM_TIMEOUT_MS;

	*a = (struct claim_acquire){
		.start_ms = now,
		.timeout_at_ms =
			timeout_at < deadline_ms ? timeout_at : deadline_ms,
		.local_requested = self,
	};
	return self ? CLAIM_STEP_REQUEST_LOCAL : CLAIM_STEP_REQUEST_WRITER;
}

static enum claim_step request_local(struct claim_acquire *a)
{
	a->local_requested = true;
	return CLAIM_STEP_REQUEST_LOCAL;
}

static enum claim_step claim_decide(struct claim_acquire *a,
				    enum claim_verdict v)
{
	a->decided = true;
	a->verdict = v;
	return v == CLAIM_GRANTED ? CLAIM_STEP_RUN : CLAIM_STEP_REPLY;
}

enum claim_step claim_acquire_verdict(struct claim_acquire *a,
				      enum claim_verdict v, bool self)
{
	if (a->decided)
		return CLAIM_STEP_WAIT;
	if (v != CLAIM_UNAVAILABLE || (self && a->local_requested))
		return claim_decide(a, v);
	return a->local_requested ? CLAIM_STEP_WAIT : request_local(a);
}

enum claim_step claim_acquire_tick(struct claim_acquire *a, int64_t now)
{
	if (a->decided)
		return CLAIM_STEP_WAIT;
	if (now >= a->timeout_at_ms)
		return claim_decide(a, CLAIM_UNAVAILABLE);
	if (!a->local_requested && now - a->start_ms >= CLAIM_FALLBACK_MS)
		return request_local(a);
	return CLAIM_STEP_WAIT;
}
