// Forwards queued engine requests to other failure domains with free slots.
#include <string.h>

#include "daemon/member_mod.h"
#include "work_mod_int.h"

enum {
	SPILL_QUEUE_WAIT_MS = 500, ///< then a request is forwarded
	SPILL_LEVEL_MIN = 1, ///< lowest level to forward to, see spill_level()
	SPILL_LEVEL_MAX = 16,
};

/* Free slots in powers of two, so that small changes aren't published. */
static int spill_level(int free_slots)
{
	int level = 0;

	while (free_slots > 0 && level < SPILL_LEVEL_MAX) {
		free_slots /= 2;
		level++;
	}
	return level;
}

/* Slots that this node can still grant of the engines it coordinates; 0 while
 * requests are queued here. */
static int spill_grantable_slots(struct core *c, const struct work_pool *p)
{
	struct work_state *s = work_state(c);
	int free_slots = 0;

	if (admit_count(p->queue) > 0)
		return 0;
	for (size_t i = 0; i < s->n_servers; i++) {
		const struct work_server *srv = &s->servers[i];
		int unused_slots;

		if (!srv->hash || !srv->live || srv->pool != p ||
		    !srv->coordinator)
			continue;
		unused_slots = slot_limit_get(&srv->coordinator->limit) -
			       slot_coordinator_committed(srv->coordinator,
							  core_now(c));
		free_slots += unused_slots > 0 ? unused_slots : 0;
	}
	return free_slots;
}

/* Free slots that a failure domain publishes; 0 below SPILL_LEVEL_MIN. */
static int spill_domain_free_slots(struct core *c, const char *domain)
{
	size_t n;
	const struct member_domain *all = member_mod_domains(c, &n);

	for (size_t i = 0; i < n; i++) {
		int64_t level = all[i].max[MEMBER_FREE_CAPACITY];

		if (strcmp(all[i].name, domain) != 0 || !all[i].heard)
			continue;
		return level < SPILL_LEVEL_MIN ? 0 : 1 << (level - 1);
	}
	return 0;
}

bool work_spill_allowed(struct core *c, const char *domain)
{
	return work_state(c)->n_spilled < spill_domain_free_slots(c, domain);
}

void work_spill_tick(struct core *c, struct work_pool *p)
{
	struct work_state *s = work_state(c);
	struct work *w = work_pool_peek(c, p);
	int64_t now = core_now(c);

	if (p->kind != VM_ENGINE)
		return;
	member_mod_set(c, MEMBER_FREE_CAPACITY,
		       spill_level(spill_grantable_slots(c, p)));
	if (!w || w->forwarded || now - w->queued_ms < SPILL_QUEUE_WAIT_MS)
		return;
	w->spilled = true;
	if (!work_pick_peer(c, w)) {
		w->spilled = false;
		return;
	}
	work_pool_pop(c, p);
	w->pending_err = work_attempt_forward(c, w);
	w->spilled = w->pending_err == ERR_OK;
	s->n_spilled += w->spilled;
}
