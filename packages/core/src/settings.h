// Representation of settings, private to settings.c and settings_load.c.
#pragma once

#include "core/settings.h"
#include "setting_table.h"

struct setting_value {
	char *str; ///< of a STR, owned
	int64_t num; ///< of an INT
};

struct settings {
	struct setting_value values[SETTING_COUNT];
};
