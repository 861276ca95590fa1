// Spreads servers one at a time, each to the domain that has the fewest.
#include "fleet/spread.h"

#include <stddef.h>

static bool has_fixed_count(const struct fleet_domain *d)
{
	return d->no_capacity || d->unusable;
}

/* Domain that gets the next server, NULL when all have max or are fixed. */
static struct fleet_domain *domain_with_fewest(struct fleet_domain *d, int n,
					       int max)
{
	struct fleet_domain *best = NULL;

	for (int i = 0; i < n; i++) {
		if (has_fixed_count(&d[i]) || d[i].target >= max)
			continue;
		if (!best || d[i].target < best->target ||
		    (d[i].target == best->target && d[i].price < best->price))
			best = &d[i];
	}
	return best;
}

void fleet_spread(struct fleet_domain *d, int n, int total, int min, int max)
{
	struct fleet_domain *next;
	int assigned = 0;

	for (int i = 0; i < n; i++) {
		d[i].target = has_fixed_count(&d[i]) ? d[i].current : min;
		assigned += d[i].unusable ? 0 : d[i].target;
	}
	while (assigned < total && (next = domain_with_fewest(d, n, max))) {
		next->target++;
		assigned++;
	}
}
