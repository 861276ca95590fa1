// Timeout of a call: a multiple of the 90th percentile of recent response times.
#include "job/response_times.h"

#include <stdlib.h>
#include <string.h>

enum {
	MIN_ANSWERS = 8, ///< answers needed for an estimate
	P90_FACTOR = 3, ///< timeout as a multiple of the 90th percentile
	TARGET_FACTOR = 2, ///< timeout as a multiple of the target until then
	TIME_MAX_MS = 1 << 30,
	DECILES = 10,
	MEDIAN_DECILE = 5,
	P90_DECILE = 9,
};

void response_times_add(struct response_times *p, int64_t ms)
{
	p->recent_ms[p->n++ % RESPONSE_TIMES_MAX] =
		(int32_t)(ms < TIME_MAX_MS ? ms : TIME_MAX_MS);
}

static int compare_times(const void *a, const void *b)
{
	int32_t x = *(const int32_t *)a;
	int32_t y = *(const int32_t *)b;

	return (x > y) - (x < y);
}

/* Decile 1 to 9 of the recent response times. */
static int64_t recent_decile_ms(const struct response_times *p,
				size_t decile_index)
{
	int32_t sorted[RESPONSE_TIMES_MAX];
	size_t n = p->n < RESPONSE_TIMES_MAX ? p->n : RESPONSE_TIMES_MAX;

	memcpy(sorted, p->recent_ms, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), compare_times);
	return sorted[n * decile_index / DECILES];
}

int64_t response_times_median_ms(const struct response_times *p)
{
	return p->n >= MIN_ANSWERS ? recent_decile_ms(p, MEDIAN_DECILE) : 0;
}

int64_t response_timeout_ms(const struct response_times *p, int unanswered,
			    int64_t target_ms, int64_t max_ms)
{
	int64_t ms = p->n >= MIN_ANSWERS
			     ? P90_FACTOR * recent_decile_ms(p, P90_DECILE)
			     : TARGET_FACTOR * target_ms;

	if (ms < target_ms)
		ms = target_ms;
	for (; unanswered > 0 && ms < max_ms; unanswered--)
		ms *= 2;
	return ms < max_ms ? ms : max_ms;
}
