// Forms of text settings beyond their length.
#pragma once

#include "setting_table.h"

/// Check a text against its setting's form.
///
/// @return NULL when it is good, else what is allowed
const char *setting_form_fault(enum setting k, const char *text);
