// Answers requests at this node and requests forwarded by other nodes.
#include "job/caller.h"

#include <msgpack.h>

#include "base/log.h"
#include "job/home.h"

void job_caller_answer(struct core *c, const struct job_caller *to, int status,
		       const char *ctype, const void *body, size_t len)
{
	const struct home_reply reply = {
		.seq = to->seq,
		.status = status,
		.ctype = ctype,
		.body = body,
		.len = len,
	};

	if (to->req)
		core_reply(c, to->req, status, ctype, body, len);
	else
		job_home_reply(c, &to->from, &reply);
}

void job_caller_refuse(struct core *c, const struct job_caller *to, enum err e,
		       enum run_state run, int64_t retry_after_ms)
{
	const struct home_reply reply = {
		.seq = to->seq,
		.err = e,
		.run = run,
		.ctype = "",
		.body = "",
	};

	if (to->req)
		core_reply_err(c, to->req, e, run, retry_after_ms, NULL);
	else
		job_home_reply(c, &to->from, &reply);
}
