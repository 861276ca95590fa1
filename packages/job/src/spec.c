// A batch's memory.
#include <stdlib.h>

#include "job/job_defs.h"

int64_t job_item_length(const struct job_item *it)
{
	return it->length_hint > 0 ? it->length_hint : it->tokens;
}

int64_t job_spec_work(const struct job_spec *s)
{
	int64_t work = 0;

	for (size_t i = 0; i < s->n_items; i++)
		work += job_item_length(&s->items[i]);
	return work;
}

void job_spec_free(struct job_spec *s)
{
	if (!s)
		return;
	arena_free(&s->arena);
	free(s);
}
