// Writes and parses the JSON values of liveness keys.
#include "lead/live_value.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "core/settings.h"
#include "store_keys.h"

size_t live_value_write(struct core *c, bool retiring, char *buf, size_t len)
{
	const struct settings *s = core_settings(c);
	json_t *obj = json_pack(
		"{s:s,s:s,s:s,s:b,s:b}", "run", core_incarnation(c), "domain",
		core_domain(c), "peer", settings_str(s, S_PEER_LISTEN), "relay",
		settings_int(s, S_LEAD_CANDIDATE) == 1, "retiring", retiring);
	size_t n = obj ? json_dumpb(obj, buf, len, JSON_COMPACT) : 0;

	json_decref(obj);
	return n <= len ? n : 0;
}

static bool take_text(const json_t *obj, const char *name, char *to, size_t len)
{
	const char *text = json_string_value(json_object_get(obj, name));

	return text && (size_t)snprintf(to, len, "%s", text) < len;
}

enum err live_value_parse(const struct kv_item *item, struct live_value *out)
{
	const char *node = item->key + sizeof(KEY_LIVE) - 1;
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	bool ok;

	memset(out, 0, sizeof(*out));
	snprintf(out->node, sizeof(out->node), "%s", node);
	ok = take_text(obj, "run", out->run, sizeof(out->run)) &&
	     take_text(obj, "domain", out->domain, sizeof(out->domain)) &&
	     take_text(obj, "peer", out->peer, sizeof(out->peer));
	out->retiring = json_is_true(json_object_get(obj, "retiring"));
	out->relay = json_is_true(json_object_get(obj, "relay"));
	json_decref(obj);
	return ok ? ERR_OK : ERR_PARSE;
}
