// Read side of a configuration document: an immutable snapshot.
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

/// What a value is asked for; unset members are NULL. An exception for the
/// route goes before one for the trainer, the team and the failure domain.
struct conf_scope {
	const char *route;
	const char *trainer;
	const char *team;
	const char *domain;
};

enum conf_target {
	CONF_ENGINE,
	CONF_SERVICE,
};

struct conf_route {
	const char *name;
	enum conf_target target;
	const char *service; ///< VM list's service name, "" for engines
	bool open; ///< no key needed
	bool idempotent; ///< calls may be sent again
	bool keep_cut_off; ///< excepted: keyed work goes on when cut off
	const char *const *teams; ///< teams that may use it, NULL for all
	size_t n_teams;
};

struct conf_team {
	const char *name;
};

/// A team's key as stored.
struct conf_key {
	struct key_record rec;
	const char *team;
	bool withdrawn; ///< kept for a while, so that callers are told why
};

enum {
	CONF_DOC_MAX =
		900 * 1024, ///< bytes; fits a KV value and a peer message
	CONF_NAME_MAX = 63, ///< characters of a name
	CONF_REASON_MAX = 500, ///< bytes of a reason
};

/// Parse and check a document.
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

/// Revision of the document: grows with each accepted edit.
uint64_t conf_rev(const struct conf *c);

/// Value of a field for a scope: exception, default, or the table's default.
int64_t conf_int(const struct conf *c, enum conf_field f,
		 const struct conf_scope *scope);

/// Route of a name.
///
/// @return route, NULL if there is none
const struct conf_route *conf_route_find(const struct conf *c,
					 const char *name);

/// Teams of the document.
///
/// @param i  index from 0
/// @return team, NULL past the end
const struct conf_team *conf_team_at(const struct conf *c, size_t i);

/// Team of a name.
///
/// @return team, NULL if there is none
const struct conf_team *conf_team_find(const struct conf *c, const char *name);

/// Key of an id.
///
/// @return key, NULL if there is none
const struct conf_key *conf_key_find(const struct conf *c, const char *id);

/// Whether a team has a key that is not withdrawn.
bool conf_team_has_key(const struct conf *c, const char *team);

/// The document's text.
///
/// @param[out] len  bytes
/// @return JSON, owned by the snapshot
const char *conf_text(const struct conf *c, size_t *len);

/// Whether operators have the failure domain in service.
///
/// @return true also for a failure domain that the document doesn't name
bool conf_domain_in(const struct conf *c, const char *domain);
