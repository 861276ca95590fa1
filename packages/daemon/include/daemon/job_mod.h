// Batches that are kept in the platform's store: taken by any node, run by one,
// read at every node.
#pragma once

#include "core/core.h"
#include "wire/front.h"

/// Take a batch and answer its request.
///
/// @param req   request to be answered
/// @param id    batch's id
/// @param host  of its route
/// @param team  its team
void job_mod_submit(struct core *c, struct core_req *req, const char *id,
		    const char *host, const char *team);

/// Items of this node's batches that are at servers of a service.
int job_mod_need(struct core *c, const char *service);

/// Next batch that this node runs.
///
/// @param[in,out] iter  start with 0
/// @param[out] work     tokens that its items are expected to make
/// @return its model, NULL past the last one
const char *job_mod_next(struct core *c, size_t *iter, int64_t *expected_tokens);

/// An open batch of this node.
struct job_open {
	const char *service; ///< that its items go to
	const char *model;
	int64_t step;
	int waiting; ///< items
	int running; ///< items at servers
	int64_t events_left; ///< that these are expected to make
	uint64_t min_version;
	int64_t due_ms; ///< clock_now_ms() time at which results are due,
		///< INT64_MAX if the route does not say
};

/// Next batch that this node runs and that needs servers for generations.
///
/// @param[in,out] iter  start with 0
/// @return false past the last one
bool job_mod_open(struct core *c, size_t *iter, struct job_open *out);

/// Whether a node that is retired runs no batches any more.
bool job_mod_empty(struct core *c);

/// Answer a read of results, of an item's body, or the end of a batch.
///
/// @param call     what is asked
/// @param wait_ms  longest time that a read of results may wait
/// @param team     team of the caller's key
void job_mod_call(struct core *c, struct core_req *req,
		  const struct front_call *call, int64_t wait_ms,
		  const char *team);
