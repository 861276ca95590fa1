// catkinctl: command-line tool for operators.
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "ctl.h"

enum {
	WORDS_MAX = 2,
};

const struct ctl_cmd ctl_cmds[] = {
	{"get", "[FIELD]", "Print fields with their defaults and exceptions.",
	 "catkinctl get call.deadline", cmd_get},
	{"set", "FIELD VALUE", "Change a fleet-wide default.",
	 "catkinctl set call.deadline 5s", cmd_set},
	{"except", "SCOPE NAME FIELD VALUE --reason TEXT",
	 "Make an exception for a team, route, trainer or domain.",
	 "catkinctl except team depot queue.max 50 --reason 'trial week'",
	 cmd_except},
	{"unexcept", "SCOPE NAME FIELD", "Remove an exception.",
	 "catkinctl unexcept team depot queue.max", cmd_unexcept},
	{"route add", "NAME (--service S | --engine) [--open] [--idempotent]",
	 "Add a route to a plain service or to the engines.",
	 "catkinctl route add desk --service desk --team depot", cmd_route_add},
	{"route change", "NAME ATTR VALUE",
	 "Change target, service, open, idempotent, keep_cut_off or teams.",
	 "catkinctl route change desk teams depot,planning", cmd_route_change},
	{"route remove", "NAME", "Remove a route.",
	 "catkinctl route remove desk", cmd_named},
	{"team add", "NAME", "Add a team.", "catkinctl team add depot",
	 cmd_named},
	{"team remove", "NAME", "Remove a team and withdraw its keys.",
	 "catkinctl team remove depot", cmd_named},
	{"key grant", "TEAM", "Make a key; it is printed once, on stdout.",
	 "catkinctl key grant depot >depot.key", cmd_key_grant},
	{"key withdraw", "ID", "Withdraw a key by its id.",
	 "catkinctl key withdraw abcdefghijkl", cmd_named},
	{"domain out", "NAME --reason TEXT",
	 "Take a failure domain out of service.",
	 "catkinctl domain out d2 --reason 'rack work'", cmd_domain_out},
	{"domain in", "NAME", "Bring a failure domain back.",
	 "catkinctl domain in d2", cmd_named},
	{"servers", "", "List backend servers.", "catkinctl servers", cmd_show},
	{"suspects", "", "List requests under which backend servers ended.",
	 "catkinctl suspects", cmd_show},
	{"suspects clear", "IDENTITY",
	 "Let a request that was barred reach backend servers again.",
	 "catkinctl suspects clear 0123456789abcdef0123456789abcdef",
	 cmd_suspect_clear},
	{"status", "", "Print a node's status.", "catkinctl status", cmd_show},
	{"usage", "[--window N]", "Print a sealed window or the counters.",
	 "catkinctl usage --window 12", cmd_usage},
	{"watch", "[--count N]", "Print the status again every second.",
	 "catkinctl watch --count 10", cmd_watch},
};

const int ctl_n_cmds = sizeof(ctl_cmds) / sizeof(ctl_cmds[0]);

static void print_help(void)
{
	printf("Usage: catkinctl [--node URL]... [--json] COMMAND ...\n\n");
	for (int i = 0; i < ctl_n_cmds; i++) {
		const struct ctl_cmd *c = &ctl_cmds[i];

		printf("  %s %s\n      %s\n      e.g. %s\n", c->command,
		       c->args, c->help, c->example);
	}
	printf("\nEvery command takes:\n"
	       "  --node URL     admin URL of a node; repeat it for failover "
	       "nodes\n"
	       "                 (default: CATKIN_NODE or "
	       "http://127.0.0.1:8001)\n"
	       "  --json         print JSON\n"
	       "  --author NAME  name recorded with an edit (default: USER)\n"
	       "  --base REV     refuse if the same thing changed after REV\n"
	       "  --wait MS      wait at most MS until all nodes have the edit\n"
	       "\nExit codes: 0 accepted, 1 refused, 2 conflict, 3 unknown "
	       "outcome,\n4 invalid command line, 5 no node reached.\n");
}

/// Index of the n-th argument that is no option or option's value, 0 if none.
static int nth_word(int argc, char **argv, int n)
{
	static const char *const options_with_value[] = {
		"--node", "--author", "--base", "--wait", "-n"};

	for (int i = 1; i < argc; i++) {
		bool skip = false;

		if (argv[i][0] != '-' && n-- == 0)
			return i;
		for (size_t k = 0; k < sizeof(options_with_value) /
					       sizeof(options_with_value[0]);
		     k++)
			skip |= strcmp(argv[i], options_with_value[k]) == 0;
		i += skip;
	}
	return 0;
}

static const struct ctl_cmd *cmd_find(const char *command)
{
	for (int i = 0; i < ctl_n_cmds; i++) {
		if (strcmp(ctl_cmds[i].command, command) == 0)
			return &ctl_cmds[i];
	}
	return NULL;
}

static void remove_arg(int *argc, char **argv, int pos)
{
	memmove(&argv[pos], &argv[pos + 1],
		(size_t)(*argc - pos) * sizeof(*argv));
	(*argc)--;
}

/// Find the command and remove its words from the arguments.
static const struct ctl_cmd *take_command(int *argc, char **argv)
{
	int first = nth_word(*argc, argv, 0);
	int second = nth_word(*argc, argv, 1);
	const struct ctl_cmd *cmd = NULL;
	char command[64];

	if (!first)
		return NULL;
	if (second) {
		snprintf(command, sizeof(command), "%.30s %.30s", argv[first],
			 argv[second]);
		cmd = cmd_find(command);
	}
	if (cmd)
		remove_arg(argc, argv, second);
	else
		cmd = cmd_find(argv[first]);
	if (cmd)
		remove_arg(argc, argv, first);
	return cmd;
}

static bool has_option(int argc, char **argv, const char *name)
{
	for (int i = 1; i < argc; i++) {
		if (strcmp(argv[i], name) == 0)
			return true;
	}
	return false;
}

int main(int argc, char **argv)
{
	const struct ctl_cmd *cmd;
	struct ctl ctl = {.n_nodes = 0};
	int rc;

	if (argc < 2 || has_option(argc, argv, "--help")) {
		print_help();
		return argc < 2 ? CTL_USAGE : CTL_ACCEPTED;
	}
	if (has_option(argc, argv, "--version")) {
		printf("catkinctl %s\n", CATKIN_VERSION);
		return CTL_ACCEPTED;
	}
	cmd = take_command(&argc, argv);
	if (!cmd) {
		ctl_report_error(ERR_CTL_USAGE, "no such command; see --help");
		return CTL_USAGE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = cmd->run(&ctl, cmd, argc, argv);
	curl_global_cleanup();
	return rc;
}
