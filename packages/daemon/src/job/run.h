// Items at servers, for the files that send, move and end them.
#pragma once

#include "job/job.h"
#include "site/conf.h"
#include "site/server.h"

/// Route of a batch as it is now, NULL if it was removed.
const struct site_route *job_route(struct core *c, const struct job *j);

/// What an item of the batch needs of a server.
///
/// @return false if its route is gone
bool job_ask_of(struct core *c, struct job *j, struct site_ask *ask);

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
void job_leave_server(struct core *c, struct job_at_server *at, bool ok);

/// End a run that can't go on at its server.
void job_cut(struct core *c, struct job *j, struct job_at_server *at);
