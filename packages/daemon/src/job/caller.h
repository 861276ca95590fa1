// Who waits for an answer about a batch: a request of this node, or another node
// that asked on behalf of one.
#pragma once

#include "core/core.h"

struct job_caller {
	htab_handle req; ///< request of this node, 0 for a node's question
	char node[64]; ///< that asked
	uint64_t seq; ///< of its question
};

/// Answer with a body.
void job_caller_answer(struct core *c, const struct job_caller *to, int status,
		       const char *ctype, const void *body, size_t len);

/// Answer with a typed error; see core_reply_err().
void job_caller_refuse(struct core *c, const struct job_caller *to, enum err e,
		       enum run_state run, int64_t retry_after_ms);
