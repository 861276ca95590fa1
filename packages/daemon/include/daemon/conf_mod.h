// The configuration in force on this node, and checks of keys.
#pragma once

#include "conf/sync.h"
#include "core/core.h"

/// Document in force; valid until the next event.
///
/// @return snapshot, NULL if there is none yet
const struct conf *conf_mod_current(struct core *c);

/// Freshness of the document in force.
enum conf_freshness conf_mod_freshness(struct core *c);

/// Check a caller's key for a route and get its team.
///
/// @param route      route of the current document
/// @param bearer     key, may be NULL
/// @param[out] team  name of the team ("" on an open route without a key)
/// @param len        bytes of team
/// @return ERR_OK, ERR_KEY_MISSING, ERR_KEY_UNKNOWN, ERR_KEY_WITHDRAWN,
///         ERR_KEY_TEAM, ERR_CONF_CUT_OFF or ERR_CONF_NONE
enum err conf_mod_auth(struct core *c, const struct conf_route *route,
		       const char *bearer, char *team, size_t len);

/// Id of a caller's key, for later checks without storing the key.
///
/// @param bearer   key, may be NULL
/// @param[out] id  KEY_ID_LEN + 1 bytes, "" if there is none
void conf_mod_key_id(const char *bearer, char *id);

/// Check whether work admitted with a key may still start or continue.
///
/// @param route  route of the current document, NULL if it was removed
/// @param id     id of the key, "" for none
/// @return as conf_mod_auth()
enum err conf_mod_check_key(struct core *c, const struct conf_route *route,
			    const char *id);

/// Check whether admitted work of a team, such as a batch, may continue: the
/// team may use the route and has a key that is not withdrawn.
///
/// @param route  route of the current document, NULL if it was removed
/// @param team   team's name, "" on an open route without a key
/// @return ERR_OK, ERR_NOT_FOUND, ERR_KEY_WITHDRAWN, ERR_KEY_TEAM,
///         ERR_CONF_CUT_OFF or ERR_CONF_NONE
enum err conf_mod_check_team(struct core *c, const struct conf_route *route,
			     const char *team);

/// Call fn after a new document is in force, and when the node enters or leaves
/// CONF_CUT_OFF.
enum err conf_mod_on_change(struct core *c,
			    void (*fn)(struct core *c, void *ctx), void *ctx);
