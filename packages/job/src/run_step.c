// The steps of a batch's items: a list of items each.
#include "run_state.h"

/* Count a group among those with as many items that wait as it has. */
static void count_unsent(struct job_run *r, int group, int by)
{
	if (!r->spoilt[group])
		r->by_unsent[r->unsent[group]] += by;
}

void run_spoil(struct job_run *r, int group)
{
	count_unsent(r, group, -1);
	r->spoilt[group] = true;
}

int run_near(const struct job_run *r)
{
	int target = r->spec->target_groups;
	int most = (int)r->spec->n_items;
	int groups = 0;

	/* A text of one version begins anew when its run breaks off: a sample that
	 * comes last is then late more often than the order saves. */
	if (target < 1 || target >= r->groups || r->opts.one_version)
		return most;
	for (int n = 0; n < most; n++) {
		groups += r->by_unsent[n];
		if (groups >= target)
			return n;
	}
	return most;
}

static void step_add(struct job_run *r, struct run_item *it, enum job_step step)
{
	int i = (int)(it - r->items);

	it->step = step;
	it->next = -1;
	it->prev = r->last[step];
	if (it->prev < 0)
		r->first[step] = i;
	else
		r->items[it->prev].next = i;
	r->last[step] = i;
	r->count[step]++;
}

static void step_remove(struct job_run *r, struct run_item *it)
{
	if (it->prev < 0)
		r->first[it->step] = it->next;
	else
		r->items[it->prev].next = it->next;
	if (it->next < 0)
		r->last[it->step] = it->prev;
	else
		r->items[it->next].prev = it->prev;
	r->count[it->step]--;
}

void run_steps_init(struct job_run *r)
{
	for (int s = 0; s < JOB_STEPS; s++)
		r->first[s] = r->last[s] = -1;
	for (size_t i = 0; i < r->spec->n_items; i++) {
		step_add(r, &r->items[i], JOB_WAITING);
		r->unsent[r->items[i].group]++;
	}
	for (size_t i = 0; i < r->spec->n_items; i++) {
		if (r->items[i].group == (int)i)
			count_unsent(r, (int)i, 1);
	}
}

void run_step(struct job_run *r, struct run_item *it, enum job_step step)
{
	int *open = &r->open[it->group];
	int before = *open;

	*open += (step < JOB_READY) - (it->step < JOB_READY);
	r->groups_over += !*open - !before;
	count_unsent(r, it->group, -1);
	r->unsent[it->group] +=
		(step == JOB_WAITING) - (it->step == JOB_WAITING);
	count_unsent(r, it->group, 1);
	step_remove(r, it);
	step_add(r, it, step);
}

size_t job_run_count(const struct job_run *r, enum job_step step)
{
	return r->count[step];
}

bool job_run_over(const struct job_run *r)
{
	return r->count[JOB_LISTED] == r->spec->n_items;
}
