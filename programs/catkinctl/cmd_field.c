// Commands get, set, except and unexcept.
#include <stdio.h>

#include "conf/field.h"
#include "ctl.h"

/// Check a field name, and parse a value unless text is NULL.
static int parse_field_arg(const char *name, const char *text, int64_t *v)
{
	enum conf_field f = conf_field_find(name);
	const struct conf_field_info *info;
	char detail[160];
	enum err e;

	if (f == CONF_FIELDS) {
		ctl_report_error(ERR_CONF_FIELD, name);
		return CTL_USAGE;
	}
	if (!text)
		return CTL_ACCEPTED;
	info = conf_field_info(f);
	e = conf_field_parse(f, text, v);
	if (!e)
		return CTL_ACCEPTED;
	snprintf(detail, sizeof(detail), "%s is %lld to %lld %s", name,
		 (long long)info->min, (long long)info->max,
		 conf_unit_name(info->unit));
	ctl_report_error(ERR_CONF_RANGE, detail);
	return CTL_USAGE;
}

int cmd_set(struct ctl *ctl, const struct ctl_cmd *cmd, int argc, char **argv)
{
	struct arg_str *field = arg_str1(NULL, NULL, "FIELD", "");
	struct arg_str *value = arg_str1(NULL, NULL, "VALUE", "");
	void *cmd_args[] = {field, value, NULL};
	int64_t v = 0;
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	if (!rc)
		rc = parse_field_arg(field->sval[0], value->sval[0], &v);
	if (!rc)
		rc = ctl_submit_edit(ctl,
				     json_pack("{s:s,s:s,s:I}", "op", "set",
					       "field", field->sval[0], "value",
					       (json_int_t)v),
				     NULL, NULL);
	ctl_free_args(cmd_args);
	return rc;
}

int cmd_except(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
	       char **argv)
{
	struct arg_str *scope = arg_str1(NULL, NULL, "SCOPE", "");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "");
	struct arg_str *field = arg_str1(NULL, NULL, "FIELD", "");
	struct arg_str *value = arg_str1(NULL, NULL, "VALUE", "");
	struct arg_str *reason = arg_str1(NULL, "reason", "TEXT", "");
	void *cmd_args[] = {scope, name, field, value, reason, NULL};
	int64_t v = 0;
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	if (!rc)
		rc = parse_field_arg(field->sval[0], value->sval[0], &v);
	if (!rc)
		rc = ctl_submit_edit(
			ctl,
			json_pack("{s:s,s:s,s:s,s:s,s:I,s:s}", "op", "except",
				  "scope", scope->sval[0], "name",
				  name->sval[0], "field", field->sval[0],
				  "value", (json_int_t)v, "reason",
				  reason->sval[0]),
			NULL, NULL);
	ctl_free_args(cmd_args);
	return rc;
}

int cmd_unexcept(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		 char **argv)
{
	struct arg_str *scope = arg_str1(NULL, NULL, "SCOPE", "");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "");
	struct arg_str *field = arg_str1(NULL, NULL, "FIELD", "");
	void *cmd_args[] = {scope, name, field, NULL};
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	if (!rc)
		rc = parse_field_arg(field->sval[0], NULL, NULL);
	if (!rc)
		rc = ctl_submit_edit(
			ctl,
			json_pack("{s:s,s:s,s:s,s:s}", "op", "unexcept",
				  "scope", scope->sval[0], "name",
				  name->sval[0], "field", field->sval[0]),
			NULL, NULL);
	ctl_free_args(cmd_args);
	return rc;
}

static const char *string_member(const json_t *obj, const char *member)
{
	const char *s = json_string_value(json_object_get(obj, member));

	return s ? s : "";
}

static void print_field(enum conf_field f, const json_t *doc)
{
	const struct conf_field_info *info = conf_field_info(f);
	const char *unit = conf_unit_name(info->unit);
	json_t *set =
		json_object_get(json_object_get(doc, "defaults"), info->name);
	json_int_t v = set ? json_integer_value(set) : info->def;
	size_t i;
	json_t *e;

	printf("%s = %lld%s%s  (%s)\n", info->name, (long long)v,
	       *unit ? " " : "", unit, set ? "set" : "built-in default");
	json_array_foreach(json_object_get(doc, "exceptions"), i, e) {
		if (conf_field_find(string_member(e, "field")) != f)
			continue;
		printf("  %s %s = %lld  (%s)\n", string_member(e, "scope"),
		       string_member(e, "name"),
		       (long long)json_integer_value(
			       json_object_get(e, "value")),
		       string_member(e, "reason"));
	}
}

static void print_named_parts(const json_t *doc)
{
	static const char *const parts[] = {"routes", "teams", "keys",
					    "domains"};

	printf("revision %lld\n",
	       (long long)json_integer_value(json_object_get(doc, "rev")));
	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		ctl_print_flat(parts[i], json_object_get(doc, parts[i]));
}

static int print_conf(const struct ctl *ctl, const char *field,
		      const json_t *doc)
{
	if (ctl->json) {
		json_dumpf(doc, stdout, JSON_COMPACT);
		printf("\n");
		return CTL_ACCEPTED;
	}
	if (field) {
		print_field(conf_field_find(field), doc);
		return CTL_ACCEPTED;
	}
	for (int f = 0; f < CONF_FIELDS; f++)
		print_field((enum conf_field)f, doc);
	print_named_parts(doc);
	return CTL_ACCEPTED;
}

int cmd_get(struct ctl *ctl, const struct ctl_cmd *cmd, int argc, char **argv)
{
	struct arg_str *field = arg_str0(NULL, NULL, "FIELD", "");
	void *cmd_args[] = {field, NULL};
	const char *name = NULL;
	struct ctl_answer a;
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	if (!rc && field->count) {
		name = field->sval[0];
		rc = parse_field_arg(name, NULL, NULL);
	}
	if (rc) {
		ctl_free_args(cmd_args);
		return rc;
	}
	ctl_call(ctl, "GET", "/admin/conf", NULL, &a);
	if (a.status == 200) {
		rc = print_conf(ctl, name, a.body);
	} else {
		ctl_report_error(ERR_CTL_UNREACHABLE, NULL);
		rc = CTL_UNREACHABLE;
	}
	json_decref(a.body);
	ctl_free_args(cmd_args);
	return rc;
}
