// Internal interface of catkinctl: options, exit codes, admin calls and edits.
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
	CTL_CONFLICT = 2, ///< another edit changed the same thing
	CTL_UNKNOWN = 3, ///< the edit may have been accepted
	CTL_USAGE = 4, ///< invalid command line
	CTL_UNREACHABLE = 5, ///< no node responded; nothing was sent
};

enum {
	CTL_NODES_MAX = 16,
};

/// Options common to all commands.
struct ctl {
	const char *nodes[CTL_NODES_MAX]; ///< admin URLs, tried in order
	int n_nodes;
	bool json; ///< print JSON
	const char *author; ///< recorded with an edit
	int64_t base_rev; ///< revision that the edit is based on, -1: the latest
	int64_t wait_ms; ///< timeout until the edit is in force on all nodes
};

/// A command and its handler.
struct ctl_cmd {
	const char *command; ///< such as "route add"
	const char *args; ///< synopsis of its arguments
	const char *help; ///< one line
	const char *example;
	/// @return exit code
	int (*run)(struct ctl *ctl, const struct ctl_cmd *cmd, int argc,
		   char **argv);
};

enum {
	CTL_ARGS_MAX = 24, ///< argtable entries, common ones included
};

/// Parse a command line: the command's own argtable entries and the common ones.
///
/// @param cmd_args  entries of the command, NULL-terminated; freed by ctl_free_args()
/// @return CTL_ACCEPTED, or CTL_USAGE after printing the errors
int ctl_parse(struct ctl *ctl, const struct ctl_cmd *cmd, void *const *cmd_args,
	      int argc, char **argv);

/// Free argtable entries.
void ctl_free_args(void *const *cmd_args);

/// Response of a node.
struct ctl_answer {
	int status; ///< HTTP status, 0 if no node answered
	bool sent; ///< a node may have received the request
	json_t *body; ///< owned, NULL if it was not JSON
};

/// Call the nodes in order until one responds.
///
/// @param body  JSON to send, NULL for none
/// @param[out] out  release out->body with json_decref()
void ctl_call(const struct ctl *ctl, const char *method, const char *path,
	      const json_t *body, struct ctl_answer *out);

/// GET a path and print the response: JSON, or `path: value` lines.
///
/// @return exit code
int ctl_get_and_print(const struct ctl *ctl, const char *path);

/// Print a JSON value as `path: value` lines.
void ctl_print_flat(const char *prefix, const json_t *v);

/// Submit an edit of one operation, wait until it is in force on all nodes, and print
/// the outcome; the nodes that lack it go to standard error.
///
/// @param op  operation; the reference is consumed
/// @param extra_name   extra member of the printed JSON, or NULL
/// @param extra_value  its value, or NULL
/// @return exit code
int ctl_submit_edit(const struct ctl *ctl, json_t *op, const char *extra_name,
		    const char *extra_value);

/// Print a typed error on standard error.
///
/// @param detail  NULL or "": the error's description
void ctl_report_error(enum err e, const char *detail);

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
int cmd_suspect_clear(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_usage(struct ctl *, const struct ctl_cmd *, int, char **);
int cmd_watch(struct ctl *, const struct ctl_cmd *, int, char **);
