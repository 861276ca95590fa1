// Edits: operations that turn a snapshot into a new one.
#pragma once

#include "conf/conf.h"

struct json_t;

enum {
	CONF_EDIT_HISTORY_MAX = 100, ///< latest edits stored in a document
	CONF_EDIT_OPS_MAX = 200, ///< operations of one edit
	CONF_WITHDRAWN_KEYS_MAX = 256, ///< withdrawn keys stored in it
};

/// Outcome of an edit.
struct conf_edit_info {
	uint64_t rev; ///< revision that contains the edit, if accepted
	bool already_applied; ///< the document contained the edit
	char conflict_author[CONF_NAME_MAX + 1]; ///< of the conflicting edit
	uint64_t conflict_rev; ///< of the conflicting edit
	char detail[192]; ///< cause of an error, for people
};

/// Apply an edit: `{"id","author","ops":[...],"base_rev":N}`. With
/// base_rev, a later edit of the same object is a conflict; without it,
/// conflicts aren't checked. Retries with the same id are idempotent.
///
/// @param base       snapshot, NULL when there is no document yet
/// @param edit       JSON of the edit
/// @param[out] next  snapshot with the edit; NULL on error or already_applied
/// @param[out] info  outcome
/// @return ERR_OK, ERR_CONF_CLASH, ERR_CONF_EXISTS, ERR_CONF_ABSENT,
///         ERR_CONF_REASON, ERR_CONF_OP, ERR_CONF_FIELD, ERR_CONF_RANGE,
///         ERR_INVALID, ERR_TOO_LARGE, ERR_NOMEM
enum err conf_edit_apply(const struct conf *base, const struct json_t *edit,
			 struct conf **next, struct conf_edit_info *info);

/// Whether the edit history contains an id.
///
/// @param[out] rev  revision of the edit, may be NULL
bool conf_edit_find(const struct conf *c, const char *id, uint64_t *rev);

/// The document for operators: without salts, hashes and the edit history.
///
/// @return new reference, NULL when out of memory
struct json_t *conf_public_json(const struct conf *c);
