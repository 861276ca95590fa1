// The settings table; parses and formats values with their units.
#include "setting_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct suffix {
	enum setting_unit unit;
	const char *text;
	int64_t factor;
};

/* Largest first: formatting uses the first that divides the value. */
static const struct suffix suffixes[] = {
	{UNIT_MS, "h", 3600000},     {UNIT_MS, "m", 60000},
	{UNIT_MS, "s", 1000},	     {UNIT_MS, "ms", 1},
	{UNIT_BYTES, "GB", 1 << 30}, {UNIT_BYTES, "MB", 1 << 20},
	{UNIT_BYTES, "KB", 1 << 10}, {UNIT_BYTES, "B", 1},
	{UNIT_COUNT, "", 1},
};

enum {
	N_SUFFIXES = sizeof(suffixes) / sizeof(suffixes[0]),
};

#define DEF_STR(def) .def_str = (def)
#define DEF_INT(def) .def_int = (def)
#define SETTING(sym, sec, k, knd, u, def, lo, hi, rel, d) \
	[sym] = {                                         \
		.section = (sec),                         \
		.key = (k),                               \
		.kind = SETTING_##knd,                    \
		.unit = UNIT_##u,                         \
		DEF_##knd(def),                           \
		.min = (lo),                              \
		.max = (hi),                              \
		.reload = RELOAD_##rel,                   \
		.doc = (d),                               \
	},

enum {
	RELOAD_no,
	RELOAD_yes,
};

const struct setting_row setting_rows[SETTING_COUNT] = {
#include "core/setting.def"
};

enum setting setting_find(const char *section, const char *key)
{
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		if (strcmp(setting_rows[i].section, section) == 0 &&
		    strcmp(setting_rows[i].key, key) == 0)
			return (enum setting)i;
	}
	return SETTING_COUNT;
}

bool setting_parse_int(const struct setting_row *row, const char *text,
		       int64_t *out)
{
	size_t digits = strspn(text, "0123456789");
	int64_t n = strtoll(text, NULL, 10);

	if (digits == 0 || digits > 15)
		return false;
	for (size_t i = 0; i < N_SUFFIXES; i++) {
		const struct suffix *s = &suffixes[i];

		if (s->unit != row->unit || strcmp(text + digits, s->text) != 0)
			continue;
		return !__builtin_mul_overflow(n, s->factor, out);
	}
	return false;
}

void setting_format_int(const struct setting_row *row, int64_t v, char *buf,
			size_t len)
{
	for (size_t i = 0; i < N_SUFFIXES; i++) {
		const struct suffix *s = &suffixes[i];

		if (s->unit != row->unit || v % s->factor != 0 ||
		    (v == 0 && s->factor != 1))
			continue;
		snprintf(buf, len, "%lld%s", (long long)(v / s->factor),
			 s->text);
		return;
	}
	snprintf(buf, len, "%lld", (long long)v);
}

void setting_allowed(const struct setting_row *row, char *buf, size_t len)
{
	char lo[32], hi[32];

	if (row->kind == SETTING_STR) {
		snprintf(buf, len, "a string of %lld to %lld bytes",
			 (long long)row->min, (long long)row->max);
		return;
	}
	setting_format_int(row, row->min, lo, sizeof(lo));
	setting_format_int(row, row->max, hi, sizeof(hi));
	snprintf(buf, len, "%s to %s%s", lo, hi,
		 row->unit == UNIT_MS	   ? " (units ms, s, m, h)"
		 : row->unit == UNIT_BYTES ? " (units B, KB, MB, GB)"
					   : "");
}
