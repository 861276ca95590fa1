// Operations on routes.
#pragma once

#include "op.h"

enum err op_route_add(json_t *root, const json_t *op,
		      struct conf_edit_info *info);
/// Set one attribute, null deletes: `{"route","attr","value"}`.
enum err op_route_change(json_t *root, const json_t *op,
			 struct conf_edit_info *info);
enum err op_route_remove(json_t *root, const json_t *op,
			 struct conf_edit_info *info);
