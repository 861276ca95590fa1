// Attempts of items at servers, for the files that send, move and cancel them.
#pragma once

#include "job/job.h"
#include "site/conf.h"
#include "site/server.h"

enum {
	/// Nodes assumed to send to a cold server at once; they share its rate.
	JOB_COLD_SENDERS = 4,
	/// Failed attempts before an item is given up, if the route has no limit.
	JOB_MAX_FAILURES = 3,
};

/// Batch and item index as the context of a callback.
void *job_item_ctx(const struct job *j, int item);

/// Decode the context of a callback.
///
/// @param[out] item  index
/// @return batch, NULL if this node no longer runs it
struct job *job_of_ctx(struct core *c, void *ctx, int *item);

/// Record a request's outcome for its server, and free its slot.
void job_release_slot(struct core *c, htab_handle server, bool ok);

/// Current route of a batch, NULL if it was removed.
const struct site_route *job_route(struct core *c, const struct job *j);

/// Requirements of the batch's items for server selection.
///
/// @return false if the batch's route was removed
bool job_server_needs(struct core *c, struct job *j,
		      struct site_request *needs);

/// URL of a path at a server; never truncated.
///
/// @return text in the arena, NULL when out of memory
const char *job_url(struct arena *a, const struct site_server *s,
		    const char *path);

/// Send a waiting item to a server; a partial text is continued.
///
/// @return false if nothing was sent
bool job_send_item(struct core *c, struct job *j, int item,
		   struct site_server *s);

/// Record an attempt's outcome for its server, and free its slot.
void job_release_attempt(struct core *c, struct job_attempt *attempt, bool ok);

/// Abort an attempt that cannot continue, as a failure of its server.
void job_abort_attempt(struct core *c, struct job *j,
		       struct job_attempt *attempt);
