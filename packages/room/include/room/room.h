// What other nodes run at engines, by their reports. Pure: reports and `now` in,
// sums out; no clock, no socket.
//
// Load pattern: several homes send samples to the same engines. Each knows its own
// requests only, fills what looks free, and the engines refuse the excess.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/htab.h"

enum {
	ROOM_NAME_MAX = 64, ///< bytes of a name with its NUL
	ROOM_NODES_MAX = 64, ///< nodes whose reports are held
	ROOM_SERVERS = 512, ///< servers of a report
	ROOM_MODELS_MAX = 16, ///< models of a report
	ROOM_RUNNING_MAX = 65535, ///< requests of a node at a server
	/// Samples of a node in a step's row: sums over all nodes fit an int.
	ROOM_SAMPLES_MAX = 1 << 24,
	/// Seven reports of 200 ms: a lost home's slots are free for others soon,
	/// and a few lost reports change nothing.
	ROOM_REPORT_TTL_MS = 1500,
	/// A message that is later than this is not expected: the node's last
	/// process and number need not be remembered for longer.
	ROOM_NODE_TTL_MS = 10000,
	/// Two ticks of the loop: after it, the report of a node that began a step
	/// at the same moment has come.
	ROOM_ASSUME_PEER_MS = 40,
};

/// Requests of a node at a server.
struct room_server_requests {
	htab_handle
		server; ///< at the receiver, 0 if it does not know the server
	int running;
};

/// Open steps of a model at a node.
struct room_step {
	char model[ROOM_NAME_MAX];
	int64_t step; ///< the oldest of them
	int waiting; ///< samples
	int running; ///< samples at engines
	int64_t events_left; ///< that they are expected to make
	uint64_t min_version; ///< least of the weights that the steps allow
	int64_t due_in_ms; ///< from the sending to the earliest due time
};

struct room_report {
	uint64_t run; ///< start of the sender's process, by its wall clock
	uint64_t seq; ///< grows with each report of a process
	int64_t sent_ms; ///< clock_now_ms() of the sender
	struct room_server_requests at[ROOM_SERVERS];
	size_t n_at;
	struct room_step steps[ROOM_MODELS_MAX];
	size_t n_steps;
};

/// What a model needs of engines, over all nodes.
struct room_demand {
	int waiting; ///< samples
	int running; ///< samples at engines
	int64_t overdue_ms; ///< of the oldest open step past its due time, or 0
	int64_t as_of_ms; ///< time of the oldest report that counts
};

/// Nodes that have samples of a model waiting, beside this one.
struct room_competitors {
	int others;
	int rank; ///< those of them that come before this node
	uint32_t round; ///< changes with each report of one of them
	uint64_t min_version; ///< oldest weights that one of them can use
};

struct room_opts {
	const char *self; ///< this node, whose reports are refused
	/// Requests of other nodes at a server changed.
	void (*add)(void *ctx, htab_handle server, int delta);
	void *ctx;
};

struct room;

/// @return table, NULL when out of memory
struct room *room_new(const struct room_opts *opts);

/// @param r  table or NULL
void room_free(struct room *r);

/// Take a report.
///
/// @param node  that sent it
/// @return ERR_OK; ERR_INVALID for one of this node, of an earlier process, one
///         that was overtaken or is too old; ERR_FULL
enum err room_take(struct room *r, int64_t now, const char *node,
		   const struct room_report *rep);

/// Drop reports that are too old.
///
/// @return nodes whose report was dropped
int room_expire(struct room *r, int64_t now);

/// Nodes whose reports count.
int room_node_count(const struct room *r);

/// Requests of other nodes at a server.
int room_peer_requests(const struct room *r, htab_handle server);

/// Need of a model.
///
/// @param own       open steps of this node, as of now
/// @param n_own     count
/// @param[out] out  need; zero for a model that no report names
/// @return false if there is no report, and no open step of this node
bool room_sum_demand(const struct room *r, int64_t now, const char *model,
		     const struct room_step *own, size_t n_own,
		     struct room_demand *out);

/// Other nodes that compete for the engines of a model.
///
/// @param begun_ms  begin of this node's step: for ROOM_HOLD_MS one node that
///                  began at the same moment is assumed
struct room_competitors room_competitors(const struct room *r, int64_t now,
					 const char *model, int64_t begun_ms);

/// Add a batch to a report, to the row of its model.
///
/// @param step  open step
/// @return false when the rows are all taken
bool room_report_step(struct room_report *rep, const struct room_step *step);
