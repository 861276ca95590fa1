// Caller of a batch operation: a request at this node, or a node that forwarded one.
#pragma once

#include "core/core.h"

struct job_caller {
	htab_handle req; ///< at this node; 0 if another node forwarded it
	struct core_peer_run from; ///< process that forwarded the request
	uint64_t seq; ///< of its request
};

/// Answer with a status and a body.
void job_caller_answer(struct core *c, const struct job_caller *to, int status,
		       const char *ctype, const void *body, size_t len);

/// Answer with a typed error; see core_reply_err().
void job_caller_refuse(struct core *c, const struct job_caller *to, enum err e,
		       enum run_state run, int64_t retry_after_ms);
