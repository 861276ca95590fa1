// Counts this node's requests, as demand for sizing the fleet.
#include "daemon/work_mod.h"

#include "work_mod_int.h"

void work_mod_count_requests(struct core *c, enum vm_kind kind,
			     int *regular_only, int *cheap_allowed)
{
	const struct work_state *s = work_state(c);
	size_t iter = 0;
	const struct work *w;

	*regular_only = 0;
	*cheap_allowed = 0;
	while (s && (w = htab_next(s->requests, &iter, NULL))) {
		if (w->opts.kind != kind || w->target_kind == WORK_TARGET_PEER)
			continue;
		*regular_only += !w->opts.preemptible;
		*cheap_allowed += w->opts.preemptible;
	}
}
