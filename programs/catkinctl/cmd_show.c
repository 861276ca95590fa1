// Read-only commands: servers, status, usage and watch.
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "ctl.h"

static void print_value(const char *path, const json_t *v)
{
	char *text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);

	if (json_is_string(v))
		printf("%s: %s\n", path, json_string_value(v));
	else
		printf("%s: %s\n", path, text ? text : "");
	free(text);
}

void ctl_print_flat(const char *prefix, const json_t *v)
{
	const char *name;
	json_t *member;
	size_t i;
	char path[256];

	if (json_is_object(v) && json_object_size(v) > 0) {
		json_object_foreach((json_t *)v, name, member) {
			snprintf(path, sizeof(path), "%s%s%s", prefix,
				 *prefix ? "." : "", name);
			ctl_print_flat(path, member);
		}
	} else if (json_is_array(v) && json_is_object(json_array_get(v, 0))) {
		json_array_foreach(v, i, member) {
			snprintf(path, sizeof(path), "%s[%zu]", prefix, i);
			ctl_print_flat(path, member);
		}
	} else if (v) {
		print_value(prefix, v);
	}
}

int ctl_get_and_print(const struct ctl *ctl, const char *path)
{
	struct ctl_answer a;
	int rc = CTL_ACCEPTED;

	ctl_call(ctl, "GET", path, NULL, &a);
	if (a.status == 0) {
		ctl_report_error(ERR_CTL_UNREACHABLE, NULL);
		return CTL_UNREACHABLE;
	}
	if (a.status != 200)
		rc = CTL_REFUSED;
	if (ctl->json) {
		json_dumpf(a.body, stdout, JSON_COMPACT);
		printf("\n");
	} else {
		ctl_print_flat("", a.body);
	}
	json_decref(a.body);
	return rc;
}

int cmd_show(struct ctl *ctl, const struct ctl_cmd *cmd, int argc, char **argv)
{
	void *cmd_args[] = {NULL};
	char path[64];
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	if (rc)
		return rc;
	snprintf(path, sizeof(path), "/admin/%s", cmd->command);
	return ctl_get_and_print(ctl, path);
}

int cmd_usage(struct ctl *ctl, const struct ctl_cmd *cmd, int argc, char **argv)
{
	struct arg_int *window = arg_int0(NULL, "window", "N", "");
	void *cmd_args[] = {window, NULL};
	char path[64] = "/admin/usage";
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	if (!rc && window->count)
		snprintf(path, sizeof(path), "/admin/usage?window=%d",
			 window->ival[0]);
	if (!rc)
		rc = ctl_get_and_print(ctl, path);
	ctl_free_args(cmd_args);
	return rc;
}

int cmd_watch(struct ctl *ctl, const struct ctl_cmd *cmd, int argc, char **argv)
{
	struct arg_int *count = arg_int0(NULL, "count", "N", "");
	void *cmd_args[] = {count, NULL};
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);
	int remaining = !rc && count->count ? count->ival[0] : -1;

	while (!rc && remaining != 0) {
		if (isatty(STDOUT_FILENO))
			printf("\033[H\033[J");
		rc = ctl_get_and_print(ctl, "/admin/status");
		fflush(stdout);
		remaining -= remaining > 0;
		if (remaining != 0)
			sleep(1);
	}
	ctl_free_args(cmd_args);
	return rc;
}
