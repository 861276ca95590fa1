// Clears a request that was barred because backend servers ended under it.
#include <stdio.h>

#include "ctl.h"

int cmd_suspect_clear(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		      char **argv)
{
	struct arg_str *identity = arg_str1(NULL, NULL, "IDENTITY", "");
	void *cmd_args[] = {identity, NULL};
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);
	struct ctl_answer a = {0};
	char path[128];

	if (!rc) {
		snprintf(path, sizeof(path),
			 "/admin/suspects/clear?identity=%s",
			 identity->sval[0]);
		ctl_call(ctl, "POST", path, NULL, &a);
		if (a.status == 0 && a.sent) {
			ctl_report_error(ERR_UP_BROKEN,
					 "it may have been cleared");
			rc = CTL_UNKNOWN;
		} else if (a.status == 0) {
			ctl_report_error(ERR_CTL_UNREACHABLE, NULL);
			rc = CTL_UNREACHABLE;
		} else {
			ctl_print_flat("", a.body);
			rc = a.status == 200 ? CTL_ACCEPTED : CTL_REFUSED;
		}
		json_decref(a.body);
	}
	ctl_free_args(cmd_args);
	return rc;
}
