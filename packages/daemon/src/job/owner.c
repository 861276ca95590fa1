// Encodes and parses a batch's keys in the store: its owner key and its submission.
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job/job.h"
#include "store_keys.h"

static void copy_text(const json_t *obj, const char *name, char *to, size_t len)
{
	const char *text = json_string_value(json_object_get(obj, name));

	snprintf(to, len, "%s", text ? text : "");
}

enum err job_owner_parse(const struct kv_item *item, struct job_owner *out)
{
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	const json_t *total = json_object_get(obj, "total");

	memset(out, 0, sizeof(*out));
	if (!json_is_integer(total) || json_integer_value(total) < 0) {
		json_decref(obj);
		return ERR_PARSE;
	}
	copy_text(obj, "node", out->node, sizeof(out->node));
	copy_text(obj, "run", out->incarnation, sizeof(out->incarnation));
	copy_text(obj, "team", out->team, sizeof(out->team));
	out->ended = json_is_true(json_object_get(obj, "ended"));
	out->complete = json_is_true(json_object_get(obj, "over"));
	out->total = (uint64_t)json_integer_value(total);
	out->submitted_ms = json_integer_value(json_object_get(obj, "at_ms"));
	json_decref(obj);
	return ERR_OK;
}

char *job_owner_encode(const struct job_owner *o)
{
	json_t *obj = json_pack("{s:s,s:s,s:s,s:b,s:b,s:I,s:I}", "node",
				o->node, "run", o->incarnation, "team", o->team,
				"ended", o->ended, "over", o->complete, "total",
				(json_int_t)o->total, "at_ms",
				(json_int_t)o->submitted_ms);
	char *text = obj ? json_dumps(obj, JSON_COMPACT) : NULL;

	json_decref(obj);
	return text;
}

bool job_owner_is_self(const struct core *c, const struct job_owner *o)
{
	return strcmp(o->node, core_node(c)) == 0 &&
	       strcmp(o->incarnation, core_incarnation(c)) == 0;
}

enum err job_owner_put(struct core *c, const char *id,
		       const struct job_owner *o, uint64_t prev_rev,
		       struct kv_cb cb)
{
	char *text = job_owner_encode(o);
	char key[STORE_KEY_SIZE];
	const struct kv_put_opts put = {
		.key = key,
		.value = text,
		.len = text ? strlen(text) : 0,
		.prev_rev = prev_rev,
	};
	enum err e = ERR_NOMEM;

	snprintf(key, sizeof(key), KEY_RUN "%s", id);
	if (text)
		e = kv_put(c, &put, cb);
	free(text);
	return e;
}

char *job_batch_encode(const struct job_spec *spec, const char *body,
		       size_t len, size_t *text_len)
{
	json_t *obj = json_pack("{s:s,s:s,s:s,s:I}", "host", spec->host, "path",
				spec->path, "team", spec->team, "at_ms",
				(json_int_t)spec->at_ms);
	char *head = obj ? json_dumps(obj, JSON_COMPACT) : NULL;
	size_t head_len = head ? strlen(head) : 0;
	char *text = head ? malloc(head_len + len + 2) : NULL;

	if (text) {
		memcpy(text, head, head_len);
		text[head_len] = '\n';
		memcpy(text + head_len + 1, body, len);
		text[head_len + 1 + len] = '\0';
		*text_len = head_len + 1 + len;
	}
	free(head);
	json_decref(obj);
	return text;
}

enum err job_batch_parse(const struct jobs *jobs, const char *id,
			 const char *value, size_t len, struct job_spec **out)
{
	const char *end = memchr(value, '\n', len);
	size_t head = end ? (size_t)(end - value) : 0;
	json_t *obj = end ? json_loadb(value, head, 0, NULL) : NULL;
	enum err e;

	if (!obj)
		return ERR_PARSE;
	e = jobs->wire->front->batch(end + 1, len - head - 1, out);
	if (e == ERR_OK) {
		struct job_spec *s = *out;

		snprintf(s->id, sizeof(s->id), "%s", id);
		copy_text(obj, "host", s->host, sizeof(s->host));
		copy_text(obj, "path", s->path, sizeof(s->path));
		copy_text(obj, "team", s->team, sizeof(s->team));
		s->at_ms = json_integer_value(json_object_get(obj, "at_ms"));
	}
	json_decref(obj);
	return e;
}
