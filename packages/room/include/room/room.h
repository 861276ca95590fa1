// Requests that other nodes run at engines, from their reports: how much room (free
// slots) engines have. Does no I/O; callers pass the time.
//
// Load pattern: several nodes send samples to the same engines. A node that knows
// only its own requests fills slots that look free, and engines reject the excess.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/htab.h"

enum {
	ROOM_NAME_MAX = 64, ///< bytes of a name, including the NUL
	ROOM_NODES_MAX = 64, ///< nodes in the table
	ROOM_SERVERS_MAX = 512, ///< servers in a report
	ROOM_MODELS_MAX = 16, ///< models in a report
	ROOM_RUNNING_MAX = 65535, ///< requests of a node at a server
	/// Samples of a node for one model; sums over all nodes fit in an int.
	ROOM_SAMPLES_MAX = 1 << 24,
	/// Seven report intervals of 200 ms: a few lost reports have no effect, and
	/// the slots of a lost node are soon free for others.
	ROOM_REPORT_TTL_MS = 1500,
	/// No message is expected to be delayed for longer, so a node's last process
	/// and sequence number can then be forgotten.
	ROOM_NODE_TTL_MS = 10000,
	/// Two ticks of the loop: by then the report of a node that began a step at
	/// the same moment has arrived.
	ROOM_ASSUME_PEER_MS = 40,
};

/// Requests of a node at a server.
struct room_server_requests {
	htab_handle server; ///< at the receiver, 0 if unknown there
	int running;
};

/// Open steps of a model at a node.
struct room_step {
	char model[ROOM_NAME_MAX];
	int64_t step; ///< number of the oldest one
	int waiting; ///< samples waiting for an engine
	int running; ///< samples at engines
	int64_t events_left; ///< events expected of these
	uint64_t min_version; ///< oldest weights that the steps allow
	int64_t due_in_ms; ///< from sent_ms to the earliest due time, may be < 0
};

struct room_report {
	uint64_t
		process_start_ms; ///< wall clock start of the sender's process, in ms
	uint64_t seq; ///< increases with each report of a process
	int64_t sent_ms; ///< clock_now_ms() of the sender
	struct room_server_requests servers[ROOM_SERVERS_MAX];
	size_t n_servers;
	struct room_step steps[ROOM_MODELS_MAX];
	size_t n_steps;
};

/// Demand of a model for engines, summed over all nodes.
struct room_demand {
	int waiting; ///< samples waiting for an engine
	int running; ///< samples at engines
	int64_t overdue_ms; ///< of the step that is most overdue, or 0
	int64_t as_of_ms; ///< when the oldest report that counts was sent
};

/// Other nodes that have samples of a model waiting.
struct room_competitors {
	int others; ///< count
	int rank; ///< how many have a name before this node's
	uint32_t round; ///< changes with each report of any of them
	uint64_t min_version; ///< oldest weights that any of them can use
};

struct room_opts {
	const char *self; ///< this node, whose reports are refused
	/// Called when the requests of other nodes at a server change.
	void (*on_change)(void *ctx, htab_handle server, int delta);
	void *ctx;
};

struct room;

/// @return table, NULL when out of memory
struct room *room_new(const struct room_opts *opts);

/// @param r  table or NULL
void room_free(struct room *r);

/// Accept a report, replacing the node's previous one.
///
/// @param node  sender
/// @return ERR_OK; ERR_INVALID if it is this node's own, oversized, of an earlier
///         process, out of sequence or too old; ERR_FULL
enum err room_accept_report(struct room *r, int64_t now, const char *node,
			    const struct room_report *rep);

/// Drop reports older than ROOM_REPORT_TTL_MS.
///
/// @return number of nodes whose report was dropped
int room_expire(struct room *r, int64_t now);

/// Number of nodes whose reports count.
int room_node_count(const struct room *r);

/// Requests of other nodes at a server.
int room_peer_requests(const struct room *r, htab_handle server);

/// Demand of a model.
///
/// @param own       open steps of this node, as of now
/// @param n_own     count
/// @param[out] out  demand, without samples if the model has no open step
/// @return false if this node has no open step and no report counts
bool room_sum_demand(const struct room *r, int64_t now, const char *model,
		     const struct room_step *own, size_t n_own,
		     struct room_demand *out);

/// Other nodes that compete for the engines of a model.
///
/// @param begun_ms  start of this node's step: if no competitor is known, one that
///                  started at the same moment is assumed for ROOM_ASSUME_PEER_MS
struct room_competitors room_competitors(const struct room *r, int64_t now,
					 const char *model, int64_t begun_ms);

/// Add an open step to the row of its model in a report.
///
/// @return false if no row is left for its model
bool room_report_add_step(struct room_report *rep,
			  const struct room_step *step);
