// Counts the requests of this node, for the size of the fleet.
#include "daemon/work_mod.h"

#include "work_mod_int.h"

void work_mod_count(struct core *c, enum vm_kind kind, int *steady,
		    int *cuttable)
{
	const struct work_state *s = work_state(c);
	size_t iter = 0;
	const struct work *w;

	*steady = 0;
	*cuttable = 0;
	while (s && (w = htab_next(s->works, &iter, NULL))) {
		if (w->o.kind != kind || w->via == WORK_VIA_PEER)
			continue;
		*steady += !w->o.may_cut;
		*cuttable += w->o.may_cut;
	}
}
