// Parses the common options together with the command's own.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
	DEFAULT_WAIT_MS = 5000,
	AUTHOR_MAX = 63,
};

static const char default_node[] = "http://127.0.0.1:8001";

struct common_options {
	struct arg_str *node;
	struct arg_lit *json;
	struct arg_str *author;
	struct arg_str *base;
	struct arg_str *wait;
	struct arg_end *end;
};

/// Author of an edit; characters that a document does not allow become '-'.
static const char *author_name(const char *option)
{
	static char name[AUTHOR_MAX + 1];
	const char *user = getenv("USER");

	snprintf(name, sizeof(name), "%s",
		 option ? option : (user && *user ? user : "operator"));
	for (char *p = name; *p; p++) {
		if (!strchr("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWX"
			    "YZ0123456789._-",
			    *p))
			*p = '-';
	}
	return name;
}

static void common_options_apply(struct ctl *ctl,
				 const struct common_options *common)
{
	const char *node_from_env = getenv("CATKIN_NODE");

	ctl->json = common->json->count > 0;
	ctl->author = author_name(
		common->author->count ? common->author->sval[0] : NULL);
	ctl->base_rev = common->base->count
				? strtoll(common->base->sval[0], NULL, 10)
				: -1;
	ctl->wait_ms = common->wait->count
			       ? strtoll(common->wait->sval[0], NULL, 10)
			       : DEFAULT_WAIT_MS;
	for (int i = 0; i < common->node->count; i++)
		ctl->nodes[ctl->n_nodes++] = common->node->sval[i];
	if (ctl->n_nodes == 0)
		ctl->nodes[ctl->n_nodes++] =
			node_from_env ? node_from_env : default_node;
}

int ctl_parse(struct ctl *ctl, const struct ctl_cmd *cmd, void *const *cmd_args,
	      int argc, char **argv)
{
	static struct common_options
		common; /* its strings are used until exit */
	void *table[CTL_ARGS_MAX];
	int n = 0;

	common.node = arg_strn("n", "node", "URL", 0, CTL_NODES_MAX, "");
	common.json = arg_lit0(NULL, "json", "");
	common.author = arg_str0(NULL, "author", "NAME", "");
	common.base = arg_str0(NULL, "base", "REV", "");
	common.wait = arg_str0(NULL, "wait", "MS", "");
	common.end = arg_end(8);
	for (; cmd_args && cmd_args[n]; n++)
		table[n] = cmd_args[n];
	table[n++] = common.node;
	table[n++] = common.json;
	table[n++] = common.author;
	table[n++] = common.base;
	table[n++] = common.wait;
	table[n] = common.end;
	if (arg_parse(argc, argv, table) == 0) {
		common_options_apply(ctl, &common);
		return CTL_ACCEPTED;
	}
	arg_print_errors(stderr, common.end, "catkinctl");
	fprintf(stderr, "usage: catkinctl %s %s\ne.g.: %s\n", cmd->command,
		cmd->args, cmd->example);
	return CTL_USAGE;
}

void ctl_free_args(void *const *cmd_args)
{
	for (int i = 0; cmd_args[i]; i++)
		free(cmd_args[i]);
}

void ctl_report_error(enum err e, const char *detail)
{
	fprintf(stderr, "catkinctl: %s (%d): %s\n", err_code(e), (int)e,
		detail && *detail ? detail : err_doc(e));
}
