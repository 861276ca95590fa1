// Settings of a daemon: an INI file, checked against the table in setting.def.
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "base/err.h"

enum setting {
#define SETTING(sym, sec, key, kind, unit, def, min, max, reload, doc) sym,
#include "core/setting.def"
#undef SETTING
	SETTING_COUNT
};

struct settings;

/// Read and check a settings file. All errors are printed, one per line, as
/// `file:line: [section] key: error; what is allowed`.
///
/// @param errors    stream that the errors are printed to
/// @param[out] out  settings, NULL on error
/// @return ERR_OK or ERR_SETTINGS
enum err settings_load(const char *path, FILE *errors, struct settings **out);

/// Free settings.
///
/// @param s  settings or NULL
void settings_free(struct settings *s);

/// Value of a STR setting, owned by s and valid until a reload.
const char *settings_str(const struct settings *s, enum setting k);

/// Value of an INT setting, in milliseconds, bytes or as a count (the unit of its row).
int64_t settings_int(const struct settings *s, enum setting k);

/// Apply the changed values that can be reloaded; log each change, including those
/// that need a restart.
///
/// @param s      settings in force
/// @param newer  settings just read
void settings_reload(struct settings *s, const struct settings *newer);

/// Print the table for --help and docs/help/settings.md.
void settings_print_help(FILE *out);
