// Checks the reported weight versions, the staleness bound, the length, and that a
// redelivered sample has the same content.
#include "check.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fake_token.h"

static uint64_t check_seed(const struct trainer *t, const char *name)
{
	char text[256];
	int n = snprintf(text, sizeof(text), "%s/%s", t->opts.batch, name);

	return XXH64(text, (size_t)n, 0) & ((1ull << 53) - 1);
}

static uint64_t check_hash(const json_t *sample)
{
	char *tokens = json_dumps(json_object_get(sample, "tokens"), 0);
	char *segments = json_dumps(json_object_get(sample, "segments"), 0);
	uint64_t h = XXH64(tokens, strlen(tokens),
			   XXH64(segments, strlen(segments), 0));

	free(tokens);
	free(segments);
	return h;
}

static uint64_t check_int(const json_t *obj, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(obj, key));
}

/* Each token must be the one that its segment's weight version generates. */
static void check_tokens(struct trainer *t, const char *name, uint64_t prompt,
			 const json_t *sample)
{
	const json_t *tokens = json_object_get(sample, "tokens");
	const json_t *segments = json_object_get(sample, "segments");
	uint64_t seed = check_seed(t, name);
	size_t pos = 0;

	for (size_t i = 0; i < json_array_size(segments); i++) {
		const json_t *g = json_array_get(segments, i);
		uint64_t version = check_int(g, "version");
		size_t end = pos + check_int(g, "n");

		for (; pos < end; pos++) {
			uint32_t want = fake_token(prompt, seed, pos, version);

			if (json_integer_value(json_array_get(tokens, pos)) !=
			    (json_int_t)want) {
				trainer_fault(t, name, "version untrue");
				return;
			}
		}
		if (version + (uint64_t)t->opts.staleness <
		    (uint64_t)t->version)
			trainer_fault(t, name, "stale");
	}
	if (pos != json_array_size(tokens))
		trainer_fault(t, name, "segments don't cover the tokens");
}

static void check_length(struct trainer *t, const char *name, uint64_t prompt,
			 const json_t *sample)
{
	size_t n = json_array_size(json_object_get(sample, "tokens"));
	const char *finish =
		json_string_value(json_object_get(sample, "finish"));
	size_t stop = fake_stop_at(prompt, check_seed(t, name));
	size_t max = (size_t)t->opts.max_tokens;
	bool length = finish && strcmp(finish, "length") == 0;

	if (n != (stop < max ? stop : max) || length != (stop > max))
		trainer_fault(t, name, "not whole");
}

static void check_report(const struct trainer *t, const char *name,
			 const json_t *sample, uint64_t content)
{
	json_t *line = json_pack(
		"{s:s,s:s,s:i,s:i,s:O,s:I}", "sample", name, "batch",
		t->opts.batch, "session", t->opts.session, "version",
		t->version, "segments", json_object_get(sample, "segments"),
		"n",
		(json_int_t)json_array_size(json_object_get(sample, "tokens")));
	char *text;
	char hash[20];

	snprintf(hash, sizeof(hash), "%016llx", (unsigned long long)content);
	json_object_set_new(line, "content", json_string(hash));
	text = json_dumps(line, JSON_COMPACT);
	puts(text);
	fflush(stdout);
	free(text);
	json_decref(line);
}

void check_sample(struct trainer *t, const struct json_t *sample)
{
	const char *name = json_string_value(json_object_get(sample, "slot"));
	int i = trainer_slot(t, name);
	uint64_t content = check_hash(sample);
	uint32_t prompt[TRAINER_PROMPT];
	uint64_t hash;
	struct trainer_slot *s;

	if (i < 0) {
		trainer_fault(t, name ? name : "", "no such slot");
		return;
	}
	s = &t->slots[i];
	if (s->have) {
		t->repeats++;
		if (s->content != content)
			trainer_fault(t, name, "content changed");
		if (s->acked)
			trainer_fault(t, name, "came again after its ack");
		return;
	}
	trainer_prompt(t, i / t->opts.n, prompt);
	hash = fake_prompt_hash(prompt, TRAINER_PROMPT);
	check_tokens(t, name, hash, sample);
	check_length(t, name, hash, sample);
	s->have = true;
	s->content = content;
	t->have++;
	check_report(t, name, sample, content);
}
