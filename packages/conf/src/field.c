// Table of the fields, and parsing of values as operators write them.
#include "conf/field.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static const struct conf_field_info fields[CONF_FIELDS] = {
#define FIELD(sym, name, unit, def, min, max, doc) \
	[sym] = {name, CONF_UNIT_##unit, def, min, max, doc},
#include "conf/field.def"
#undef FIELD
};

static const struct {
	const char *suffix;
	int64_t ms;
} durations[] = {
	{"", 1}, {"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000},
};

const struct conf_field_info *conf_field_info(enum conf_field f)
{
	return &fields[f];
}

enum conf_field conf_field_find(const char *name)
{
	for (int i = 0; i < CONF_FIELDS; i++) {
		if (strcmp(fields[i].name, name) == 0)
			return (enum conf_field)i;
	}
	return CONF_FIELDS;
}

const char *conf_unit_name(enum conf_unit u)
{
	switch (u) {
	case CONF_UNIT_MS:
		return "ms";
	case CONF_UNIT_PERCENT:
		return "%";
	case CONF_UNIT_VERSIONS:
		return "versions";
	default:
		return "";
	}
}

static int64_t suffix_factor(enum conf_unit u, const char *suffix)
{
	size_t n = sizeof(durations) / sizeof(durations[0]);

	if (u != CONF_UNIT_MS)
		return *suffix ? 0 : 1;
	for (size_t i = 0; i < n; i++) {
		if (strcmp(durations[i].suffix, suffix) == 0)
			return durations[i].ms;
	}
	return 0;
}

enum err conf_field_parse(enum conf_field f, const char *text, int64_t *v)
{
	const struct conf_field_info *fi = &fields[f];
	int64_t factor;
	char *end;
	long long n;

	errno = 0;
	n = strtoll(text, &end, 10);
	factor = suffix_factor(fi->unit, end);
	if (end == text || errno || factor == 0)
		return ERR_PARSE;
	if (n < 0 || n > fi->max / factor || n * factor < fi->min)
		return ERR_INVALID;
	*v = n * factor;
	return ERR_OK;
}
