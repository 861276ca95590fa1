// Forwards requests to a team's home node, which runs the team's batches and answers for
// them: connections to servers are reused, and reads need no store call.
//
// Load pattern: batches of a few trainers every few seconds, each call at another node.
// The home is only an optimization: it uses the same compare-and-swap writes as any
// node, and a node whose home does not answer serves the request itself.
#pragma once

#include "core/core.h"
#include "daemon/site_mod.h"
#include "wire/front.h"

/// Request to a home node.
struct home_request {
	uint64_t seq;
	enum home_request_kind {
		HOME_SUBMIT,
		HOME_RESULTS,
		HOME_BODY,
		HOME_END,
	} kind;
	const char *addr; ///< peer address of the sender
	const char *job; ///< batch id
	const char *item; ///< item id; BODY only
	const char *team;
	const char *host; ///< of the route; SUBMIT only
	const char *path; ///< SUBMIT only
	uint64_t after; ///< position; RESULTS only
	int64_t wait_ms; ///< RESULTS only
	const char *body; ///< SUBMIT only
	size_t len; ///< bytes
};

struct home_reply {
	uint64_t seq; ///< of its request
	enum err err; ///< ERR_OK: status and body are set
	enum run_state run; ///< errors only
	int status;
	const char *ctype;
	const char *body;
	size_t len; ///< bytes
};

/// Home node of a team, among those that can serve requests now.
///
/// @return node, NULL if there is none; valid until the next event
const struct site_node *job_home_of(struct core *c, const char *team,
				    bool exclude_self);

/// Register the message handlers.
enum err job_home_start(struct core *c);

/// Forward a request to the team's home, if that is another node.
///
/// @return false if this node has to serve the request
bool job_home_forward(struct core *c, struct core_req *req,
		      const struct home_request *request);

/// Bytes of the submissions that are on their way to homes.
size_t job_home_memory(const struct core *c);

/// Serve requests locally whose home timed out.
void job_home_step(struct core *c);

void job_home_reply(struct core *c, const struct core_peer_run *to,
		    const struct home_reply *reply);

void job_home_free(struct core *c);
