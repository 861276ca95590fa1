// Histograms with fixed bounds. A bucket counts durations above the bound of the
// bucket before it, up to and including its own; rendering makes them cumulative.
#include "base/histogram.h"

#include <stdatomic.h>
#include <stdio.h>

static const int bounds_ms[] = {5,   10,   25,	 50,   100,  250,
				500, 1000, 2500, 5000, 10000};

enum {
	BOUNDS = sizeof(bounds_ms) / sizeof(bounds_ms[0]),
};

struct series {
	atomic_ullong buckets[BOUNDS + 1]; ///< the last one has no upper bound
	atomic_ullong sum_ms;
};

struct histogram_row {
	const char *name;
	const char *help;
};

static const struct histogram_row rows[] = {
#define HISTOGRAM(sym, name, help) [sym] = {name, help},
#include "base/histogram.def"
#undef HISTOGRAM
};

static struct series all[HISTOGRAM_COUNT];

void histogram_add(enum histogram h, int64_t ms)
{
	int at = 0;

	if (ms < 0)
		ms = 0;
	while (at < BOUNDS && ms > bounds_ms[at])
		at++;
	atomic_fetch_add(&all[h].buckets[at], 1);
	atomic_fetch_add(&all[h].sum_ms, (unsigned long long)ms);
}

uint64_t histogram_count(enum histogram h)
{
	uint64_t n = 0;

	for (int i = 0; i <= BOUNDS; i++)
		n += atomic_load(&all[h].buckets[i]);
	return n;
}

static void add_text(char *buf, size_t len, size_t *at, int n)
{
	if (n > 0)
		*at += (size_t)n;
	if (*at >= len)
		*at = len - 1;
}

static void render_one(enum histogram h, char *buf, size_t len, size_t *at)
{
	const char *name = rows[h].name;
	unsigned long long sum = 0;

	add_text(buf, len, at,
		 snprintf(buf + *at, len - *at,
			  "# HELP %s %s\n# TYPE %s histogram\n", name,
			  rows[h].help, name));
	for (int i = 0; i <= BOUNDS; i++) {
		char bound[16] = "+Inf";

		if (i < BOUNDS)
			snprintf(bound, sizeof(bound), "%d", bounds_ms[i]);
		sum += atomic_load(&all[h].buckets[i]);
		add_text(buf, len, at,
			 snprintf(buf + *at, len - *at,
				  "%s_bucket{le=\"%s\"} %llu\n", name, bound,
				  sum));
	}
	add_text(buf, len, at,
		 snprintf(buf + *at, len - *at, "%s_sum %llu\n%s_count %llu\n",
			  name, atomic_load(&all[h].sum_ms), name, sum));
}

size_t histogram_render(char *buf, size_t len)
{
	size_t at = 0;

	buf[0] = '\0';
	for (int h = 0; h < HISTOGRAM_COUNT; h++)
		render_one((enum histogram)h, buf, len, &at);
	return at;
}
