// Table of the operations of an edit.
#pragma once

#include <jansson.h>

#include "conf/edit.h"
#include "conf/field.h"

enum {
	OP_PATH_MAX = 256, ///< bytes of a path
};

struct op_kind {
	const char *name;
	/// Change the tree. On an error, info->detail may name the cause.
	enum err (*apply)(json_t *root, const json_t *op,
			  struct conf_edit_info *info);
	/// Path of what it changes; edits conflict if their paths overlap.
	const char *path_template; ///< {x} is the op's member x
};

/// Find an operation by name.
///
/// @return kind, NULL if there is none
const struct op_kind *op_find(const char *name);

/// Path of what an operation changes.
///
/// @param[out] buf  OP_PATH_MAX bytes
void op_path(const struct op_kind *k, const json_t *op, char *buf);

/// Whether two paths are equal or one is an ancestor of the other.
bool op_paths_overlap(const char *a, const char *b);

/// Get an object member of the document, created if absent.
///
/// @return borrowed reference
json_t *op_get_table(json_t *root, const char *member);
