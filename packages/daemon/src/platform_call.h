// Internals of the platform module: entry point of all store calls.
#pragma once

#include "daemon/platform_mod.h"

/// Start a call, directly or through a peer.
///
/// @return ERR_OK, or why it was not started; the callback is not called then
enum err platform_begin(struct core *c, const struct kv_call *call,
			struct kv_cb cb);
