// Parses the options common to all commands together with the command's own, and
// prints errors.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
	DEFAULT_WAIT_MS = 5000,
	AUTHOR_MAX = 63,
};

static const char default_node[] = "http://127.0.0.1:8001";

struct common {
	struct arg_str *node;
	struct arg_lit *json;
	struct arg_str *author;
	struct arg_str *base;
	struct arg_str *wait;
	struct arg_end *end;
};

/// Author of an edit: --author, else USER. Characters that a configuration document
/// does not allow become '-'.
static const char *author_name(const char *given)
{
	static char name[AUTHOR_MAX + 1];
	const char *user = getenv("USER");

	snprintf(name, sizeof(name), "%s",
		 given ? given : (user && *user ? user : "operator"));
	for (char *p = name; *p; p++) {
		if (!strchr("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWX"
			    "YZ0123456789._-",
			    *p))
			*p = '-';
	}
	return name;
}

static void common_take(struct ctl *ctl, const struct common *co)
{
	const char *env = getenv("CATKIN_NODE");

	ctl->json = co->json->count > 0;
	ctl->author =
		author_name(co->author->count ? co->author->sval[0] : NULL);
	ctl->base_rev =
		co->base->count ? strtoll(co->base->sval[0], NULL, 10) : -1;
	ctl->wait_ms = co->wait->count ? strtoll(co->wait->sval[0], NULL, 10)
				       : DEFAULT_WAIT_MS;
	for (int i = 0; i < co->node->count; i++)
		ctl->nodes[ctl->n_nodes++] = co->node->sval[i];
	if (ctl->n_nodes == 0)
		ctl->nodes[ctl->n_nodes++] = env ? env : default_node;
}

int ctl_parse(struct ctl *ctl, const struct ctl_cmd *cmd, void *const *own,
	      int argc, char **argv)
{
	static struct common co; /* static: its strings are used until exit */
	void *table[CTL_ARGS_MAX];
	int n = 0;

	co.node = arg_strn("n", "node", "URL", 0, CTL_NODES_MAX, "");
	co.json = arg_lit0(NULL, "json", "");
	co.author = arg_str0(NULL, "author", "NAME", "");
	co.base = arg_str0(NULL, "base", "REV", "");
	co.wait = arg_str0(NULL, "wait", "MS", "");
	co.end = arg_end(8);
	for (; own && own[n]; n++)
		table[n] = own[n];
	table[n++] = co.node;
	table[n++] = co.json;
	table[n++] = co.author;
	table[n++] = co.base;
	table[n++] = co.wait;
	table[n] = co.end;
	if (arg_parse(argc, argv, table) == 0) {
		common_take(ctl, &co);
		return CTL_ACCEPTED;
	}
	arg_print_errors(stderr, co.end, "catkinctl");
	fprintf(stderr, "usage: catkinctl %s %s\ne.g.: %s\n", cmd->words,
		cmd->args, cmd->example);
	return CTL_USAGE;
}

void ctl_done(void *const *own)
{
	for (int i = 0; own[i]; i++)
		free(own[i]);
}

void ctl_fail(enum err e, const char *detail)
{
	fprintf(stderr, "catkinctl: %s (%d): %s\n", err_code(e), (int)e,
		detail && *detail ? detail : err_doc(e));
}
