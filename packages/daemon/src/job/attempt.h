// Items at servers, for the files that send, move and end them.
#pragma once

#include "job/job.h"
#include "site/conf.h"
#include "site/server.h"

enum {
	/// Nodes that send to one cold server at once: its rate is shared.
	JOB_COLD_SENDERS = 4,
	/// Failed tries after which an item is given up, for a route that does not
	/// say.
	JOB_MAX_FAILURES = 3,
};

/// Batch and index of an item as the context of a callback.
void *job_item_ctx(const struct job *j, int item);

/// Item of a callback.
///
/// @param[out] item  index
/// @return its batch, NULL if this node does not run it any more
struct job *job_of_ctx(struct core *c, void *ctx, int *item);

/// Note at a server how a request went, and free its place.
void job_release_slot(struct core *c, htab_handle server, bool ok);

/// Route of a batch as it is now, NULL if it was removed.
const struct site_route *job_route(struct core *c, const struct job *j);

/// What an item of the batch needs of a server.
///
/// @return false if its route is gone
bool job_server_needs(struct core *c, struct job *j, struct site_ask *needs);

/// URL of a path at a server, whole however long the path is.
///
/// @return text in the arena, NULL when out of memory
const char *job_url(struct arena *a, const struct site_server *s,
		    const char *path);

/// Send an item, or go on with its text.
///
/// @return false if nothing was sent
bool job_send_item(struct core *c, struct job *j, int item,
		   struct site_server *s);

/// Note at the server how a run went, and free its place.
void job_release_attempt(struct core *c, struct job_attempt *attempt, bool ok);

/// End a run that can't go on at its server.
void job_abort_attempt(struct core *c, struct job *j,
		       struct job_attempt *attempt);
