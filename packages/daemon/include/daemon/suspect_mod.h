// Requests under which servers ended: evidence of this node and of others, and what is
// sent to no server any more.
#pragma once

#include "core/core.h"
#include "suspect/suspect.h"

/// What to do with a request that came; SUSPECT_TRY: suspect_mod_try().
///
/// @param owner  handle of the request
/// @param[out] wait_ms  SUSPECT_WAIT: until the request may be tried
enum suspect_verdict suspect_mod_verdict(struct core *c, struct suspect_id id,
					 htab_handle owner, int64_t *wait_ms);

/// Use a trial, or ask the store for it: call again within some round trips.
///
/// @return whether the request may be sent, once
bool suspect_mod_try(struct core *c, struct suspect_id id, htab_handle owner);

/// Whether a request that broke off is refused for good. Asks for no trial.
bool suspect_mod_refused(struct core *c, struct suspect_id id);

/// Record that no server ran the request of a trial.
void suspect_mod_trial_unused(struct core *c, struct suspect_id id);

/// Whether a request that broke off at a server may be sent to a further one.
bool suspect_mod_may_retry(struct core *c, struct suspect_id id);

/// Record that a request's connection broke off at a server.
///
/// @param started_ms  incarnation of the server, as in its entry
/// @param sent_ms  when it was sent there
void suspect_mod_ended(struct core *c, struct suspect_id id, const char *server,
		       int64_t started_ms, int64_t sent_ms);

/// Record that a server answered a request that was sent at sent_ms.
void suspect_mod_answered(struct core *c, struct suspect_id id,
			  const char *server, int64_t started_ms,
			  int64_t sent_ms);

/// As a home: send the barred requests to a node that said hello.
void suspect_mod_send_state(struct core *c, const char *node);
