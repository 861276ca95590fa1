// Order in which the items of a batch are started, and their groups.
#include <stdlib.h>
#include <string.h>

#include "run_state.h"

/// An item while the items are sorted.
struct ranked {
	int item;
	bool carried; ///< its group was
	int64_t weight;
	const char *group;
	const char *id;
};

static int by_id(const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	return strcmp(x->id, y->id);
}

int64_t job_run_left(const struct job_run *r)
{
	static const enum job_step steps[] = {JOB_WAITING, JOB_SENT};
	int64_t left = 0;

	for (size_t k = 0; k < sizeof(steps) / sizeof(*steps); k++) {
		for (int i = r->first[steps[k]]; i >= 0; i = r->items[i].next) {
			int64_t more = job_item_length(&r->spec->items[i]) -
				       (int64_t)r->items[i].text.last_event;

			/* A text that outgrew its hint makes one at least. */
			left += more > 0 ? more : 1;
		}
	}
	return left;
}

/* Groups that were carried over held up a step already: they come before. */
static int longest_first(const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	if (x->carried != y->carried)
		return x->carried ? -1 : 1;
	if (x->weight != y->weight)
		return x->weight < y->weight ? 1 : -1;
	return x->item - y->item;
}

static int by_group(const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;
	int c = strcmp(x->group, y->group);

	return c ? c : x->item - y->item;
}

static void take_groups(struct job_run *r, const struct ranked *list, size_t n)
{
	int first = 0;

	for (size_t i = 0; i < n; i++) {
		if (i == 0 || strcmp(list[i].group, list[i - 1].group) != 0)
			first = list[i].item;
		r->items[list[i].item].group = first;
		r->carried[first] |= r->spec->items[list[i].item].carried;
		r->groups += !r->open[first];
		r->open[first]++;
	}
}

enum err run_order(struct job_run *r)
{
	size_t n = r->spec->n_items;
	struct ranked *list = calloc(n + 1, sizeof(*list));

	if (!list)
		return ERR_NOMEM;
	for (size_t i = 0; i < n; i++) {
		const struct job_item *it = &r->spec->items[i];

		list[i] = (struct ranked){(int)i, false, job_item_length(it),
					  it->group, it->id};
	}
	qsort(list, n, sizeof(*list), by_group);
	take_groups(r, list, n);
	for (size_t i = 0; i < n; i++)
		list[i].carried = r->carried[r->items[list[i].item].group];
	qsort(list, n, sizeof(*list), longest_first);
	for (size_t i = 0; i < n; i++)
		r->order[i] = list[i].item;
	qsort(list, n, sizeof(*list), by_id);
	for (size_t i = 0; i < n; i++)
		r->by_id[i] = list[i].item;
	free(list);
	return ERR_OK;
}

static const char *id_at(const struct job_run *r, size_t at)
{
	return r->spec->items[r->by_id[at]].id;
}

size_t run_find(const struct job_run *r, const char *id, size_t *n)
{
	size_t from = 0;
	size_t to = r->spec->n_items;

	while (from < to) {
		size_t mid = from + (to - from) / 2;

		if (strcmp(id_at(r, mid), id) < 0)
			from = mid + 1;
		else
			to = mid;
	}
	*n = 0;
	while (from + *n < r->spec->n_items &&
	       strcmp(id_at(r, from + *n), id) == 0)
		++*n;
	return from;
}

int job_run_find(const struct job_run *r, const char *id)
{
	size_t n;
	size_t at = run_find(r, id, &n);

	return n ? r->by_id[at] : -1;
}
