// Calls to the platform that the leader alone makes.
#pragma once

#include "core/core.h"

/// A call as the adapter wrote it.
struct lead_call {
	const char *path;
	const char **headers; ///< NULL: the adapter was out of memory
	const char *body; ///< or NULL
	void (*on_done)(struct core *c, void *ctx,
			const struct core_fetch_result *res);
	void *ctx;
};

/// Send a call, a POST on a new connection. The caller checked its lease just
/// before: one that was paused between the check and this sends within moments
/// of its wake-up or not at all.
///
/// @return ERR_OK, or why it was not begun; on_done is not called then
enum err lead_call_send(struct core *c, const struct lead_call *call);
