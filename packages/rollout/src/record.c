// Ownership record as a JSON object.
#include "rollout/record.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

void record_key(const char *team, const char *trainer, char *key)
{
	snprintf(key, RECORD_KEY_SIZE, "rollout/%s/%s", *team ? team : "_",
		 trainer);
}

char *record_format(const struct record *r)
{
	json_t *obj = json_pack("{s:I,s:s,s:s,s:s}", "epoch",
				(json_int_t)r->epoch, "owner", r->owner,
				"owner_inc", r->owner_inc, "backup", r->backup);
	char *text = obj ? json_dumps(obj, JSON_COMPACT) : NULL;

	json_decref(obj);
	return text;
}

static bool record_str(const json_t *obj, const char *key, char *dst,
		       size_t cap)
{
	const char *s = json_string_value(json_object_get(obj, key));

	if (!s || strlen(s) >= cap)
		return false;
	memcpy(dst, s, strlen(s) + 1);
	return true;
}

enum err record_parse(const char *text, size_t len, struct record *r)
{
	json_t *obj = json_loadb(text, len, 0, NULL);
	const json_t *epoch = json_object_get(obj, "epoch");
	bool ok = json_is_integer(epoch) && json_integer_value(epoch) > 0 &&
		  record_str(obj, "owner", r->owner, sizeof(r->owner)) &&
		  record_str(obj, "owner_inc", r->owner_inc,
			     sizeof(r->owner_inc)) &&
		  record_str(obj, "backup", r->backup, sizeof(r->backup));

	if (ok)
		r->epoch = (uint64_t)json_integer_value(epoch);
	json_decref(obj);
	return ok ? ERR_OK : ERR_PARSE;
}

bool record_same(const struct record *a, const struct record *b)
{
	return a->epoch == b->epoch && strcmp(a->owner, b->owner) == 0 &&
	       strcmp(a->owner_inc, b->owner_inc) == 0 &&
	       strcmp(a->backup, b->backup) == 0;
}
