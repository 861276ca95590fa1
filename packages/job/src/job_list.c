// Results of a batch: JSON records in the store, an indexed list in memory.
#include "job/job_list.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
	LIST_MIN_RESULTS = 32, ///< initial capacity of a list
	INDEX_SLOTS_PER_RESULT = 2, ///< at most half of the index is in use
};

void job_list_init(struct job_list *l)
{
	memset(l, 0, sizeof(*l));
	arena_init(&l->arena, 0);
}

void job_list_free(struct job_list *l)
{
	arena_free(&l->arena);
	free(l->results);
	free(l->index);
	memset(l, 0, sizeof(*l));
}

/* Slot of an item in the index, or the free slot where it would be inserted. */
static size_t index_slot(const struct job_list *l, const char *id)
{
	size_t slot = XXH64(id, strlen(id), 0) & (l->index_cap - 1);

	while (l->index[slot] &&
	       strcmp(l->results[l->index[slot] - 1].id, id) != 0)
		slot = (slot + 1) & (l->index_cap - 1);
	return slot;
}

int64_t job_list_find(const struct job_list *l, const char *id)
{
	return l->n ? (int64_t)l->index[index_slot(l, id)] - 1 : -1;
}

static bool index_grow(struct job_list *l, size_t cap)
{
	uint32_t *p = calloc(cap, sizeof(*p));

	if (!p)
		return false;
	free(l->index);
	l->index = p;
	l->index_cap = cap;
	for (size_t i = 0; i < l->n; i++)
		l->index[index_slot(l, l->results[i].id)] = (uint32_t)i + 1;
	return true;
}

static bool list_reserve(struct job_list *l)
{
	size_t cap = l->cap ? 2 * l->cap : LIST_MIN_RESULTS;
	struct job_result *p;

	if (l->n < l->cap)
		return true;
	p = realloc(l->results, cap * sizeof(*p));
	if (!p)
		return false;
	l->results = p;
	if (!index_grow(l, cap * INDEX_SLOTS_PER_RESULT))
		return false;
	l->cap = cap;
	return true;
}

static bool parse_versions(const json_t *arr, struct job_result *r)
{
	size_t n = json_array_size(arr);

	if (!json_is_array(arr) || n > JOB_VERSIONS_MAX)
		return false;
	for (size_t i = 0; i < n; i++)
		r->versions[i] =
			(uint64_t)json_integer_value(json_array_get(arr, i));
	r->n_versions = (int)n;
	return true;
}

static enum err add_result(struct job_list *l, const json_t *obj)
{
	const json_t *text = json_object_get(obj, "text");
	const char *id = json_string_value(json_object_get(obj, "id"));
	const char *score = json_string_value(json_object_get(obj, "score"));
	struct job_result r = {
		.state = json_is_true(json_object_get(obj, "abandoned"))
				 ? JOB_ABANDONED
				 : JOB_COMPLETED,
		.text_len = json_string_length(text),
	};

	if (!id || !json_is_string(text) ||
	    !parse_versions(json_object_get(obj, "versions"), &r))
		return ERR_PARSE;
	if (job_list_find(l, id) >= 0)
		return ERR_OK;
	r.id = arena_strdup(&l->arena, id);
	r.text = arena_strndup(&l->arena, json_string_value(text), r.text_len);
	r.score = score ? arena_strdup(&l->arena, score) : NULL;
	if (!r.id || !r.text || !r.score != !score || !list_reserve(l))
		return ERR_NOMEM;
	l->index[index_slot(l, r.id)] = (uint32_t)l->n + 1;
	l->results[l->n++] = r;
	return ERR_OK;
}

enum err job_list_add(struct job_list *l, uint64_t number, const char *value,
		      size_t len)
{
	json_t *obj;
	const json_t *arr;
	enum err e = ERR_OK;

	if (number < l->records)
		return ERR_OK;
	if (number > l->records)
		return ERR_NOT_FOUND;
	obj = json_loadb(value, len, JSON_ALLOW_NUL, NULL);
	arr = json_object_get(obj, "results");
	if (!json_is_array(arr))
		e = ERR_PARSE;
	for (size_t i = 0; e == ERR_OK && i < json_array_size(arr); i++)
		e = add_result(l, json_array_get(arr, i));
	if (e == ERR_OK)
		l->records++;
	json_decref(obj);
	return e;
}

void job_list_answered(struct job_list *l, enum err added, bool more,
		       uint64_t rev)
{
	/* After a gap the records are listed again, from the last one that is known. */
	if (added != ERR_OK)
		l->rev = 0;
	else if (!more && rev > l->rev)
		l->rev = rev;
}

struct job_page job_list_page(const struct job_list *l, uint64_t after,
			      size_t max_bytes)
{
	struct job_page page = {.next = after};
	size_t bytes = 0;

	if (after >= l->n)
		return page;
	page.results = l->results + after;
	for (size_t i = after; i < l->n; i++) {
		bytes += l->results[i].text_len;
		if (page.n && bytes > max_bytes)
			break;
		page.n++;
	}
	page.next = after + page.n;
	return page;
}

static json_t *result_json(const struct job_result *r)
{
	json_t *versions = json_array();

	for (int i = 0; i < r->n_versions; i++)
		json_array_append_new(versions,
				      json_integer((json_int_t)r->versions[i]));
	return json_pack("{s:s,s:b,s:s#,s:o,s:s*}", "id", r->id, "abandoned",
			 r->state == JOB_ABANDONED, "text",
			 r->text ? r->text : "", (int)r->text_len, "versions",
			 versions, "score", r->score);
}

char *job_record_encode(const char *writer, const struct job_result *results,
			size_t n)
{
	json_t *arr = json_array();
	json_t *obj;
	char *text;

	for (size_t i = 0; i < n; i++) {
		if (json_array_append_new(arr, result_json(&results[i])) < 0) {
			json_decref(arr);
			return NULL;
		}
	}
	obj = json_pack("{s:s,s:o}", "writer", writer, "results", arr);
	text = obj ? json_dumps(obj, JSON_COMPACT) : NULL;
	json_decref(obj);
	return text;
}

bool job_record_written_by(const char *value, size_t len, const char *writer)
{
	json_t *obj = json_loadb(value, len, JSON_ALLOW_NUL, NULL);
	const char *found = json_string_value(json_object_get(obj, "writer"));
	bool match = found && strcmp(found, writer) == 0;

	json_decref(obj);
	return match;
}
