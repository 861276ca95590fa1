// Unfinished texts as a JSON array with one object per item.
#include "job/job_texts.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
	/// An event takes about 40 ms: shorter texts are generated again within
	/// half a second.
	TEXT_MIN_EVENTS = 12,
};

static bool worth_saving(const struct job_run *r, int item)
{
	const struct job_text *t = job_run_text(r, item);

	if (job_run_phase(r, item) == JOB_LISTED)
		return false;
	return t->complete || t->last_event >= TEXT_MIN_EVENTS;
}

static json_t *text_json(const struct job_item *it, const struct job_text *t)
{
	json_t *versions = json_array();

	for (int i = 0; i < t->n_versions; i++)
		json_array_append_new(versions,
				      json_integer((json_int_t)t->versions[i]));
	return json_pack("{s:s,s:I,s:s#,s:o,s:b,s:s*}", "id", it->id, "event",
			 (json_int_t)t->last_event, "text", t->buf, (int)t->len,
			 "versions", versions, "whole", t->complete, "score",
			 t->score);
}

/// Sort entry of a text.
struct sort_text {
	int item;
	size_t len;
};

static int compare_text_len(const void *a, const void *b)
{
	const struct sort_text *x = a;
	const struct sort_text *y = b;

	if (x->len != y->len)
		return x->len < y->len ? 1 : -1;
	return x->item - y->item;
}

static json_t *texts_json(const struct job_run *r, const struct job_spec *spec,
			  struct sort_text *list, size_t max_bytes)
{
	json_t *arr = json_array();
	size_t bytes = 0;
	size_t n = 0;

	for (size_t i = 0; i < spec->n_items; i++) {
		if (worth_saving(r, (int)i))
			list[n++] = (struct sort_text){
				(int)i, job_run_text(r, (int)i)->len};
	}
	if (n)
		qsort(list, n, sizeof(*list), compare_text_len);
	for (size_t i = 0; i < n; i++) {
		int item = list[i].item;

		bytes += list[i].len;
		if (bytes > max_bytes)
			break;
		/* A text that is no valid JSON string is skipped and will be
		 * generated again. */
		json_array_append_new(arr, text_json(&spec->items[item],
						     job_run_text(r, item)));
	}
	return arr;
}

char *job_texts_encode(const struct job_run *r, const struct job_spec *spec,
		       size_t max_bytes)
{
	struct sort_text *list = calloc(spec->n_items + 1, sizeof(*list));
	json_t *arr = list ? texts_json(r, spec, list, max_bytes) : NULL;
	char *text = NULL;

	if (json_array_size(arr))
		text = json_dumps(arr, JSON_COMPACT);
	json_decref(arr);
	free(list);
	return text;
}

static bool restore_text(struct job_run *r, const json_t *obj)
{
	const json_t *versions = json_object_get(obj, "versions");
	const json_t *text = json_object_get(obj, "text");
	const char *id = json_string_value(json_object_get(obj, "id"));
	int item = id ? job_run_find(r, id) : -1;
	struct job_text t = {
		.buf = (char *)json_string_value(text),
		.len = json_string_length(text),
	};
	json_int_t event = json_integer_value(json_object_get(obj, "event"));

	if (item < 0 || !t.buf ||
	    json_array_size(versions) > JOB_VERSIONS_MAX || event < 1)
		return false;
	t.last_event = (uint64_t)event;
	t.complete = json_is_true(json_object_get(obj, "whole"));
	t.score = (char *)json_string_value(json_object_get(obj, "score"));
	for (size_t i = 0; i < json_array_size(versions); i++)
		t.versions[t.n_versions++] = (uint64_t)json_integer_value(
			json_array_get(versions, i));
	return job_run_restore(r, item, &t) == ERR_OK;
}

enum err job_texts_decode(struct job_run *r, const char *value, size_t len,
			  int *n)
{
	json_t *arr = json_loadb(value, len, JSON_ALLOW_NUL, NULL);
	enum err e = json_is_array(arr) ? ERR_OK : ERR_PARSE;

	*n = 0;
	for (size_t i = 0; i < json_array_size(arr); i++)
		*n += restore_text(r, json_array_get(arr, i));
	json_decref(arr);
	return e;
}
