// Inside of the platform module: one way in for every call.
#pragma once

#include "daemon/platform_mod.h"

/// Begin a call, directly or by a peer.
///
/// @return ERR_OK, or why it was not begun; the callback is not called then
enum err platform_begin(struct core *c, const struct kv_call *call,
			struct kv_cb cb);
