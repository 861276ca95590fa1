// Duties: roles that one node at a time holds by lease. Only the holder can
// send orders to the platform.
#pragma once

#include "core/core.h"

/// Campaign for a duty, from start() or later: acquire it whenever its lease is
/// free.
///
/// @param name  duty, such as "usage" or "fleet/d1"
/// @return ERR_OK, also if already campaigning; ERR_CLOSED before this module
///         started; ERR_FULL, ERR_NOMEM
enum err duty_mod_campaign(struct core *c, const char *name);

/// Whether this node holds a duty and has finished the orders of earlier
/// holders.
///
/// @param[out] epoch  fencing token, may be NULL
bool duty_mod_held(struct core *c, const char *name, uint64_t *epoch);

/// Since when duty_mod_held() is true without a gap.
///
/// @return clock_now_ms() time, 0 if it isn't held
int64_t duty_mod_held_since(struct core *c, const char *name);

/// Send an order through the duty's gate. An intent is stored first
/// (`order/DOMAIN/ID` for a duty `fleet/DOMAIN`, `order/@NAME/ID` for others).
/// The order is retried under the same id until it is answered, the duty is
/// lost or 60 s have passed. After a loss the next holder sends it once more.
///
/// @param name  duty that must be held
/// @param path  path at the platform, such as "/orders" or "/usage"
/// @param body  JSON object with the epoch and an "id", or the "window" of a
///              usage report as id
/// @param fn    called once: ERR_OK with the HTTP status; ERR_DUTY_NOT_HELD:
///              not sent by this node; ERR_TIMEOUT: outcome unknown
/// @return ERR_OK, ERR_DUTY_NOT_HELD, ERR_INVALID, ERR_FULL, ERR_NOMEM
enum err duty_mod_send(struct core *c, const char *name, const char *path,
		       const char *body, size_t len,
		       void (*fn)(struct core *c, void *ctx, enum err e,
				  int status, const char *body, size_t len),
		       void *ctx);
