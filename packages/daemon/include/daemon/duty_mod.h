// Duties held by lease, and orders that only a holder can send.
#pragma once

#include "core/core.h"

/// Ask to hold a duty whenever its lease is free; call from start().
///
/// @param name  duty, such as "usage" or "fleet/d1"
enum err duty_mod_want(struct core *c, const char *name);

/// Whether this node holds a duty now.
///
/// @param[out] epoch  fencing number of the holding
bool duty_mod_held(struct core *c, const char *name, uint64_t *epoch);

/// Send an order through the duty's gate.
///
/// @param name  duty that must be held
/// @param path  path at the platform, such as "/orders" or "/usage"
/// @param body  JSON; id and epoch in it are the caller's
/// @param fn    status 0 when the outcome is unknown
/// @return ERR_OK, ERR_DUTY_NOT_HELD, ERR_FULL
enum err duty_mod_send(struct core *c, const char *name, const char *path,
		       const char *body, size_t len,
		       void (*fn)(struct core *c, void *ctx, enum err e,
				  int status, const char *body, size_t len),
		       void *ctx);
