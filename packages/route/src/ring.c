// Consistent hashing of prefixes to servers.
#include "ring.h"

#include <stdlib.h>

#include "base/rng.h"

static int point_order(const void *a, const void *b)
{
	uint64_t x = ((const struct ring_point *)a)->hash;
	uint64_t y = ((const struct ring_point *)b)->hash;

	return (x > y) - (x < y);
}

void ring_add(struct ring *r, int server, uint64_t id)
{
	struct rng rng = {id};

	for (int i = 0; i < RING_POINTS; i++)
		r->points[r->n++] =
			(struct ring_point){rng_next(&rng), (int16_t)server};
	qsort(r->points, r->n, sizeof(*r->points), point_order);
}

void ring_remove(struct ring *r, int server)
{
	size_t n = 0;

	for (size_t i = 0; i < r->n; i++) {
		if (r->points[i].server != server)
			r->points[n++] = r->points[i];
	}
	r->n = n;
}

int ring_lookup(const struct ring *r, uint64_t prefix)
{
	struct rng rng = {prefix};
	uint64_t hash = rng_next(&rng);
	size_t low = 0;
	size_t high = r->n;

	if (r->n == 0)
		return ROUTE_NONE;
	while (low < high) {
		size_t mid = (low + high) / 2;

		if (r->points[mid].hash < hash)
			low = mid + 1;
		else
			high = mid;
	}
	return r->points[low < r->n ? low : 0].server;
}
