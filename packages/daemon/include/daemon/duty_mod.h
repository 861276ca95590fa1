// Duties: singleton roles, each held by at most one node through a lease in
// the store. Only the holder can send orders to the platform.
#pragma once

#include "core/core.h"

/// Campaign for a duty: this node acquires it whenever its lease is free, until
/// the process drains. Call from start() or later.
///
/// @param name  duty, such as "usage" or "fleet/d1"
/// @return ERR_OK, also if already campaigning; ERR_CLOSED before this module
///         started; ERR_FULL: too many duties or name too long;
///         ERR_NOMEM
enum err duty_mod_want(struct core *c, const char *name);

/// Whether this node holds a duty now and has resumed and finished every order
/// of earlier holders.
///
/// @param[out] epoch  fencing token of this term, may be NULL
bool duty_mod_held(struct core *c, const char *name, uint64_t *epoch);

/// Start of the current term as ready holder: the duty is held without
/// interruption and the orders of earlier holders are finished.
///
/// @return clock_now_ms() time, 0 if duty_mod_held() is false
int64_t duty_mod_held_since(struct core *c, const char *name);

/// Send an order to the platform through the duty's gate. An intent is written
/// to the store first (`order/DOMAIN/ID` for a duty `fleet/DOMAIN`,
/// `order/@NAME/ID` for others). The order is retried under the same id until
/// it is answered, the duty is lost or 60 s have passed. If the duty is lost,
/// the next holder reads the intent and sends the order again.
///
/// @param name  duty; this node must hold it
/// @param path  path at the platform, such as "/orders" or "/usage"
/// @param body  JSON object with the epoch and the order's "id"; a usage report
///              has a "window" instead, which serves as the id
/// @param fn    called once: ERR_OK with the HTTP status and body of the reply;
///              ERR_DUTY_NOT_HELD: this node did not send it; ERR_TIMEOUT:
///              outcome unknown
/// @return ERR_OK: fn will be called; ERR_DUTY_NOT_HELD, ERR_INVALID (body has
///         no id), ERR_FULL, ERR_NOMEM
enum err duty_mod_send(struct core *c, const char *name, const char *path,
		       const char *body, size_t len,
		       void (*fn)(struct core *c, void *ctx, enum err e,
				  int status, const char *body, size_t len),
		       void *ctx);
