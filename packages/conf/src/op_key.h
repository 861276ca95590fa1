// Operations on keys.
#pragma once

#include "op.h"

enum err op_key_grant(json_t *root, const json_t *op,
		      struct conf_edit_info *info);
enum err op_key_withdraw(json_t *root, const json_t *op,
			 struct conf_edit_info *info);

/// Mark every key of a team as withdrawn.
void op_key_withdraw_team(json_t *root, const char *team);
