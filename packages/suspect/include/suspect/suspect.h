// Requests under which servers ended, and those that no server gets any more. No I/O and
// no clock.
//
// Evidence against a request: its connection broke off at several servers and no server
// ever answered it. Evidence for it: an answer from any server, or that a server at which
// it broke off answered a request that was sent later, and so did not end.
//
// Servers that end at the same time are weak evidence: an outage of their domain looks the
// same. It is tested by a trial, in which one node of all sends the request once.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "suspect/identity.h"

enum {
	SUSPECT_SERVERS =
		3, ///< servers that end under a request before it is barred
	SUSPECT_ENTRIES_MAX = 512, ///< requests; those barred are evicted last
	SUSPECT_ANSWERED_MAX = 4096, ///< recent answers, a power of two
	SUSPECT_ANSWERED_MS =
		60000, ///< an answer speaks for its request this long
	SUSPECT_KEEP_MS = 600000, ///< since a request came last
	/// An end belongs to a new moment if its request was sent at least this long after
	/// the end before. A failure domain is lost within less.
	SUSPECT_MOMENT_MS = 1000,
	SUSPECT_MOMENTS = 3, ///< that confirm a request without a trial
	/// Further trials of a confirmed request, over all nodes. Source: the users allow
	/// three sendings after the third server, the one that confirmed it included.
	SUSPECT_TRIALS_CONFIRMED = 2,
	SUSPECT_SERVER_ID = 64, ///< bytes of a server's id, with NUL
};

/// A server at which a request broke off.
struct suspect_server {
	char id[SUSPECT_SERVER_ID];
	int64_t started_ms; ///< incarnation
	int64_t ended_ms; ///< when the connection broke off
};

struct suspect_entry {
	struct suspect_id id; ///< 0: the entry is free
	struct suspect_server servers[SUSPECT_SERVERS];
	int n_servers;
	int moments; ///< in which servers ended
	int64_t moment_end_ms; ///< last end of the latest
	bool confirmed; ///< servers ended one after the other, or in a trial
	int trials; ///< that some node had
	int last_trial; ///< the same at all nodes; once it is confirmed
	int64_t next_trial_ms;
	int64_t barred_ms; ///< since then no server gets it, 0: not barred
	int64_t cleared_ms; ///< earlier news that it is barred is outdated, 0: none
	int64_t seen_ms; ///< it came, or another node heard of it
	int64_t told_ms; ///< last told to other nodes that it still comes
};

enum suspect_change {
	SUSPECT_SAME,
	SUSPECT_COUNTED, ///< one more server
	SUSPECT_BARRED,
	SUSPECT_CONFIRMED, ///< barred, and a server ended once more
	SUSPECT_CLEARED, ///< no longer barred, or no longer suspected
};

/// What may be done with a request that came.
enum suspect_verdict {
	SUSPECT_SEND,
	SUSPECT_TRY, ///< by the node that is granted its next trial
	SUSPECT_WAIT, ///< it is not known yet whether it ends servers
	SUSPECT_REFUSE,
};

struct suspects;

/// @return table, NULL when out of memory
struct suspects *suspects_new(void);

/// @param t  table or NULL
void suspects_free(struct suspects *t);

/// Record that a request's connection broke off at a server.
/// Load pattern: a failure domain is lost with hundreds of requests in flight, many of
/// them alike; and a single request that ends a server each time it comes. A server
/// counts once for a request, and not if such a request was answered lately.
///
/// @param sent_ms  when it was sent there
enum suspect_change suspects_ended(struct suspects *t, int64_t now,
				   struct suspect_id id, const char *server,
				   int64_t started_ms, int64_t sent_ms);

/// What to do with a request that came now.
/// Load pattern: all servers of a service end at once under lookups that are alike, and
/// callers go on asking; and a request that ends each server, from one caller or many.
///
/// @param[out] wait_ms  SUSPECT_WAIT: until it may be tried
enum suspect_verdict suspects_verdict(struct suspects *t, int64_t now,
				      struct suspect_id id, int64_t *wait_ms);

/// Record that a node was granted a trial, this one or another.
///
/// @param trial  its number, from 1
void suspects_trial_granted(struct suspects *t, int64_t now,
			    struct suspect_id id, int trial);

/// Record that a server refused the request of a trial without running it.
void suspects_trial_unused(struct suspects *t, int64_t now,
			   struct suspect_id id);

/// Record that a server answered a request.
enum suspect_change suspects_answered(struct suspects *t, int64_t now,
				      struct suspect_id id);

/// Record that a server answered a request that was sent at sent_ms: what broke off
/// there before did not end it.
///
/// @param[out] changed  requests that are no longer barred
/// @param max           of them
/// @return number of them; *known tells whether any request counted the server
size_t suspects_outlived(struct suspects *t, const char *server,
			 int64_t started_ms, int64_t sent_ms,
			 struct suspect_id *changed, size_t max, bool *known);

/// Whether a server answered a request in the last SUSPECT_ANSWERED_MS at this node.
bool suspects_answered_lately(struct suspects *t, int64_t now,
			      struct suspect_id id);

/// Record another node's news that a request is barred; ignored if it was answered
/// lately at this node, whose answers the other one may not know of.
///
/// @param seen_ms  when it came last, as known there
enum suspect_change suspects_set_barred(struct suspects *t, int64_t now,
					struct suspect_id id, int64_t barred_ms,
					int64_t seen_ms);

/// Record that a server ended under a barred request once more, as another node or the
/// store says.
///
/// @param last_trial  number of the last trial that any node may be granted
enum suspect_change suspects_confirm(struct suspects *t, int64_t now,
				     struct suspect_id id, int last_trial);

/// Clear a request, by an operator or by another node's news.
enum suspect_change suspects_clear(struct suspects *t, int64_t now,
				   struct suspect_id id);

/// Entry of a request that came now, NULL if it is not suspected.
struct suspect_entry *suspects_find(struct suspects *t, int64_t now,
				    struct suspect_id id);

/// Whether a request may be sent to a further server at once after it broke off at one:
/// not if the next one could be the last that it ends.
bool suspects_may_retry(struct suspects *t, int64_t now, struct suspect_id id);

/// Iterate over the entries.
///
/// @param[in,out] iter  start with 0
/// @return next entry, NULL at the end
struct suspect_entry *suspects_next(struct suspects *t, size_t *iter);
