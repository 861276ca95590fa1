// Format checks of text settings, in addition to the limits of their length.
#pragma once

#include "setting_table.h"

/// Check that a value has its setting's format.
///
/// @return NULL if it is valid, else a description of what is allowed
const char *setting_check_format(enum setting k, const char *text);
