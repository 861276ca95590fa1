// Private layout of a snapshot: JSON tree and sorted tables.
#pragma once

#include <jansson.h>

#include "conf/conf.h"
#include "conf/field.h"

/// One exception; sorted by field, scope kind and name.
struct doc_exception {
	enum conf_field field;
	int scope_kind; ///< index into doc_scope_names
	const char *name;
	int64_t value;
};

struct doc_domain {
	const char *name;
	bool enabled;
};

struct conf {
	json_t *root; ///< owned; the tables' strings point into it
	char *text; ///< owned
	size_t len; ///< bytes of text
	uint64_t rev;
	int64_t defaults[CONF_FIELDS];
	struct doc_exception *exceptions;
	size_t n_exceptions;
	size_t first_exception[CONF_FIELDS + 1]; ///< index range per field
	struct conf_route *routes; ///< sorted by name
	size_t n_routes;
	struct conf_team *teams; ///< sorted by name
	size_t n_teams;
	struct conf_key *keys; ///< sorted by id
	size_t n_keys;
	struct doc_domain *domains; ///< sorted by name
	size_t n_domains;
};

enum {
	DOC_SCOPE_KINDS = 4,
};

/// Names of the scope kinds, highest precedence first.
extern const char *const doc_scope_names[DOC_SCOPE_KINDS];

/// Find a scope kind by name.
///
/// @return index, -1 if there is none
int doc_scope_kind(const char *name);

/// Validate a tree and build a snapshot; owns root and text also on error.
enum err doc_build(json_t *root, char *text, size_t len, struct conf **out);

/// Whether a name has a valid length and only valid characters.
bool doc_name_valid(const char *name);
