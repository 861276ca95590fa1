// Unfinished texts as JSON: an object an item.
#include "job/job_texts.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
	/// An event takes some 40 ms: shorter texts are made anew within half a
	/// second.
	TEXTS_LEAST_EVENTS = 12,
};

static bool worth_it(const struct job_run *r, int item)
{
	enum job_step step = job_run_step(r, item);

	return (step == JOB_WAITING || step == JOB_SENT) &&
	       job_run_text(r, item)->last_event >= TEXTS_LEAST_EVENTS;
}

static json_t *text_json(const struct job_item *it, const struct job_text *t)
{
	json_t *versions = json_array();

	for (int i = 0; i < t->n_versions; i++)
		json_array_append_new(versions,
				      json_integer((json_int_t)t->versions[i]));
	return json_pack("{s:s,s:I,s:s#,s:o}", "id", it->id, "event",
			 (json_int_t)t->last_event, "text", t->buf, (int)t->len,
			 "versions", versions);
}

/* Item with the longest text that is not in yet. */
static int longest(const struct job_run *r, const struct job_spec *spec,
		   const bool *in)
{
	int best = -1;

	for (size_t i = 0; i < spec->n_items; i++) {
		if (in[i] || !worth_it(r, (int)i))
			continue;
		if (best < 0 ||
		    job_run_text(r, (int)i)->len > job_run_text(r, best)->len)
			best = (int)i;
	}
	return best;
}

static json_t *texts_json(const struct job_run *r, const struct job_spec *spec,
			  bool *in, size_t max_bytes)
{
	json_t *arr = json_array();
	size_t bytes = 0;
	int item;

	while ((item = longest(r, spec, in)) >= 0) {
		const struct job_text *t = job_run_text(r, item);

		in[item] = true;
		bytes += t->len;
		if (bytes > max_bytes)
			break;
		/* A text that is no JSON string is left out: made anew. */
		json_array_append_new(arr, text_json(&spec->items[item], t));
	}
	return arr;
}

char *job_texts_make(const struct job_run *r, const struct job_spec *spec,
		     size_t max_bytes)
{
	bool *in = calloc(spec->n_items + 1, sizeof(*in));
	json_t *arr = in ? texts_json(r, spec, in, max_bytes) : NULL;
	char *text = NULL;

	if (json_array_size(arr))
		text = json_dumps(arr, JSON_COMPACT);
	json_decref(arr);
	free(in);
	return text;
}

static int item_of(const struct job_spec *spec, const char *id)
{
	for (size_t i = 0; id && i < spec->n_items; i++) {
		if (strcmp(spec->items[i].id, id) == 0)
			return (int)i;
	}
	return -1;
}

static bool take_one(struct job_run *r, const struct job_spec *spec,
		     const json_t *obj)
{
	const json_t *versions = json_object_get(obj, "versions");
	const json_t *text = json_object_get(obj, "text");
	int item = item_of(spec, json_string_value(json_object_get(obj, "id")));
	struct job_text t = {
		.buf = (char *)json_string_value(text),
		.len = json_string_length(text),
	};
	json_int_t event = json_integer_value(json_object_get(obj, "event"));

	if (item < 0 || !t.buf || json_array_size(versions) > JOB_VERSIONS ||
	    event < 1)
		return false;
	t.last_event = (uint64_t)event;
	for (size_t i = 0; i < json_array_size(versions); i++)
		t.versions[t.n_versions++] = (uint64_t)json_integer_value(
			json_array_get(versions, i));
	return job_run_restore(r, item, &t) == ERR_OK;
}

enum err job_texts_take(struct job_run *r, const struct job_spec *spec,
			const char *value, size_t len, int *n)
{
	json_t *arr = json_loadb(value, len, JSON_ALLOW_NUL, NULL);
	enum err e = json_is_array(arr) ? ERR_OK : ERR_PARSE;

	*n = 0;
	for (size_t i = 0; i < json_array_size(arr); i++)
		*n += take_one(r, spec, json_array_get(arr, i));
	json_decref(arr);
	return e;
}
