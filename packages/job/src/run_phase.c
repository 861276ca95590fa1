// Phases of a batch's items, each with a linked list of its items.
#include "run_state.h"

/* Add delta to groups_by_waiting for a group, unless an item was abandoned. */
static void count_group(struct job_run *r, int group, int delta)
{
	if (!r->group_abandoned[group])
		r->groups_by_waiting[r->waiting[group]] += delta;
}

void run_abandon_group(struct job_run *r, int group)
{
	count_group(r, group, -1);
	r->group_abandoned[group] = true;
}

int run_near_limit(const struct job_run *r)
{
	int target = r->spec->target_groups;
	int n_items = (int)r->spec->n_items;
	int groups = 0;

	/* With one_version an interrupted text starts over, so samples that start last
	 * are late more often than the order helps. */
	if (target < 1 || target >= r->groups || r->opts.one_version)
		return n_items;
	for (int n = 0; n < n_items; n++) {
		groups += r->groups_by_waiting[n];
		if (groups >= target)
			return n;
	}
	return n_items;
}

static void phase_append(struct job_run *r, struct run_item *it,
			 enum job_phase phase)
{
	int i = (int)(it - r->items);

	it->phase = phase;
	it->next = -1;
	it->prev = r->last[phase];
	if (it->prev < 0)
		r->first[phase] = i;
	else
		r->items[it->prev].next = i;
	r->last[phase] = i;
	r->count[phase]++;
}

static void phase_remove(struct job_run *r, struct run_item *it)
{
	if (it->prev < 0)
		r->first[it->phase] = it->next;
	else
		r->items[it->prev].next = it->next;
	if (it->next < 0)
		r->last[it->phase] = it->prev;
	else
		r->items[it->next].prev = it->prev;
	r->count[it->phase]--;
}

void run_phases_init(struct job_run *r)
{
	for (int s = 0; s < JOB_PHASES; s++)
		r->first[s] = r->last[s] = -1;
	for (size_t i = 0; i < r->spec->n_items; i++) {
		phase_append(r, &r->items[i], JOB_WAITING);
		r->waiting[r->items[i].group]++;
	}
	for (size_t i = 0; i < r->spec->n_items; i++) {
		if (r->items[i].group == (int)i)
			count_group(r, (int)i, 1);
	}
}

void run_set_phase(struct job_run *r, struct run_item *it, enum job_phase phase)
{
	int *unfinished = &r->unfinished[it->group];
	int before = *unfinished;

	*unfinished += (phase < JOB_FINISHED) - (it->phase < JOB_FINISHED);
	r->groups_done += !*unfinished - !before;
	if (r->carried[it->group])
		r->carried_done += !*unfinished - !before;
	count_group(r, it->group, -1);
	r->waiting[it->group] +=
		(phase == JOB_WAITING) - (it->phase == JOB_WAITING);
	count_group(r, it->group, 1);
	phase_remove(r, it);
	phase_append(r, it, phase);
}

size_t job_run_count(const struct job_run *r, enum job_phase phase)
{
	return r->count[phase];
}

bool job_run_all_listed(const struct job_run *r)
{
	return r->count[JOB_LISTED] == r->spec->n_items;
}
