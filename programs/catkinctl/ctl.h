// What the commands of catkinctl share: options, exit codes, calls, edits.
#pragma once

#include <argtable2.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"

/// Exit codes; docs/help/catkinctl.md lists them.
enum ctl_exit {
	CTL_ACCEPTED = 0, ///< done, or the edit is accepted
	CTL_REFUSED = 1, ///< refused with a typed error; nothing changed
	CTL_CLASH = 2, ///< another operator's edit changed the same thing
	CTL_UNKNOWN = 3, ///< the edit may be accepted
	CTL_USAGE = 4, ///< fault in the command line
	CTL_UNREACHABLE = 5, ///< no node answered; nothing was sent
};

enum {
	CTL_NODES_MAX = 16,
};

/// Options that every command takes.
struct ctl {
	const char *nodes[CTL_NODES_MAX]; ///< admin URLs, tried in turn
	int n_nodes;
	bool json; ///< print JSON
	const char *author; ///< of edits
	int64_t base_rev; ///< that the operator looked at, -1 for the present
	int64_t wait_ms; ///< for the edit to be in force everywhere
};

/// A command: its words, its own options and what it does.
struct ctl_cmd {
	const char *words; ///< such as "route add"
	const char *args; ///< synopsis of its arguments
	const char *help; ///< one line
	const char *example;
	int (*run)(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		   char **argv);
};

enum {
	CTL_ARGS_MAX = 24, ///< entries of a command's argtable
};

/// Parse a command line with the command's own entries and the common ones.
///
/// @param own  entries of the command, NULL-terminated; freed by ctl_done()
/// @return CTL_ACCEPTED, or CTL_USAGE with the faults printed
int ctl_parse(struct ctl *ctl, const struct ctl_cmd *cmd, void *const *own,
	      int argc, char **argv);

/// Free a command's entries.
void ctl_done(void *const *own);

/// Answer of a node.
struct ctl_answer {
	int status; ///< HTTP status, 0 if no node answered
	bool sent; ///< a node may have taken the request
	json_t *body; ///< owned, NULL if it was not JSON
};

/// Call the nodes in turn until one answers.
///
/// @param body  JSON to send, NULL for none
void ctl_call(const struct ctl *ctl, const char *method, const char *path,
	      const json_t *body, struct ctl_answer *out);

/// GET and print: JSON, or `path: value` lines.
int ctl_show(const struct ctl *ctl, const char *path);

/// Print a JSON value as `path: value` lines.
void ctl_print_flat(const char *prefix, const json_t *v);

/// Send an edit of one operation and tell what became of it; waits until it
/// is in force everywhere, and names the nodes that miss it on standard error.
///
/// @param op   operation, taken over
/// @param out  JSON object for more members of the printed result, or NULL
int ctl_edit(const struct ctl *ctl, json_t *op, const char *more_name,
	     const char *more_value);

/// Report a typed error on standard error.
void ctl_fail(enum err e, const char *detail);

extern const struct ctl_cmd ctl_cmds[];
extern const int ctl_n_cmds;

int cmd_set(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_get(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_except(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_unexcept(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_route_add(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_route_change(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_route_remove(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_named(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_key_grant(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_domain_out(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_show(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_usage(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_watch(struct ctl *, const struct ctl_cmd *, int, char **);
