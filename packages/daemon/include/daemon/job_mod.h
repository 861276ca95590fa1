// Batches kept in the platform's store: accepted by any node, run by one, read at
// every node.
#pragma once

#include "core/core.h"
#include "wire/front.h"

/// Accept a batch and answer its request.
///
/// @param req   request; its body is the batch
/// @param id    batch id
/// @param host  of its route
/// @param team  its team
void job_mod_submit(struct core *c, struct core_req *req, const char *id,
		    const char *host, const char *team);

/// Items and reward calls of this node's batches in flight at a service.
int job_mod_in_flight(struct core *c, const char *service);

/// Next batch that this node runs and that was not ended.
///
/// @param[in,out] iter  start with 0
/// @param[out] expected_tokens  of all its items
/// @return its model, NULL past the last one
const char *job_mod_next_running(struct core *c, size_t *iter,
				 int64_t *expected_tokens);

/// An open batch of this node.
struct job_open_batch {
	const char *service; ///< that generates its items
	const char *model;
	int64_t step;
	int waiting; ///< items not sent yet
	int running; ///< items in flight at servers
	int64_t events_left; ///< expected of waiting and running items
	uint64_t min_version;
	/// Deadline of results, a clock_now_ms() time; INT64_MAX for none.
	int64_t due_ms;
};

/// Next batch that this node runs with items waiting or running.
///
/// @param[in,out] iter  start with 0
/// @return false past the last one
bool job_mod_next_open(struct core *c, size_t *iter,
		       struct job_open_batch *out);

/// Whether a retired node has handed over all its batches.
bool job_mod_drained(struct core *c);

/// Serve a read of results, a read of an item's body, or the end of a batch.
///
/// @param call     the request
/// @param wait_ms  longest wait of a read of results, at most 2500 ms
/// @param team     team of the caller's key
void job_mod_call(struct core *c, struct core_req *req,
		  const struct front_call *call, int64_t wait_ms,
		  const char *team);
