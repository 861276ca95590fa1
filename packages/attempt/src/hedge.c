// The budget's window, and the time of a second attempt.
#include "attempt/hedge.h"

enum {
	MS_PER_S = 1000,
	PERCENT = 100,
	/// Granted in 10 s at a node with few requests: those that only make an answer
	/// earlier, and those without which there is none. The second number bounds
	/// what a node adds when all servers fail.
	EARLY_LEAST = 1,
	LAST_LEAST = 10,
	/// A call takes a quarter longer or less when its server is well.
	TIMES_USUAL = 3,
	/// Leaves the second attempt half of the time in which it is on time.
	TARGET_SHARE = 2,
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

bool hedge_budget_open(struct hedge_budget *b, int64_t now, int percent,
		       enum hedge_why why)
{
	int at = bucket_of(b, now);
	int64_t requests = 0;
	int64_t added = 0;
	int64_t most;
	int least = why == HEDGE_LAST ? LAST_LEAST : EARLY_LEAST;

	for (int i = 0; i < HEDGE_BUCKETS; i++) {
		if (b->second[at] - b->second[i] >= HEDGE_BUCKETS)
			continue;
		requests += b->requests[i];
		added += b->added[i];
	}
	most = requests * percent / PERCENT;
	return added < (most > least ? most : least);
}

bool hedge_budget_take(struct hedge_budget *b, int64_t now, int percent,
		       enum hedge_why why)
{
	if (!hedge_budget_open(b, now, percent, why))
		return false;
	b->added[bucket_of(b, now)]++;
	return true;
}

int64_t hedge_after_ms(int64_t usual_ms, int64_t target_ms)
{
	int64_t least = target_ms / TARGET_SHARE;
	int64_t ms = usual_ms > 0 ? usual_ms * TIMES_USUAL : target_ms;

	return ms > least ? ms : least;
}

enum hedge_why hedge_why_of(const struct hedge_ask *ask, int64_t now)
{
	return now - ask->came_ms > ask->until_ms - now ? HEDGE_LAST
							: HEDGE_EARLY;
}

bool hedge_due(const struct hedge_ask *ask, int64_t now)
{
	return ask->idempotent && ask->running == 1 &&
	       ask->tried < ask->max_servers && now >= ask->missed_ms &&
	       ask->until_ms - now > ask->usual_ms;
}
