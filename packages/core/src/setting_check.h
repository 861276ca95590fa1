// Format checks of text settings, besides their length.
#pragma once

#include "setting_table.h"

/// Check a value's format.
///
/// @return NULL if valid, else what is allowed
const char *setting_check_format(enum setting k, const char *text);
