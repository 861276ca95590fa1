// Operations on keys. A document stores id, salt and hash, never the secret.
#include "op_key.h"

#include <string.h>

#include "doc.h"

enum err op_key_grant(json_t *root, const json_t *op,
		      struct conf_edit_info *info)
{
	const char *id, *team, *salt, *hash;
	json_t *keys = op_get_table(root, "keys");

	if (json_unpack((json_t *)op, "{s:s,s:s,s:s,s:s}", "key", &id, "team",
			&team, "salt", &salt, "hash", &hash) != 0 ||
	    strlen(id) != KEY_ID_LEN || !doc_name_valid(id) ||
	    !key_record_valid(salt, hash))
		return ERR_CONF_OP;
	if (!json_object_get(json_object_get(root, "teams"), team))
		return ERR_CONF_ABSENT;
	if (json_object_get(keys, id))
		return ERR_CONF_EXISTS;
	json_object_set_new(keys, id,
			    json_pack("{s:s,s:s,s:s}", "team", team, "salt",
				      salt, "hash", hash));
	return ERR_OK;
}

/// Evict the withdrawn keys that were granted first.
static void evict_withdrawn_keys(json_t *keys)
{
	size_t n = 0;
	const char *id;
	void *tmp;
	json_t *v;

	json_object_foreach(keys, id, v)
		n += json_is_true(json_object_get(v, "withdrawn"));
	json_object_foreach_safe(keys, tmp, id, v) {
		if (n <= CONF_WITHDRAWN_KEYS_MAX)
			return;
		if (!json_is_true(json_object_get(v, "withdrawn")))
			continue;
		json_object_del(keys, id);
		n--;
	}
}

enum err op_key_withdraw(json_t *root, const json_t *op,
			 struct conf_edit_info *info)
{
	const char *id = json_string_value(json_object_get(op, "key"));
	json_t *keys = op_get_table(root, "keys");
	json_t *k = id ? json_object_get(keys, id) : NULL;

	if (!id)
		return ERR_CONF_OP;
	if (!k || json_is_true(json_object_get(k, "withdrawn")))
		return ERR_CONF_ABSENT;
	json_object_set_new(k, "withdrawn", json_true());
	evict_withdrawn_keys(keys);
	return ERR_OK;
}

void op_key_withdraw_team(json_t *root, const char *team)
{
	json_t *keys = op_get_table(root, "keys");
	const char *id;
	json_t *v;

	json_object_foreach(keys, id, v) {
		const char *t = json_string_value(json_object_get(v, "team"));

		if (t && strcmp(t, team) == 0)
			json_object_set_new(v, "withdrawn", json_true());
	}
	evict_withdrawn_keys(keys);
}
