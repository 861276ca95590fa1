// Operations on routes. doc_build() later validates the resulting route.
#include "op_route.h"

#include <stdio.h>
#include <string.h>

#include "doc.h"

static const char *const attrs[] = {
	"target", "service", "open", "idempotent", "keep_cut_off", "teams",
};

enum {
	N_ATTRS = sizeof(attrs) / sizeof(attrs[0]),
};

static const char *valid_route_name(const json_t *op)
{
	const char *name = json_string_value(json_object_get(op, "route"));

	return doc_name_valid(name) ? name : NULL;
}

static enum err check_teams(json_t *root, json_t *teams,
			    struct conf_edit_info *info)
{
	json_t *known = json_object_get(root, "teams");
	size_t i;
	json_t *v;

	json_array_foreach(teams, i, v) {
		const char *t = json_string_value(v);

		if (t && json_object_get(known, t))
			continue;
		snprintf(info->detail, sizeof(info->detail), "no team %.63s",
			 t ? t : "named");
		return ERR_CONF_ABSENT;
	}
	return ERR_OK;
}

enum err op_route_add(json_t *root, const json_t *op,
		      struct conf_edit_info *info)
{
	const char *name = valid_route_name(op);
	json_t *routes = op_get_table(root, "routes");
	json_t *r;

	if (!name)
		return ERR_CONF_OP;
	if (json_object_get(routes, name))
		return ERR_CONF_EXISTS;
	r = json_object();
	json_object_set_new(routes, name, r);
	for (size_t i = 0; i < N_ATTRS; i++) {
		json_t *v = json_object_get(op, attrs[i]);

		if (v)
			json_object_set(r, attrs[i], v);
	}
	return check_teams(root, json_object_get(r, "teams"), info);
}

static bool attr_known(const char *attr)
{
	for (size_t i = 0; attr && i < N_ATTRS; i++) {
		if (strcmp(attrs[i], attr) == 0)
			return true;
	}
	return false;
}

enum err op_route_change(json_t *root, const json_t *op,
			 struct conf_edit_info *info)
{
	const char *name = valid_route_name(op);
	const char *attr = json_string_value(json_object_get(op, "attr"));
	json_t *value = json_object_get(op, "value");
	json_t *r;

	if (!name || !attr_known(attr) || !value) {
		snprintf(info->detail, sizeof(info->detail),
			 "attr must be target, service, open, idempotent, "
			 "keep_cut_off or teams, with a value");
		return ERR_CONF_OP;
	}
	r = json_object_get(json_object_get(root, "routes"), name);
	if (!r)
		return ERR_CONF_ABSENT;
	if (json_is_null(value))
		json_object_del(r, attr);
	else
		json_object_set(r, attr, value);
	return check_teams(root, json_object_get(r, "teams"), info);
}

enum err op_route_remove(json_t *root, const json_t *op,
			 struct conf_edit_info *info)
{
	const char *name = valid_route_name(op);

	if (!name)
		return ERR_CONF_OP;
	return json_object_del(op_get_table(root, "routes"), name) == 0
		       ? ERR_OK
		       : ERR_CONF_ABSENT;
}
