// Operations of an edit, one row each.
#pragma once

#include <jansson.h>

#include "conf/edit.h"
#include "conf/field.h"

enum {
	OP_PATH_MAX = 256, ///< bytes of a touch path
};

struct op_kind {
	const char *name;
	/// Change the tree. On an error, info->detail says what is wrong.
	enum err (*apply)(json_t *root, const json_t *op,
			  struct conf_edit_info *info);
	/// Path of what it changes; two edits clash if one path is the other's
	/// or lies above it.
	const char *
		path_template; ///< members of the document, then {member of op}
};

/// Row of a name.
///
/// @return kind, NULL if there is none
const struct op_kind *op_find(const char *name);

/// Path that an operation touches.
///
/// @param[out] buf  OP_PATH_MAX bytes
void op_path(const struct op_kind *k, const json_t *op, char *buf);

/// Whether two paths touch the same thing.
bool op_paths_overlap(const char *a, const char *b);

/// A table of the document, made if it is not there.
///
/// @return borrowed reference
json_t *op_get_table(json_t *root, const char *member);
