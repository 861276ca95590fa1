// Requests under which servers ended: evidence of this node and of others, and what is
// sent to no server any more.
#pragma once

#include "core/core.h"
#include "suspect/identity.h"

/// Whether a request that came may not be sent to any server.
bool suspect_mod_barred(struct core *c, struct suspect_id id);

/// Whether a request that broke off at a server may be sent to a further one.
bool suspect_mod_may_retry(struct core *c, struct suspect_id id);

/// Record that a request's connection broke off at a server.
///
/// @param started_ms  incarnation of the server, as in its entry
void suspect_mod_ended(struct core *c, struct suspect_id id, const char *server,
		       int64_t started_ms);

/// Record that a server answered a request that was sent at sent_ms.
void suspect_mod_answered(struct core *c, struct suspect_id id,
			  const char *server, int64_t started_ms,
			  int64_t sent_ms);

/// As a home: send the barred requests to a node that said hello.
void suspect_mod_send_state(struct core *c, const char *node);
