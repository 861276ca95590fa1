// Retries of one request.
#include "attempt/attempt.h"

enum {
	CREDIT_PER_RETRY = 100, ///< hundredths that one retry costs
	HTTP_OVERLOADED = 503,
	HTTP_BAD_GATEWAY = 502,
	HTTP_GATEWAY_TIMEOUT = 504,
};

void attempt_budget_init(struct attempt_budget *b, int64_t cap)
{
	b->cap = cap * CREDIT_PER_RETRY;
	b->credit = b->cap;
}

void attempt_budget_success(struct attempt_budget *b, int64_t ratio)
{
	b->credit += ratio;
	if (b->credit > b->cap)
		b->credit = b->cap;
}

bool attempt_budget_take(struct attempt_budget *b)
{
	if (b->credit < CREDIT_PER_RETRY)
		return false;
	b->credit -= CREDIT_PER_RETRY;
	return true;
}

void attempt_init(struct attempt *a, const struct attempt_opts *opts)
{
	*a = (struct attempt){
		.idempotent = opts->idempotent,
		.deadline_ms = opts->deadline_ms,
		.max_tries =
			opts->max_tries ? opts->max_tries : ATTEMPT_MAX_TRIES,
	};
}

void attempt_begin(struct attempt *a)
{
	a->tries++;
}

/* Responses after which an idempotent request is retried on another server. */
static bool attempt_status_retryable(int status)
{
	return status == HTTP_OVERLOADED || status == HTTP_BAD_GATEWAY ||
	       status == HTTP_GATEWAY_TIMEOUT;
}

static bool attempt_may_have_run(const struct attempt_outcome *out)
{
	if (out->not_run)
		return false;
	return out->sent;
}

static bool attempt_may_retry(const struct attempt *a, struct attempt_budget *b,
			      int64_t now, const struct attempt_outcome *out)
{
	if (out->delivered || now >= a->deadline_ms)
		return false;
	if (a->tries >= a->max_tries)
		return false;
	if (a->maybe_ran && !a->idempotent)
		return false;
	return attempt_budget_take(b);
}

static struct attempt_step attempt_final(const struct attempt *a, enum err e,
					 int64_t retry_after_ms)
{
	struct attempt_step s = {
		.err = e,
		.run = a->maybe_ran ? RUN_MAYBE : RUN_NO,
		.retry_after_ms = retry_after_ms,
	};

	if (s.retry_after_ms == 0)
		s.retry_after_ms = ATTEMPT_RETRY_AFTER_MS;
	return s;
}

struct attempt_step attempt_end(struct attempt *a, struct attempt_budget *b,
				int64_t now, const struct attempt_outcome *out)
{
	bool answered = out->err == ERR_OK;

	if (attempt_may_have_run(out))
		a->maybe_ran = true;
	if (answered &&
	    !(a->idempotent && attempt_status_retryable(out->status)))
		return (struct attempt_step){.run = RUN_DONE};
	if (attempt_may_retry(a, b, now, out))
		return (struct attempt_step){.again = true};
	if (answered)
		return (struct attempt_step){.run = RUN_DONE};
	return attempt_final(a, out->err, out->retry_after_ms);
}

struct attempt_step attempt_give_up(const struct attempt *a, bool in_flight,
				    enum err e)
{
	struct attempt last = *a;

	last.maybe_ran = a->maybe_ran || in_flight;
	return attempt_final(&last, e, 0);
}
