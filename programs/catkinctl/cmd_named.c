// Commands that act on one named object: a team, route, key or failure domain.
#include <string.h>

#include "ctl.h"
#include "key/key.h"

/// Commands whose operation has only a name as parameter.
static const struct {
	const char *words;
	const char *op;
	const char *member;
} named[] = {
	{"team add", "team-add", "team"},
	{"team remove", "team-remove", "team"},
	{"route remove", "route-remove", "route"},
	{"key withdraw", "key-withdraw", "key"},
	{"domain in", "domain-in", "domain"},
};

int cmd_named(struct ctl *ctl, const struct ctl_cmd *cmd, int argc, char **argv)
{
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "");
	void *own[] = {name, NULL};
	int rc = ctl_parse(ctl, cmd, own, argc, argv);

	for (size_t i = 0; !rc && i < sizeof(named) / sizeof(named[0]); i++) {
		if (strcmp(named[i].words, cmd->words) != 0)
			continue;
		rc = ctl_edit(ctl,
			      json_pack("{s:s,s:s}", "op", named[i].op,
					named[i].member, name->sval[0]),
			      NULL, NULL);
		break;
	}
	ctl_done(own);
	return rc;
}

int cmd_key_grant(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		  char **argv)
{
	struct arg_str *team = arg_str1(NULL, NULL, "TEAM", "");
	void *own[] = {team, NULL};
	char text[KEY_TEXT_LEN + 1];
	struct key_record rec;
	int rc = ctl_parse(ctl, cmd, own, argc, argv);
	enum err e = rc ? ERR_OK : key_make(&rec, text);

	if (e) {
		ctl_fail(e, "no random source");
		rc = CTL_REFUSED;
	}
	if (!rc)
		rc = ctl_edit(ctl,
			      json_pack("{s:s,s:s,s:s,s:s,s:s}", "op",
					"key-grant", "key", rec.id, "team",
					team->sval[0], "salt", rec.salt, "hash",
					rec.hash),
			      "key", text);
	if (rc == CTL_UNKNOWN)
		ctl_fail(ERR_CONF_UNKNOWN, rec.id);
	ctl_done(own);
	return rc;
}

int cmd_domain_out(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		   char **argv)
{
	struct arg_str *name = arg_str1(NULL, NULL, "NAME", "");
	struct arg_str *reason = arg_str1(NULL, "reason", "TEXT", "");
	void *own[] = {name, reason, NULL};
	int rc = ctl_parse(ctl, cmd, own, argc, argv);

	if (!rc)
		rc = ctl_edit(ctl,
			      json_pack("{s:s,s:s,s:s}", "op", "domain-out",
					"domain", name->sval[0], "reason",
					reason->sval[0]),
			      NULL, NULL);
	ctl_done(own);
	return rc;
}
