// Settings of a daemon: an INI file checked against one table.
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

/// Read and check a file. All faults are printed, one a line, as
/// `file:line: [section] key: what is wrong; what is allowed`.
///
/// @param path      file
/// @param faults    stream for the faults
/// @param[out] out  settings, NULL on error
/// @return ERR_OK or ERR_SETTINGS
enum err settings_load(const char *path, FILE *faults, struct settings **out);

/// Free settings.
///
/// @param s  settings or NULL
void settings_free(struct settings *s);

/// Value of a STR setting, owned by the settings.
const char *settings_str(const struct settings *s, enum setting k);

/// Value of an INT setting, in the unit of its row (ms, bytes or a count).
int64_t settings_int(const struct settings *s, enum setting k);

/// Take the reloadable values of newer settings; log each change, and each
/// change that needs a restart.
///
/// @param s      settings in force
/// @param newer  settings just read
void settings_reload(struct settings *s, const struct settings *newer);

/// Print the table for --help and docs/help/settings.md.
void settings_print_help(FILE *out);
