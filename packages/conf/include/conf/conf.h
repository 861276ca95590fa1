// Immutable snapshot of a configuration document.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "key/key.h"

enum conf_field {
#define FIELD(sym, name, unit, def, min, max, doc) sym,
#include "conf/field.def"
#undef FIELD
	CONF_FIELDS
};

struct conf;

/// Scope of a look-up; unset members are NULL. An exception for an earlier
/// member takes precedence.
struct conf_scope {
	const char *route;
	const char *trainer;
	const char *team;
	const char *domain;
};

enum conf_target {
	CONF_TARGET_ENGINE,
	CONF_TARGET_SERVICE,
};

struct conf_route {
	const char *name;
	enum conf_target target;
	const char *service; ///< VM list's service name, "" for engines
	bool open; ///< calls need no key
	bool idempotent; ///< calls may be retried
	bool keep_cut_off; ///< exception: serves keyed work while CONF_CUT_OFF
	const char *const *teams; ///< allowed teams, NULL for all
	size_t n_teams;
};

struct conf_team {
	const char *name;
};

/// A team's key as stored.
struct conf_key {
	struct key_record rec;
	const char *team;
	bool withdrawn; ///< kept, so that callers get ERR_KEY_WITHDRAWN
};

enum {
	CONF_DOC_MAX_BYTES =
		900 * 1024, ///< bytes; fits a KV value and a peer message
	CONF_NAME_MAX = 63, ///< characters
	CONF_REASON_MAX_BYTES = 500,
};

/// Parse and validate a document.
///
/// @param text      JSON
/// @param len       bytes
/// @param[out] out  snapshot
/// @return ERR_OK, ERR_PARSE, ERR_INVALID, ERR_TOO_LARGE
enum err conf_parse(const char *text, size_t len, struct conf **out);

/// Free a snapshot.
///
/// @param c  snapshot or NULL
void conf_free(struct conf *c);

/// Revision of the document; each accepted edit increments it.
uint64_t conf_rev(const struct conf *c);

/// Value of a field for a scope (may be NULL), in the field's unit: exception,
/// document's default, or default of field.def (if c is NULL, too).
int64_t conf_get_int(const struct conf *c, enum conf_field f,
		     const struct conf_scope *scope);

/// Find a route by name.
///
/// @return route, NULL if there is none
const struct conf_route *conf_route_find(const struct conf *c,
					 const char *name);

/// Get a team by index.
///
/// @param i  index from 0
/// @return team, NULL past the end
const struct conf_team *conf_team_at(const struct conf *c, size_t i);

/// Find a team by name.
///
/// @return team, NULL if there is none
const struct conf_team *conf_team_find(const struct conf *c, const char *name);

/// Find a key by id, also a withdrawn one.
///
/// @return key, NULL if there is none
const struct conf_key *conf_key_find(const struct conf *c, const char *id);

/// Whether a team has a key that is not withdrawn.
bool conf_team_has_key(const struct conf *c, const char *team);

/// Text of the document.
///
/// @param[out] len  bytes
/// @return JSON, owned by the snapshot
const char *conf_text(const struct conf *c, size_t *len);

/// Whether operators have a failure domain in service.
///
/// @return true also for a failure domain that the document doesn't list
bool conf_domain_enabled(const struct conf *c, const char *domain);
