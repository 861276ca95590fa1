// A node that ends gives its trainers to their backups.
#include <string.h>

#include "rollout_defs.h"

static bool hand_over_waits(const struct rollout *r, const struct owner *o)
{
	const struct request *q;
	size_t iter = 0;

	while ((q = htab_next(r->requests, &iter, NULL))) {
		if (q->owner == o)
			return true;
	}
	return false;
}

/* The backup has everything: from now on this node knows nothing. */
static bool hand_over_may(const struct rollout *r, const struct owner *o)
{
	return o->active && !o->proposing && o->backup && !o->backup->dead &&
	       !o->backup->head && rollout_alive(r, o->backup->node) &&
	       !hand_over_waits(r, o);
}

void hand_over(struct rollout *r)
{
	for (size_t i = r->n_owners; i-- > 0;) {
		if (hand_over_may(r, r->owners[i]))
			owner_drop(r->owners[i]);
	}
}
