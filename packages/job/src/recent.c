// Recent batches as a ring of sorted arrays of item id hashes.
#include "job/recent.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t hash_text(const char *text, uint64_t seed)
{
	return XXH64(text, strlen(text), seed);
}

static int compare_hashes(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static bool in_earlier_batch(const struct job_recent *s, uint64_t trainer,
			     uint64_t batch, uint64_t item)
{
	for (size_t i = 0; i < RECENT_BATCHES_MAX; i++) {
		const struct job_recent_batch *b = &s->batches[i];

		/* A batch that is restarted carries nothing over from itself. */
		if (b->items && b->trainer == trainer && b->id != batch &&
		    bsearch(&item, b->items, b->n, sizeof(item),
			    compare_hashes))
			return true;
	}
	return false;
}

/* The batch is not remembered if it is already, or when out of memory. */
static void add_batch(struct job_recent *s, uint64_t trainer, uint64_t batch,
		      const struct job_spec *spec)
{
	size_t n = spec->n_items < RECENT_ITEMS_MAX ? spec->n_items
						    : RECENT_ITEMS_MAX;
	struct job_recent_batch *b;

	for (size_t i = 0; i < RECENT_BATCHES_MAX; i++) {
		b = &s->batches[i];
		if (b->items && b->trainer == trainer && b->id == batch)
			return;
	}
	b = &s->batches[s->next];
	s->next = (s->next + 1) % RECENT_BATCHES_MAX;
	free(b->items);
	*b = (struct job_recent_batch){trainer, batch, NULL, n};
	b->items = malloc((n + 1) * sizeof(*b->items));
	if (!b->items)
		return;
	for (size_t i = 0; i < n; i++)
		b->items[i] = hash_text(spec->items[i].id, 0);
	qsort(b->items, n, sizeof(*b->items), compare_hashes);
}

size_t job_recent_mark_carried(struct job_recent *s, struct job_spec *spec)
{
	uint64_t trainer = hash_text(spec->model, hash_text(spec->team, 0));
	uint64_t batch = hash_text(spec->id, 0);
	size_t carried = 0;

	for (size_t i = 0; i < spec->n_items; i++) {
		struct job_item *it = &spec->items[i];

		it->carried = in_earlier_batch(s, trainer, batch,
					       hash_text(it->id, 0));
		carried += it->carried;
	}
	add_batch(s, trainer, batch, spec);
	return carried;
}

void job_recent_free(struct job_recent *s)
{
	for (size_t i = 0; i < RECENT_BATCHES_MAX; i++)
		free(s->batches[i].items);
	memset(s, 0, sizeof(*s));
}
