// The home of a team's batches: one node runs and answers for them, so that
// connections to servers are used again and readers need not ask the store.
//
// Load pattern: batches of a few trainers every few seconds, each call at another
// node. A home is a convenience, no authority: whatever it does goes by the
// conditional writes that any other node could make, and a node whose home does
// not answer does the work itself.
#pragma once

#include "core/core.h"
#include "daemon/site_mod.h"
#include "wire/front.h"

/// What is asked of a home.
struct home_ask {
	uint64_t seq;
	enum home_request_kind {
		HOME_SUBMIT,
		HOME_RESULTS,
		HOME_BODY,
		HOME_END,
	} kind;
	const char *addr; ///< where the asker takes messages
	const char *job; ///< batch
	const char *item; ///< of BODY
	const char *team;
	const char *host; ///< of SUBMIT
	const char *path; ///< of SUBMIT
	uint64_t after; ///< of RESULTS
	int64_t wait_ms; ///< of RESULTS
	const char *body; ///< of SUBMIT
	size_t len; ///< bytes
};

struct home_reply {
	uint64_t seq;
	enum err err; ///< ERR_OK: status and body stand
	enum run_state run; ///< with an error
	int status;
	const char *ctype;
	const char *body;
	size_t len; ///< bytes
};

/// Home of a team's batches among the nodes that can be asked.
///
/// @param other  leave this node out
/// @return node, NULL if there is none; valid until the next event
const struct site_node *job_home_of(struct core *c, const char *team,
				    bool exclude_self);

/// Register the messages.
enum err job_home_start(struct core *c);

/// Ask the home of a team's batches, if it is another node that can be asked.
///
/// @return false: this node has to do the work
bool job_home_forward(struct core *c, struct core_req *req,
		      const struct home_ask *request);

/// Give up on homes that do not answer: this node does the work.
void job_home_step(struct core *c);

void job_home_reply(struct core *c, const char *node,
		    const struct home_reply *reply);

void job_home_free(struct core *c);
