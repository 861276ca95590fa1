// Bound on a wait: several times what nine answers of ten took.
#include "job/patience.h"

#include <stdlib.h>
#include <string.h>

enum {
	ENOUGH = 8, ///< answers from which the bound is taken
	TIMES_SLOWEST = 3, ///< the bound, in times of the ninth decile
	TIMES_TARGET = 2, ///< the bound while too few answers are known
	MS_MAX = 1 << 30,
	TENTHS = 10,
	MEDIAN = 5, ///< in tenths
	SLOWEST = 9, ///< in tenths
};

void patience_add(struct patience *p, int64_t ms)
{
	p->ms[p->n++ % PATIENCE_TIMES] = (int32_t)(ms < MS_MAX ? ms : MS_MAX);
}

static int ms_compare(const void *a, const void *b)
{
	int32_t x = *(const int32_t *)a;
	int32_t y = *(const int32_t *)b;

	return (x > y) - (x < y);
}

/* Time that so many tenths of the last answers did not exceed. */
static int64_t decile(const struct patience *p, size_t tenths)
{
	int32_t sorted[PATIENCE_TIMES];
	size_t n = p->n < PATIENCE_TIMES ? p->n : PATIENCE_TIMES;

	memcpy(sorted, p->ms, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), ms_compare);
	return sorted[n * tenths / TENTHS];
}

int64_t patience_usual_ms(const struct patience *p)
{
	return p->n >= ENOUGH ? decile(p, MEDIAN) : 0;
}

int64_t patience_ms(const struct patience *p, int unanswered, int64_t target_ms,
		    int64_t most_ms)
{
	int64_t ms = p->n >= ENOUGH ? TIMES_SLOWEST * decile(p, SLOWEST)
				    : TIMES_TARGET * target_ms;

	if (ms < target_ms)
		ms = target_ms;
	for (; unanswered > 0 && ms < most_ms; unanswered--)
		ms *= 2;
	return ms < most_ms ? ms : most_ms;
}
