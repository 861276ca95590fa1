// The settings table, and parsing and formatting of values by its rows.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/settings.h"

enum setting_kind {
	SETTING_STR,
	SETTING_INT,
};

enum setting_unit {
	UNIT_NONE,
	UNIT_MS,
	UNIT_BYTES,
	UNIT_COUNT,
};

struct setting_row {
	const char *section;
	const char *key;
	enum setting_kind kind;
	enum setting_unit unit;
	const char *def_str; ///< default of a STR, NULL if required
	int64_t def_int; ///< default of an INT
	int64_t min; ///< least value of an INT, bytes of a STR
	int64_t max;
	bool reload; ///< SIGHUP applies a change
	const char *doc;
};

extern const struct setting_row setting_rows[SETTING_COUNT];

/// Find the row of a section and key.
///
/// @return index, SETTING_COUNT if there is none
enum setting setting_find(const char *section, const char *key);

/// Parse a number with its unit.
///
/// @param[out] out  value in ms, bytes or a count
/// @return false if the text is malformed or out of range
bool setting_parse_int(const struct setting_row *row, const char *text,
		       int64_t *out);

/// Format a value as in a settings file.
void setting_format_int(const struct setting_row *row, int64_t v, char *buf,
			size_t len);

/// Describe the values that a row allows.
void setting_allowed(const struct setting_row *row, char *buf, size_t len);
