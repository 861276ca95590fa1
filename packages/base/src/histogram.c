// Histograms with fixed inclusive upper bounds; made cumulative when rendered.
#include "base/histogram.h"

#include <stdatomic.h>
#include <stdio.h>

static const int bounds_ms[] = {5,   10,   25,	 50,   100,  250,
				500, 1000, 2500, 5000, 10000};

enum {
	BOUND_COUNT = sizeof(bounds_ms) / sizeof(bounds_ms[0]),
};

struct histogram_data {
	atomic_ullong buckets[BOUND_COUNT + 1]; ///< the last: no upper bound
	atomic_ullong sum_ms;
};

struct histogram_row {
	const char *name;
	const char *help;
};

static const struct histogram_row histogram_rows[] = {
#define HISTOGRAM(sym, name, help) [sym] = {name, help},
#include "base/histogram.def"
#undef HISTOGRAM
};

static struct histogram_data histograms[HISTOGRAM_COUNT];

void histogram_add(enum histogram h, int64_t ms)
{
	int bucket = 0;

	if (ms < 0)
		ms = 0;
	while (bucket < BOUND_COUNT && ms > bounds_ms[bucket])
		bucket++;
	atomic_fetch_add(&histograms[h].buckets[bucket], 1);
	atomic_fetch_add(&histograms[h].sum_ms, (unsigned long long)ms);
}

uint64_t histogram_count(enum histogram h)
{
	uint64_t n = 0;

	for (int i = 0; i <= BOUND_COUNT; i++)
		n += atomic_load(&histograms[h].buckets[i]);
	return n;
}

static void advance(char *buf, size_t len, size_t *used, int written)
{
	if (written > 0)
		*used += (size_t)written;
	if (*used >= len)
		*used = len - 1;
}

static void render_one(enum histogram h, char *buf, size_t len, size_t *used)
{
	const char *name = histogram_rows[h].name;
	unsigned long long cumulative = 0;

	advance(buf, len, used,
		snprintf(buf + *used, len - *used,
			 "# HELP %s %s\n# TYPE %s histogram\n", name,
			 histogram_rows[h].help, name));
	for (int i = 0; i <= BOUND_COUNT; i++) {
		char bound[16] = "+Inf";

		if (i < BOUND_COUNT)
			snprintf(bound, sizeof(bound), "%d", bounds_ms[i]);
		cumulative += atomic_load(&histograms[h].buckets[i]);
		advance(buf, len, used,
			snprintf(buf + *used, len - *used,
				 "%s_bucket{le=\"%s\"} %llu\n", name, bound,
				 cumulative));
	}
	advance(buf, len, used,
		snprintf(buf + *used, len - *used,
			 "%s_sum %llu\n%s_count %llu\n", name,
			 atomic_load(&histograms[h].sum_ms), name, cumulative));
}

size_t histogram_render(char *buf, size_t len)
{
	size_t used = 0;

	buf[0] = '\0';
	for (int h = 0; h < HISTOGRAM_COUNT; h++)
		render_one((enum histogram)h, buf, len, &used);
	return used;
}
