// Encodes and decodes intents as JSON.
#include "duty_intent.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

char *duty_intent_encode(const char *path, const char *body, size_t len,
			 int64_t wall_ms, bool answered)
{
	json_t *order = json_loadb(body, len, 0, NULL);
	json_t *obj;
	char *text;

	if (!json_is_object(order)) {
		json_decref(order);
		return NULL;
	}
	obj = json_pack("{s:s,s:o,s:I,s:b}", "path", path, "order", order,
			"wall_ms", (json_int_t)wall_ms, "over", (int)answered);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

bool duty_intent_decode(const char *value, size_t len, uint64_t epoch,
			struct duty_intent *out)
{
	json_t *obj = json_loadb(value, len, 0, NULL);
	json_t *order = json_object_get(obj, "order");
	const char *path = json_string_value(json_object_get(obj, "path"));
	bool ok = path && json_is_object(order);

	*out = (struct duty_intent){NULL};
	if (ok) {
		json_object_set_new(order, "epoch",
				    json_integer((json_int_t)epoch));
		out->path = strdup(path);
		out->body = json_dumps(order, JSON_COMPACT);
		out->answered = json_is_true(json_object_get(obj, "over"));
		out->wall_ms =
			json_integer_value(json_object_get(obj, "wall_ms"));
	}
	json_decref(obj);
	return ok;
}

bool duty_intent_order_id(const char *body, size_t len, char *buf, size_t size)
{
	json_t *obj = json_loadb(body, len, 0, NULL);
	const char *id = json_string_value(json_object_get(obj, "id"));
	json_t *window = json_object_get(obj, "window");
	int n = -1;

	if (id && *id)
		n = snprintf(buf, size, "%s", id);
	else if (json_is_integer(window))
		n = snprintf(buf, size, "%lld",
			     (long long)json_integer_value(window));
	json_decref(obj);
	return n > 0 && (size_t)n < size;
}

void duty_intent_free(struct duty_intent *in)
{
	free(in->path);
	free(in->body);
}
