// Commands `route add` and `route change`.
#include <string.h>

#include "ctl.h"

static json_t *string_array(int n, const char **names)
{
	json_t *arr = json_array();

	for (int i = 0; i < n; i++)
		json_array_append_new(arr, json_string(names[i]));
	return arr;
}

/// JSON array of the names in a comma-separated list.
static json_t *split_string_array(const char *list)
{
	json_t *arr = json_array();

	while (*list) {
		size_t n = strcspn(list, ",");

		if (n > 0)
			json_array_append_new(arr, json_stringn(list, n));
		list += n + (list[n] == ',');
	}
	return arr;
}

int cmd_route_add(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		  char **argv)
{
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "");
	struct arg_str *service = arg_str0(NULL, "service", "S", "");
	struct arg_lit *engine = arg_lit0(NULL, "engine", "");
	struct arg_lit *open = arg_lit0(NULL, "open", "");
	struct arg_lit *idempotent = arg_lit0(NULL, "idempotent", "");
	struct arg_str *team = arg_strn(NULL, "team", "T", 0, 64, "");
	struct arg_str *keep_cut_off =
		arg_str0(NULL, "keep-cut-off", "REASON", "");
	void *cmd_args[] = {name,	service, engine,       open,
			    idempotent, team,	 keep_cut_off, NULL};
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);
	json_t *op;

	if (!rc && (service->count > 0) == (engine->count > 0)) {
		ctl_report_error(ERR_CTL_USAGE,
				 "give either --service S or --engine");
		rc = CTL_USAGE;
	}
	if (rc) {
		ctl_free_args(cmd_args);
		return rc;
	}
	op = json_pack("{s:s,s:s,s:s,s:b,s:b}", "op", "route-add", "route",
		       name->sval[0], "target",
		       engine->count ? "engine" : "service", "open",
		       open->count > 0, "idempotent", idempotent->count > 0);
	if (service->count)
		json_object_set_new(op, "service",
				    json_string(service->sval[0]));
	if (team->count)
		json_object_set_new(op, "teams",
				    string_array(team->count, team->sval));
	if (keep_cut_off->count)
		json_object_set_new(op, "keep_cut_off",
				    json_string(keep_cut_off->sval[0]));
	rc = ctl_submit_edit(ctl, op, NULL, NULL);
	ctl_free_args(cmd_args);
	return rc;
}

static json_t *attr_json(const char *attr, const char *text)
{
	if (strcmp(text, "none") == 0)
		return json_null();
	if (strcmp(attr, "teams") == 0)
		return split_string_array(text);
	if (strcmp(attr, "open") == 0 || strcmp(attr, "idempotent") == 0)
		return json_boolean(strcmp(text, "yes") == 0);
	return json_string(text);
}

int cmd_route_change(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		     char **argv)
{
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "");
	struct arg_str *attr = arg_str1(NULL, NULL, "ATTR", "");
	struct arg_str *value = arg_str1(NULL, NULL, "VALUE", "");
	void *cmd_args[] = {name, attr, value, NULL};
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	if (!rc)
		rc = ctl_submit_edit(
			ctl,
			json_pack("{s:s,s:s,s:s,s:o}", "op", "route-change",
				  "route", name->sval[0], "attr", attr->sval[0],
				  "value",
				  attr_json(attr->sval[0], value->sval[0])),
			NULL, NULL);
	ctl_free_args(cmd_args);
	return rc;
}
