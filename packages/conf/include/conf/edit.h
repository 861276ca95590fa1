// Edits of a document: operations applied to a snapshot give a new one.
#pragma once

#include "conf/conf.h"

struct json_t;

enum {
	CONF_EDIT_HISTORY_MAX = 100, ///< late edits that a document remembers
	CONF_EDIT_OPS_MAX = 200, ///< most operations of one edit
	CONF_WITHDRAWN_KEYS_MAX =
		256, ///< withdrawn keys that a document remembers
};

/// What became of an edit.
struct conf_edit_info {
	uint64_t rev; ///< revision that holds the edit, when accepted
	bool already_applied; ///< the document held the edit before
	char conflict_author[CONF_NAME_MAX +
			     1]; ///< of the other edit, on a clash
	uint64_t conflict_rev; ///< of the other edit, on a clash
	char detail[192]; ///< what is wrong, for people
};

/// Apply an edit: `{"id","author","ops":[...],"base_rev":N}`. Without
/// base_rev no clash is looked for; with it, an edit that was accepted after
/// that revision and touches the same thing is a clash.
///
/// @param base       snapshot, NULL when there is no document yet
/// @param edit       the edit
/// @param[out] next  snapshot with the edit; NULL on error or if already there
/// @param[out] info  outcome
/// @return ERR_OK, ERR_CONF_CLASH, ERR_CONF_EXISTS, ERR_CONF_ABSENT,
///         ERR_CONF_REASON, ERR_CONF_OP, ERR_CONF_FIELD, ERR_CONF_RANGE,
///         ERR_INVALID, ERR_TOO_LARGE, ERR_NOMEM
enum err conf_edit_apply(const struct conf *base, const struct json_t *edit,
			 struct conf **next, struct conf_edit_info *info);

/// Whether the document remembers an edit.
///
/// @param[out] rev  revision of the edit, may be NULL
bool conf_edit_find(const struct conf *c, const char *id, uint64_t *rev);

/// The document without salts, hashes and late edits, for operators.
///
/// @return new reference, NULL when out of memory
struct json_t *conf_public_json(const struct conf *c);
