// The configuration in force on this node, and key checks.
#pragma once

#include "core/core.h"

struct conf;
struct conf_route;

enum conf_fresh {
	CONF_NONE, ///< no document yet: nothing keyed is served
	CONF_FRESH, ///< contact with the KV, own or through a peer
	CONF_KV_DOWN, ///< every failure domain is heard and none has contact
	CONF_CUT_OFF, ///< some failure domain is unheard and there is no contact
};

/// Document in force; valid until the next event.
///
/// @return snapshot, NULL before the first
const struct conf *conf_mod_current(struct core *c);

enum conf_fresh conf_mod_fresh(struct core *c);

/// Check a caller's key for a route and name its team.
///
/// @param route      route of the current document
/// @param bearer     key, may be NULL
/// @param[out] team  name of the team ("" on an open route without a key)
/// @param len        bytes of team
/// @return ERR_OK, ERR_KEY_MISSING, ERR_KEY_UNKNOWN, ERR_KEY_WITHDRAWN,
///         ERR_KEY_TEAM, ERR_CONF_CUT_OFF or ERR_CONF_NONE
enum err conf_mod_auth(struct core *c, const struct conf_route *route,
		       const char *bearer, char *team, size_t len);

/// Call fn on every new document, after it came into force.
enum err conf_mod_on_change(struct core *c,
			    void (*fn)(struct core *c, void *ctx), void *ctx);
