// Calls to the platform that only the leader makes.
#pragma once

#include "core/core.h"

/// A call as encoded by the adapter.
struct lead_call {
	const char *path;
	const char **headers; ///< NULL: the adapter was out of memory
	const char *body; ///< or NULL
	void (*on_done)(struct core *c, void *ctx,
			const struct core_fetch_result *res);
	void *ctx;
};

/// Send a call, a POST on a new connection. The caller must have checked its lease
/// just before: a process that was paused in between sends within moments after it
/// resumes, or not at all.
///
/// @return ERR_OK, or why it was not started; on_done is not called then
enum err lead_call_send(struct core *c, const struct lead_call *call);
