// Duties held by lease, and orders that only a holder can send.
#pragma once

#include "core/core.h"

/// Ask to hold a duty whenever its lease is free; call from start() or later.
///
/// @param name  duty, such as "usage" or "fleet/d1"
/// @return ERR_OK, also when it was asked before; ERR_CLOSED before this module
///         started; ERR_FULL
enum err duty_mod_want(struct core *c, const char *name);

/// Whether this node holds a duty now, and has finished the orders that earlier
/// holders had written down.
///
/// @param[out] epoch  fencing number of the holding
bool duty_mod_held(struct core *c, const char *name, uint64_t *epoch);

/// Since when a duty is held without a gap, orders of earlier holders finished.
///
/// @return clock_now_ms() time, 0 if it isn't held
int64_t duty_mod_since(struct core *c, const char *name);

/// Send an order through the duty's gate. It is written to the store first
/// (`order/DOMAIN/ID` for a duty `fleet/DOMAIN`, `order/@NAME/ID` for others),
/// and sent again under the same id until it is answered, the duty is lost or a
/// minute has passed. After a loss the next holder sends it once more.
///
/// @param name  duty that must be held
/// @param path  path at the platform, such as "/orders" or "/usage"
/// @param body  JSON object with the epoch and the order's "id", or the
///              "window" of a usage report, which then is its id
/// @param fn    called once: ERR_OK with the answer's status; ERR_DUTY_NOT_HELD:
///              surely not sent by this node; ERR_TIMEOUT: outcome unknown
/// @return ERR_OK, ERR_DUTY_NOT_HELD, ERR_INVALID, ERR_FULL
enum err duty_mod_send(struct core *c, const char *name, const char *path,
		       const char *body, size_t len,
		       void (*fn)(struct core *c, void *ctx, enum err e,
				  int status, const char *body, size_t len),
		       void *ctx);
