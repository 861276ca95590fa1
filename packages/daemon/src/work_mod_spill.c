// Sends what waits for an engine to other failure domains that have room.
#include <string.h>

#include "daemon/member_mod.h"
#include "work_mod_int.h"

enum {
	SPILL_WAIT_MS = 500, ///< the next request waited so long
	SPILL_ROOM = 1, ///< least step of free slots, see spill_step()
	SPILL_STEP_MAX = 16,
};

/* Free slots in steps of powers of two, so that small changes aren't told. */
static int spill_step(int free)
{
	int step = 0;

	while (free > 0 && step < SPILL_STEP_MAX) {
		free /= 2;
		step++;
	}
	return step;
}

/* Slots that this node could still grant on the engines it is steward of; none
 * while requests wait. */
static int spill_free(struct core *c, const struct work_pool *p)
{
	struct work_state *s = work_state(c);
	int free = 0;

	if (admit_count(p->queue) > 0)
		return 0;
	for (size_t i = 0; i < s->n_servers; i++) {
		const struct work_server *v = &s->servers[i];
		int left;

		if (!v->hash || !v->live || v->pool != p || !v->steward)
			continue;
		left = slot_limit_get(&v->steward->limit) -
		       slot_steward_charged(v->steward, core_now(c));
		free += left > 0 ? left : 0;
	}
	return free;
}

/* Room that a failure domain tells, in slots; 0 for too little. */
static int spill_room(struct core *c, const char *domain)
{
	size_t n;
	const struct member_domain *all = member_mod_domains(c, &n);

	for (size_t i = 0; i < n; i++) {
		int64_t step = all[i].max[MEMBER_FREE];

		if (strcmp(all[i].name, domain) != 0 || !all[i].heard)
			continue;
		return step < SPILL_ROOM ? 0 : 1 << (step - 1);
	}
	return 0;
}

bool work_spill_to(struct core *c, const char *domain)
{
	return work_state(c)->n_spilled < spill_room(c, domain);
}

void work_spill_tick(struct core *c, struct work_pool *p)
{
	struct work_state *s = work_state(c);
	struct work *w = work_pool_head(c, p);
	int64_t now = core_now(c);

	if (p->kind != VM_ENGINE)
		return;
	member_mod_set(c, MEMBER_FREE, spill_step(spill_free(c, p)));
	if (!w || w->forwarded || now - w->queued_ms < SPILL_WAIT_MS)
		return;
	w->spilled = true;
	if (!work_pick_peer(c, w)) {
		w->spilled = false;
		return;
	}
	work_pool_take(c, p);
	w->failed = work_attempt_forward(c, w);
	w->spilled = w->failed == ERR_OK;
	s->n_spilled += w->spilled;
}
