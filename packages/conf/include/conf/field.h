// Table of the fields that operators edit.
#pragma once

#include <stdbool.h>

#include "conf/conf.h"

enum conf_unit {
	CONF_UNIT_COUNT,
	CONF_UNIT_MS,
	CONF_UNIT_PERCENT,
	CONF_UNIT_VERSIONS,
};

struct conf_field_info {
	const char *name;
	enum conf_unit unit;
	int64_t def;
	int64_t min;
	int64_t max;
	const char *doc;
};

/// Table row of a field.
const struct conf_field_info *conf_field_info(enum conf_field f);

/// Find a field by name.
///
/// @return field, CONF_FIELDS if there is none
enum conf_field conf_field_find(const char *name);

/// Parse a value as operators write it: a number, for durations with an
/// optional unit ("500ms", "3s", "2m", "1h"; milliseconds by default).
///
/// @param[out] v  value in the field's unit
/// @return ERR_OK, ERR_PARSE, or ERR_INVALID if outside the field's range
enum err conf_field_parse(enum conf_field f, const char *text, int64_t *v);

/// Printable name of a unit: "", "ms", "%" or "versions".
const char *conf_unit_name(enum conf_unit u);
