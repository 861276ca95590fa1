// Spreads servers: one at a time to the domain that has the fewest.
#include "fleet/spread.h"

#include <stddef.h>

static bool fixed(const struct fleet_domain *d)
{
	return d->closed || d->out;
}

/* Domain that gets the next server, NULL when all are full. */
static struct fleet_domain *fewest(struct fleet_domain *d, int n, int max)
{
	struct fleet_domain *best = NULL;

	for (int i = 0; i < n; i++) {
		if (fixed(&d[i]) || d[i].want >= max)
			continue;
		if (!best || d[i].want < best->want ||
		    (d[i].want == best->want && d[i].price < best->price))
			best = &d[i];
	}
	return best;
}

void fleet_spread(struct fleet_domain *d, int n, int total, int min, int max)
{
	struct fleet_domain *next;
	int given = 0;

	for (int i = 0; i < n; i++) {
		d[i].want = fixed(&d[i]) ? d[i].have : min;
		given += d[i].out ? 0 : d[i].want;
	}
	while (given < total && (next = fewest(d, n, max))) {
		next->want++;
		given++;
	}
}
