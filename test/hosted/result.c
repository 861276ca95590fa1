// Checks a batch's result against what the fake's servers generate.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "hosted.h"

/* Check one event's line and advance the text past it. */
static const char *check_event(const char **text, const char *id, int event,
			       int last, uint64_t *version)
{
	char expected[80];
	int len = snprintf(expected, sizeof(expected), "%s.%d.", id, event);
	char *end;

	if (strncmp(*text, expected, (size_t)len) != 0)
		return "an event is missing, out of order or of another item";
	*version = strtoull(*text + len, &end, 10);
	if (*end != (event < last ? '\n' : '\0'))
		return "an event has no newline, or the last one has one";
	*text = end + (event < last);
	return NULL;
}

/* @return mismatch, NULL if the score is the one that the servers gave */
static const char *check_score(const json_t *result, const char *id)
{
	const char *score = json_string_value(json_object_get(result, "score"));
	char expected[80];

	snprintf(expected, sizeof(expected), "seal.R%s", id);
	if (!hosted_needs_reward(id))
		return score ? "score of an item without a reward" : NULL;
	if (!score)
		return "completed without a score";
	return strcmp(score, expected) == 0 ? NULL : "score of another call";
}

const char *hosted_check_result(const json_t *result, const char *batch)
{
	const char *id = json_string_value(json_object_get(result, "id"));
	const char *text = json_string_value(json_object_get(result, "output"));
	const char *state = json_string_value(json_object_get(result, "state"));
	const json_t *versions = json_object_get(result, "versions");
	int n = id ? hosted_event_count(id) : 0;
	uint64_t v, last = 0;
	size_t k = 0;

	if (!id || !text || !state)
		return "result without id, output or state";
	if (hosted_reward_always_fails(id))
		return strcmp(state, "abandoned") == 0 ? NULL : "not abandoned";
	if (strcmp(state, "completed") != 0)
		return "not completed";
	if (strncmp(id, batch, strlen(batch)) != 0)
		return "item of another batch";
	for (int e = 1; e <= n; e++) {
		const char *error = check_event(&text, id, e, n, &v);

		if (error)
			return error;
		if (v != last && json_integer_value(json_array_get(
					 versions, k++)) != (json_int_t)v)
			return "weight versions differ from those of its events";
		last = v;
	}
	return json_array_size(versions) == k
		       ? check_score(result, id)
		       : "more weight versions than its events have";
}
