// Commands that act on one named object: a team, route, key or failure domain.
#include <string.h>

#include "ctl.h"
#include "key/key.h"

/// Commands whose operation has only a name as parameter.
static const struct {
	const char *command;
	const char *op;
	const char *member;
} named_commands[] = {
	{"team add", "team-add", "team"},
	{"team remove", "team-remove", "team"},
	{"route remove", "route-remove", "route"},
	{"key withdraw", "key-withdraw", "key"},
	{"domain in", "domain-in", "domain"},
};

int cmd_named(struct ctl *ctl, const struct ctl_cmd *cmd, int argc, char **argv)
{
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "");
	void *cmd_args[] = {name, NULL};
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	for (size_t i = 0;
	     !rc && i < sizeof(named_commands) / sizeof(named_commands[0]);
	     i++) {
		if (strcmp(named_commands[i].command, cmd->command) != 0)
			continue;
		rc = ctl_submit_edit(
			ctl,
			json_pack("{s:s,s:s}", "op", named_commands[i].op,
				  named_commands[i].member, name->sval[0]),
			NULL, NULL);
		break;
	}
	ctl_free_args(cmd_args);
	return rc;
}

int cmd_key_grant(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		  char **argv)
{
	struct arg_str *team = arg_str1(NULL, NULL, "TEAM", "");
	void *cmd_args[] = {team, NULL};
	char text[KEY_TEXT_LEN + 1];
	struct key_record rec;
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);
	enum err e = rc ? ERR_OK : key_generate(&rec, text);

	if (e) {
		ctl_report_error(e, "no random source");
		rc = CTL_REFUSED;
	}
	if (!rc)
		rc = ctl_submit_edit(ctl,
				     json_pack("{s:s,s:s,s:s,s:s,s:s}", "op",
					       "key-grant", "key", rec.id,
					       "team", team->sval[0], "salt",
					       rec.salt, "hash", rec.hash),
				     "key", text);
	if (rc == CTL_UNKNOWN)
		ctl_report_error(ERR_CONF_UNKNOWN, rec.id);
	ctl_free_args(cmd_args);
	return rc;
}

int cmd_domain_out(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		   char **argv)
{
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "");
	struct arg_str *reason = arg_str1(NULL, "reason", "TEXT", "");
	void *cmd_args[] = {name, reason, NULL};
	int rc = ctl_parse(ctl, cmd, cmd_args, argc, argv);

	if (!rc)
		rc = ctl_submit_edit(
			ctl,
			json_pack("{s:s,s:s,s:s}", "op", "domain-out", "domain",
				  name->sval[0], "reason", reason->sval[0]),
			NULL, NULL);
	ctl_free_args(cmd_args);
	return rc;
}
