// Operations on fields, teams and failure domains; table of all operations.
#include "op.h"

#include <stdio.h>
#include <string.h>

#include "doc.h"
#include "op_key.h"
#include "op_route.h"

json_t *op_get_table(json_t *root, const char *member)
{
	json_t *t = json_object_get(root, member);

	if (!t) {
		t = json_object();
		json_object_set_new(root, member, t);
	}
	return t;
}

static enum err parse_field_value(const json_t *op, enum conf_field *f,
				  int64_t *v, struct conf_edit_info *info)
{
	const char *name = json_string_value(json_object_get(op, "field"));
	json_t *value = json_object_get(op, "value");
	const struct conf_field_info *fi;

	*f = name ? conf_field_find(name) : CONF_FIELDS;
	if (*f == CONF_FIELDS) {
		snprintf(info->detail, sizeof(info->detail), "no field %.64s",
			 name ? name : "named");
		return ERR_CONF_FIELD;
	}
	fi = conf_field_info(*f);
	*v = json_integer_value(value);
	if (json_is_integer(value) && *v >= fi->min && *v <= fi->max)
		return ERR_OK;
	snprintf(info->detail, sizeof(info->detail),
		 "%s must be %lld to %lld %s", fi->name, (long long)fi->min,
		 (long long)fi->max, conf_unit_name(fi->unit));
	return ERR_CONF_RANGE;
}

static enum err op_set(json_t *root, const json_t *op,
		       struct conf_edit_info *info)
{
	enum conf_field f;
	int64_t v;
	enum err e = parse_field_value(op, &f, &v, info);

	if (e)
		return e;
	json_object_set_new(op_get_table(root, "defaults"),
			    conf_field_info(f)->name, json_integer(v));
	return ERR_OK;
}

static enum err check_reason(const json_t *op)
{
	const char *r = json_string_value(json_object_get(op, "reason"));

	if (!r || !r[strspn(r, " \t")])
		return ERR_CONF_REASON;
	return strlen(r) <= CONF_REASON_MAX_BYTES ? ERR_OK : ERR_TOO_LARGE;
}

static bool same_member(const json_t *a, const json_t *b, const char *member)
{
	return json_equal(json_object_get(a, member),
			  json_object_get(b, member));
}

static json_t *exceptions_array(json_t *root)
{
	json_t *arr = json_object_get(root, "exceptions");

	if (!arr) {
		arr = json_array();
		json_object_set_new(root, "exceptions", arr);
	}
	return arr;
}

static bool exception_remove(json_t *root, const json_t *op)
{
	json_t *arr = exceptions_array(root);
	size_t i;
	json_t *v;

	json_array_foreach(arr, i, v) {
		if (same_member(v, op, "scope") && same_member(v, op, "name") &&
		    same_member(v, op, "field")) {
			json_array_remove(arr, i);
			return true;
		}
	}
	return false;
}

static enum err check_scope(const json_t *op, struct conf_edit_info *info)
{
	const char *scope = json_string_value(json_object_get(op, "scope"));
	const char *name = json_string_value(json_object_get(op, "name"));

	if (scope && doc_scope_kind(scope) >= 0 && doc_name_valid(name))
		return ERR_OK;
	snprintf(info->detail, sizeof(info->detail),
		 "scope must be route, trainer, team or domain, with a name");
	return ERR_CONF_OP;
}

static enum err op_except(json_t *root, const json_t *op,
			  struct conf_edit_info *info)
{
	enum conf_field f;
	int64_t v;
	enum err e;

	if ((e = check_scope(op, info)) ||
	    (e = parse_field_value(op, &f, &v, info)) || (e = check_reason(op)))
		return e;
	exception_remove(root, op);
	json_array_append_new(exceptions_array(root),
			      json_pack("{s:O,s:O,s:O,s:I,s:O}", "scope",
					json_object_get(op, "scope"), "name",
					json_object_get(op, "name"), "field",
					json_object_get(op, "field"), "value",
					(json_int_t)v, "reason",
					json_object_get(op, "reason")));
	return ERR_OK;
}

static enum err op_unexcept(json_t *root, const json_t *op,
			    struct conf_edit_info *info)
{
	enum err e = check_scope(op, info);

	if (e)
		return e;
	return exception_remove(root, op) ? ERR_OK : ERR_CONF_ABSENT;
}

static enum err op_team_add(json_t *root, const json_t *op,
			    struct conf_edit_info *info)
{
	const char *team = json_string_value(json_object_get(op, "team"));
	json_t *teams = op_get_table(root, "teams");

	if (!doc_name_valid(team))
		return ERR_CONF_OP;
	if (json_object_get(teams, team))
		return ERR_CONF_EXISTS;
	json_object_set_new(teams, team, json_object());
	return ERR_OK;
}

static enum err op_team_remove(json_t *root, const json_t *op,
			       struct conf_edit_info *info)
{
	const char *team = json_string_value(json_object_get(op, "team"));

	if (!doc_name_valid(team))
		return ERR_CONF_OP;
	if (json_object_del(op_get_table(root, "teams"), team) != 0)
		return ERR_CONF_ABSENT;
	op_key_withdraw_team(root, team);
	return ERR_OK;
}

static enum err domain_set_enabled(json_t *root, const json_t *op, bool enabled)
{
	const char *d = json_string_value(json_object_get(op, "domain"));
	json_t *v;

	if (!doc_name_valid(d))
		return ERR_CONF_OP;
	v = json_pack("{s:b,s:O*}", "in", (int)enabled, "reason",
		      json_object_get(op, "reason"));
	json_object_set_new(op_get_table(root, "domains"), d, v);
	return ERR_OK;
}

static enum err op_domain_out(json_t *root, const json_t *op,
			      struct conf_edit_info *info)
{
	enum err e = check_reason(op);

	return e ? e : domain_set_enabled(root, op, false);
}

static enum err op_domain_in(json_t *root, const json_t *op,
			     struct conf_edit_info *info)
{
	return domain_set_enabled(root, op, true);
}

static const struct op_kind kinds[] = {
	{"set", op_set, "defaults/{field}"},
	{"except", op_except, "exceptions/{scope}/{name}/{field}"},
	{"unexcept", op_unexcept, "exceptions/{scope}/{name}/{field}"},
	{"team-add", op_team_add, "teams/{team}"},
	{"team-remove", op_team_remove, "teams/{team}"},
	{"route-add", op_route_add, "routes/{route}"},
	{"route-change", op_route_change, "routes/{route}/{attr}"},
	{"route-remove", op_route_remove, "routes/{route}"},
	{"key-grant", op_key_grant, "keys/{key}"},
	{"key-withdraw", op_key_withdraw, "keys/{key}"},
	{"domain-out", op_domain_out, "domains/{domain}"},
	{"domain-in", op_domain_in, "domains/{domain}"},
};

const struct op_kind *op_find(const char *name)
{
	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (strcmp(kinds[i].name, name) == 0)
			return &kinds[i];
	}
	return NULL;
}

void op_path(const struct op_kind *k, const json_t *op, char *buf)
{
	const char *p = k->path_template;
	size_t n = 0;

	while (*p && n + 1 < OP_PATH_MAX) {
		const char *end = *p == '{' ? strchr(p, '}') : NULL;
		char member[32];
		const char *v;

		if (!end) {
			buf[n++] = *p++;
			continue;
		}
		snprintf(member, sizeof(member), "%.*s", (int)(end - p - 1),
			 p + 1);
		v = json_string_value(json_object_get(op, member));
		n += (size_t)snprintf(buf + n, OP_PATH_MAX - n, "%.63s",
				      v ? v : "");
		p = end + 1;
	}
	buf[n < OP_PATH_MAX ? n : OP_PATH_MAX - 1] = '\0';
}

bool op_paths_overlap(const char *a, const char *b)
{
	size_t la = strlen(a);
	size_t lb = strlen(b);
	size_t n = la < lb ? la : lb;

	if (strncmp(a, b, n) != 0)
		return false;
	return la == lb || (la < lb ? b[n] : a[n]) == '/';
}
