// Ids of a batch, expected lengths of its items, and freeing of it.
#include <stdlib.h>
#include <string.h>

#include "http/syntax.h"
#include "job/job_defs.h"

bool job_id_valid(const char *text)
{
	return http_word_valid(text) && strlen(text) < JOB_ID_BYTES;
}

bool job_batch_id_valid(const char *text)
{
	return job_id_valid(text) && !strchr(text, '/');
}

int64_t job_item_expected_tokens(const struct job_item *it)
{
	return it->length_hint > 0 ? it->length_hint : it->tokens;
}

int64_t job_item_memory_tokens(const struct job_item *it)
{
	int64_t length = job_item_expected_tokens(it);

	return length < it->tokens ? length : it->tokens;
}

int64_t job_spec_expected_tokens(const struct job_spec *s)
{
	int64_t tokens = 0;

	for (size_t i = 0; i < s->n_items; i++)
		tokens += job_item_expected_tokens(&s->items[i]);
	return tokens;
}

static int compare_longest_first(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

int64_t job_spec_longest_threshold(const struct job_spec *s, double share)
{
	size_t n = (size_t)(share * (double)s->n_items);
	int64_t *lengths = calloc(s->n_items + 1, sizeof(*lengths));
	int64_t threshold = INT64_MAX;

	for (size_t i = 0; lengths && i < s->n_items; i++)
		lengths[i] = job_item_expected_tokens(&s->items[i]);
	if (lengths && n) {
		qsort(lengths, s->n_items, sizeof(*lengths),
		      compare_longest_first);
		threshold = lengths[n < s->n_items ? n - 1 : s->n_items - 1];
	}
	free(lengths);
	return threshold;
}

void job_spec_free(struct job_spec *s)
{
	if (!s)
		return;
	arena_free(&s->arena);
	free(s);
}
