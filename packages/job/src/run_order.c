// Order in which the items of a batch start, their groups, and the lookup by id.
#include <stdlib.h>
#include <string.h>

#include "run_state.h"

/// Sort entry of an item.
struct sort_item {
	int item;
	bool carried; ///< its group was carried over
	int64_t expected_tokens;
	const char *group;
	const char *id;
};

static int by_id(const void *a, const void *b)
{
	const struct sort_item *x = a;
	const struct sort_item *y = b;

	return strcmp(x->id, y->id);
}

int64_t job_run_remaining_events(const struct job_run *r)
{
	static const enum job_phase phases[] = {JOB_WAITING, JOB_SENT};
	int64_t events = 0;

	for (size_t k = 0; k < sizeof(phases) / sizeof(*phases); k++) {
		for (int i = r->first[phases[k]]; i >= 0;
		     i = r->items[i].next) {
			int64_t item_events =
				job_item_expected_tokens(&r->spec->items[i]) -
				(int64_t)r->items[i].text.last_event;

			/* A text longer than its hint has at least one to come. */
			events += item_events > 0 ? item_events : 1;
		}
	}
	return events;
}

/* Carried-over groups first, as they have delayed a step already; then by length. */
static int compare_start_order(const void *a, const void *b)
{
	const struct sort_item *x = a;
	const struct sort_item *y = b;

	if (x->carried != y->carried)
		return x->carried ? -1 : 1;
	if (x->expected_tokens != y->expected_tokens)
		return x->expected_tokens < y->expected_tokens ? 1 : -1;
	return x->item - y->item;
}

static int compare_groups(const void *a, const void *b)
{
	const struct sort_item *x = a;
	const struct sort_item *y = b;
	int c = strcmp(x->group, y->group);

	return c ? c : x->item - y->item;
}

static void init_groups(struct job_run *r, const struct sort_item *list,
			size_t n)
{
	int first = 0;

	for (size_t i = 0; i < n; i++) {
		if (i == 0 || strcmp(list[i].group, list[i - 1].group) != 0)
			first = list[i].item;
		r->items[list[i].item].group = first;
		r->carried[first] |= r->spec->items[list[i].item].carried;
		r->groups += !r->unfinished[first];
		r->unfinished[first]++;
	}
	for (size_t i = 0; i < n; i++)
		r->carried_groups += r->carried[i];
}

enum err run_order_init(struct job_run *r)
{
	size_t n = r->spec->n_items;
	struct sort_item *list = calloc(n + 1, sizeof(*list));

	if (!list)
		return ERR_NOMEM;
	for (size_t i = 0; i < n; i++) {
		const struct job_item *it = &r->spec->items[i];

		list[i] = (struct sort_item){(int)i, false,
					     job_item_expected_tokens(it),
					     it->group, it->id};
	}
	qsort(list, n, sizeof(*list), compare_groups);
	init_groups(r, list, n);
	for (size_t i = 0; i < n; i++)
		list[i].carried = r->carried[r->items[list[i].item].group];
	qsort(list, n, sizeof(*list), compare_start_order);
	for (size_t i = 0; i < n; i++)
		r->order[i] = list[i].item;
	qsort(list, n, sizeof(*list), by_id);
	for (size_t i = 0; i < n; i++)
		r->by_id[i] = list[i].item;
	free(list);
	return ERR_OK;
}

static const char *sorted_id(const struct job_run *r, size_t pos)
{
	return r->spec->items[r->by_id[pos]].id;
}

size_t run_find_id(const struct job_run *r, const char *id, size_t *n)
{
	size_t from = 0;
	size_t to = r->spec->n_items;

	while (from < to) {
		size_t mid = from + (to - from) / 2;

		if (strcmp(sorted_id(r, mid), id) < 0)
			from = mid + 1;
		else
			to = mid;
	}
	*n = 0;
	while (from + *n < r->spec->n_items &&
	       strcmp(sorted_id(r, from + *n), id) == 0)
		++*n;
	return from;
}

int job_run_find(const struct job_run *r, const char *id)
{
	size_t n;
	size_t pos = run_find_id(r, id, &n);

	return n ? r->by_id[pos] : -1;
}
