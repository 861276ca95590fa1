// Parses and formats batches, samples and engine lines. Every member of a batch
// is validated before use.
#include "rollout/batch_json.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	BATCH_ENGINE_PRIORITY = 3, ///< 0 to 9; below interactive requests
};

static bool json_name(const json_t *obj, const char *key, char *buf)
{
	const char *s = json_string_value(json_object_get(obj, key));

	if (!batch_name_is_valid(s))
		return false;
	snprintf(buf, BATCH_NAME_SIZE, "%s", s);
	return true;
}

/* An absent member keeps its default. */
static bool json_count(const json_t *obj, const char *key, json_int_t min,
		       json_int_t max, uint64_t *out)
{
	const json_t *v = json_object_get(obj, key);

	if (!v)
		return *out >= (uint64_t)min;
	if (!json_is_integer(v) || json_integer_value(v) < min ||
	    json_integer_value(v) > max)
		return false;
	*out = (uint64_t)json_integer_value(v);
	return true;
}

static bool json_tokens(const json_t *list, uint32_t **out, size_t *n)
{
	size_t count = json_array_size(list);
	uint32_t *v;

	if (!json_is_array(list) || count > BATCH_MAX_TOKENS)
		return false;
	v = calloc(count + 1, sizeof(*v));
	if (!v)
		return false;
	for (size_t i = 0; i < count; i++) {
		const json_t *t = json_array_get(list, i);

		if (!json_is_integer(t) || json_integer_value(t) < 0 ||
		    json_integer_value(t) > UINT32_MAX) {
			free(v);
			return false;
		}
		v[i] = (uint32_t)json_integer_value(t);
	}
	*out = v;
	*n = count;
	return true;
}

static const char *batch_group_parse(const json_t *obj, struct batch_group *g)
{
	uint64_t n = 0;
	uint64_t max_tokens = 0;
	uint64_t expect;

	if (!json_name(obj, "group", g->name))
		return "groups.group";
	if (!json_count(obj, "n", 1, BATCH_MAX_SLOTS, &n))
		return "groups.n";
	if (!json_count(obj, "max_tokens", 1, BATCH_MAX_TOKENS, &max_tokens))
		return "groups.max_tokens";
	expect = max_tokens;
	if (!json_count(obj, "expect_tokens", 1, BATCH_MAX_TOKENS, &expect))
		return "groups.expect_tokens";
	if (!json_tokens(json_object_get(obj, "prompt"), &g->prompt,
			 &g->n_prompt))
		return "groups.prompt";
	g->n = (uint32_t)n;
	g->max_tokens = (uint32_t)max_tokens;
	g->expect_tokens = (uint32_t)expect;
	g->prefix = batch_prefix_hash(g->prompt, g->n_prompt);
	return NULL;
}

static int batch_name_cmp(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static bool batch_names_unique(const struct batch *b)
{
	const char **names = calloc(b->n_groups, sizeof(*names));
	bool differ = names != NULL;

	for (size_t i = 0; differ && i < b->n_groups; i++)
		names[i] = b->groups[i].name;
	if (differ)
		qsort(names, b->n_groups, sizeof(*names), batch_name_cmp);
	for (size_t i = 1; differ && i < b->n_groups; i++)
		differ = strcmp(names[i - 1], names[i]) != 0;
	free(names);
	return differ;
}

static const char *batch_groups_parse(const json_t *list, struct batch *b)
{
	size_t n = json_array_size(list);

	if (!json_is_array(list) || n == 0 || n > BATCH_MAX_GROUPS)
		return "groups";
	b->groups = calloc(n, sizeof(*b->groups));
	if (!b->groups)
		return "groups";
	for (size_t i = 0; i < n; i++) {
		struct batch_group *g = &b->groups[i];
		const char *why;

		b->n_groups = i + 1;
		why = batch_group_parse(json_array_get(list, i), g);
		if (why)
			return why;
		g->first = (uint32_t)b->n_slots;
		b->n_slots += g->n;
		if (b->n_slots > BATCH_MAX_SLOTS)
			return "groups.n";
	}
	return batch_names_unique(b) ? NULL : "groups.group";
}

static const char *batch_members_parse(const json_t *obj, struct batch *b)
{
	if (!json_name(obj, "batch", b->id))
		return "batch";
	if (!json_name(obj, "trainer", b->trainer))
		return "trainer";
	if (!json_name(obj, "route", b->route))
		return "route";
	if (!json_count(obj, "step", 0, INT64_MAX, &b->step))
		return "step";
	if (!json_count(obj, "version", 0, INT64_MAX, &b->version))
		return "version";
	if (!json_count(obj, "max_staleness", 0, INT64_MAX, &b->max_staleness))
		return "max_staleness";
	return batch_groups_parse(json_object_get(obj, "groups"), b);
}

enum err batch_parse(const char *text, size_t len, struct batch **out,
		     const char **why)
{
	json_t *obj = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	struct batch *b;

	*why = "body";
	if (!obj)
		return ERR_PARSE;
	b = calloc(1, sizeof(*b));
	if (!b) {
		json_decref(obj);
		return ERR_NOMEM;
	}
	b->max_staleness = BATCH_STALENESS_UNSET;
	*why = batch_members_parse(obj, b);
	json_decref(obj);
	if (*why) {
		batch_free(b);
		return ERR_BATCH_INVALID;
	}
	*out = b;
	return ERR_OK;
}

static json_t *tokens_json(const uint32_t *tokens, size_t n)
{
	json_t *list = json_array();

	for (size_t i = 0; i < n; i++)
		json_array_append_new(list, json_integer(tokens[i]));
	return list;
}

struct json_t *batch_sample_json(const char *slot, uint64_t seed,
				 const struct sample *s)
{
	json_t *segments = json_array();

	for (size_t i = 0; i < s->n_segments; i++) {
		json_array_append_new(
			segments, json_pack("{s:I,s:I}", "version",
					    (json_int_t)s->segments[i].version,
					    "n", (json_int_t)s->segments[i].n));
	}
	return json_pack("{s:s,s:I,s:o,s:o,s:s,s:s}", "slot", slot, "seed",
			 (json_int_t)seed, "tokens",
			 tokens_json(s->tokens, s->n), "segments", segments,
			 "finish", s->finish == SAMPLE_STOP ? "stop" : "length",
			 "server", s->server);
}

char *batch_engine_request(const struct batch *b, size_t slot, const char *id,
			   const struct sample *resume_from)
{
	const struct batch_group *g = batch_group_of(b, slot);
	json_t *obj = json_pack("{s:s,s:o,s:I,s:i,s:I}", "id", id, "prompt",
				tokens_json(g->prompt, g->n_prompt),
				"max_tokens", (json_int_t)g->max_tokens,
				"priority", BATCH_ENGINE_PRIORITY, "seed",
				(json_int_t)batch_slot_seed(b, slot));
	char *text;

	if (resume_from->n > 0)
		json_object_set_new(
			obj, "resume",
			tokens_json(resume_from->tokens, resume_from->n));
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static enum err engine_segment(struct sample *s, const json_t *obj)
{
	const json_t *version = json_object_get(obj, "version");
	uint32_t *tokens;
	size_t n;
	enum err e;

	if (!json_is_integer(version) || json_integer_value(version) < 0 ||
	    !json_tokens(json_object_get(obj, "tokens"), &tokens, &n))
		return ERR_PARSE;
	e = sample_add(s, (uint64_t)json_integer_value(version), tokens, n);
	free(tokens);
	return e;
}

static enum err engine_end(struct sample *s, const json_t *obj,
			   enum engine_line_kind *kind)
{
	const char *finish = json_string_value(json_object_get(obj, "finish"));

	*kind = ENGINE_END;
	if (!finish)
		return ERR_PARSE;
	if (strcmp(finish, "stop") == 0)
		s->finish = SAMPLE_STOP;
	else if (strcmp(finish, "length") == 0)
		s->finish = SAMPLE_LENGTH;
	else
		*kind = ENGINE_CANCELLED;
	return ERR_OK;
}

enum err engine_line(struct sample *s, const char *line, size_t len,
		     enum engine_line_kind *kind)
{
	json_t *obj = json_loadb(line, len, 0, NULL);
	const char *type = json_string_value(json_object_get(obj, "type"));
	enum err e = ERR_PARSE;

	*kind = ENGINE_SEGMENT;
	if (type && strcmp(type, "segment") == 0)
		e = engine_segment(s, obj);
	else if (type && strcmp(type, "end") == 0)
		e = engine_end(s, obj, kind);
	json_decref(obj);
	return e;
}
