// Hedged requests: the budget's sliding window, and the time of a hedge.
#include "attempt/hedge.h"

enum {
	MS_PER_S = 1000,
	PERCENT = 100,
	/// Allowed in 10 s at a node with few requests: hedges that only lower latency,
	/// and those without which a request fails. The second limits what a node adds
	/// when all servers fail.
	EARLY_MIN = 1,
	LAST_MIN = 10,
	/// Multiple of the median latency. Calls of a healthy server take at most a
	/// quarter longer than the median.
	OVERDUE_FACTOR = 3,
	/// The minimum wait, half of the target, leaves the other half to the second
	/// attempt.
	TARGET_DIVISOR = 2,
};

static int bucket_of(struct hedge_budget *b, int64_t now)
{
	int64_t second = now / MS_PER_S;
	int i = (int)(second % HEDGE_BUCKETS);

	if (b->second[i] != second) {
		b->second[i] = second;
		b->requests[i] = 0;
		b->added[i] = 0;
	}
	return i;
}

void hedge_budget_request(struct hedge_budget *b, int64_t now)
{
	b->requests[bucket_of(b, now)]++;
}

bool hedge_budget_allows(struct hedge_budget *b, int64_t now, int percent,
			 enum hedge_reason why)
{
	int current = bucket_of(b, now);
	int64_t requests = 0;
	int64_t added = 0;
	int64_t limit;
	int min = why == HEDGE_FOR_SUCCESS ? LAST_MIN : EARLY_MIN;

	for (int i = 0; i < HEDGE_BUCKETS; i++) {
		if (b->second[current] - b->second[i] >= HEDGE_BUCKETS)
			continue;
		requests += b->requests[i];
		added += b->added[i];
	}
	limit = requests * percent / PERCENT;
	return added < (limit > min ? limit : min);
}

bool hedge_budget_take(struct hedge_budget *b, int64_t now, int percent,
		       enum hedge_reason why)
{
	if (!hedge_budget_allows(b, now, percent, why))
		return false;
	b->added[bucket_of(b, now)]++;
	return true;
}

int64_t hedge_after_ms(int64_t usual_ms, int64_t target_ms)
{
	int64_t min = target_ms / TARGET_DIVISOR;
	int64_t ms = usual_ms > 0 ? usual_ms * OVERDUE_FACTOR : target_ms;

	return ms > min ? ms : min;
}

enum hedge_reason hedge_reason_of(const struct hedge_request *req, int64_t now)
{
	return now - req->came_ms > req->until_ms - now ? HEDGE_FOR_SUCCESS
							: HEDGE_FOR_LATENCY;
}

bool hedge_due(const struct hedge_request *req, int64_t now)
{
	return req->idempotent && req->running == 1 &&
	       req->tried < req->max_servers && now >= req->overdue_at_ms &&
	       req->until_ms - now > req->usual_ms;
}
