// Reads a settings file with inih; prints all errors, not only the first.
#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "setting_check.h"
#include "settings.h"

enum {
	LINE_MAX_BYTES = 8192, ///< buffer of a line in a settings file
};

struct loader {
	const char *path;
	FILE *file;
	FILE *errors;
	struct settings *s;
	int lines[SETTING_COUNT]; ///< line of each setting, 0 if not set yet
	int line; ///< number of the line being read
	bool line_ok; ///< blank, a comment, a section or a handled setting
	int n_errors;
	char allowed[96]; ///< values that the last setting allows
};

__attribute__((format(printf, 3, 4))) static void
report_error(struct loader *l, int line, const char *fmt, ...)
{
	va_list ap;

	l->n_errors++;
	fprintf(l->errors, "%s:%d: ", l->path, line);
	va_start(ap, fmt);
	vfprintf(l->errors, fmt, ap);
	va_end(ap);
	fputc('\n', l->errors);
}

static void check_previous_line(struct loader *l)
{
	if (l->line && !l->line_ok)
		report_error(
			l, l->line,
			"not a setting; allowed are [section], key = value "
			"and lines that start with # or ;");
	l->line_ok = true;
}

static bool line_is_blank(const char *s)
{
	s += strspn(s, " \t\r\n\xef\xbb\xbf");
	if (*s == '[')
		return strchr(s, ']') != NULL;
	return *s == '\0' || *s == '#' || *s == ';';
}

/// Line reader for inih. Strips leading blanks, so that no line continues another.
static char *read_line(char *buf, int len, void *ctx)
{
	struct loader *l = ctx;
	size_t n;

	check_previous_line(l);
	if (!fgets(buf, len, l->file))
		return NULL;
	l->line++;
	n = strspn(buf, " \t");
	memmove(buf, buf + n, strlen(buf + n) + 1);
	l->line_ok = line_is_blank(buf);
	if (strlen(buf) + 1 == (size_t)len && buf[len - 2] != '\n') {
		report_error(l, l->line, "line too long; allowed are %d bytes",
			     LINE_MAX_BYTES - 3);
		l->line_ok = true;
		while (fgets(buf, len, l->file) && !strchr(buf, '\n'))
			;
		strcpy(buf, "\n");
	}
	return buf;
}

/// @return NULL if the value is valid and was stored, else what is allowed
static const char *store_value(struct loader *l, enum setting k,
			       const char *text)
{
	const struct setting_row *row = &setting_rows[k];
	struct setting_value *v = &l->s->values[k];
	size_t len = strlen(text);
	const char *format;

	setting_allowed(row, l->allowed, sizeof(l->allowed));
	if (row->kind == SETTING_INT) {
		bool valid = setting_parse_int(row, text, &v->num) &&
			     v->num >= row->min && v->num <= row->max;

		return valid ? NULL : l->allowed;
	}
	if (len < (size_t)row->min || len > (size_t)row->max)
		return l->allowed;
	format = setting_check_format(k, text);
	if (format)
		return format;
	free(v->str);
	v->str = strdup(text);
	return v->str ? NULL : l->allowed;
}

static int on_setting(void *ctx, const char *section, const char *key,
		      const char *value)
{
	struct loader *l = ctx;
	enum setting k = setting_find(section, key);
	const char *allowed;

	l->line_ok = true;
	if (k == SETTING_COUNT) {
		report_error(
			l, l->line,
			"[%s] %s: unknown key; allowed are those that --help lists",
			section, key);
		return 1;
	}
	if (l->lines[k]) {
		report_error(l, l->line,
			     "[%s] %s: already set in line %d; allowed once",
			     section, key, l->lines[k]);
		return 1;
	}
	l->lines[k] = l->line;
	allowed = store_value(l, k, value);
	if (!allowed)
		return 1;
	report_error(l, l->line, "[%s] %s: \"%s\" can't be used; allowed is %s",
		     section, key, value, allowed);
	return 1;
}

static bool fill_defaults(struct settings *s)
{
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const struct setting_row *row = &setting_rows[i];

		s->values[i].num = row->def_int;
		if (row->kind != SETTING_STR)
			continue;
		s->values[i].str = strdup(row->def_str ? row->def_str : "");
		if (!s->values[i].str)
			return false;
	}
	return true;
}

static void check_required(struct loader *l)
{
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const struct setting_row *row = &setting_rows[i];
		char allowed[96];

		if (row->kind != SETTING_STR || row->def_str || l->lines[i])
			continue;
		setting_allowed(row, allowed, sizeof(allowed));
		report_error(l, l->line, "[%s] %s: missing; allowed is %s",
			     row->section, row->key, allowed);
	}
}

enum err settings_load(const char *path, FILE *errors, struct settings **out)
{
	struct loader l = {.path = path, .errors = errors, .line_ok = true};

	*out = NULL;
	l.file = fopen(path, "re");
	if (!l.file) {
		fprintf(errors, "%s:0: %s; allowed is a readable file\n", path,
			strerror(errno));
		return ERR_SETTINGS;
	}
	l.s = calloc(1, sizeof(*l.s));
	if (!l.s || !fill_defaults(l.s)) {
		l.n_errors++;
		goto out;
	}
	ini_use_stack = false;
	ini_max_line = LINE_MAX_BYTES;
	ini_initial_alloc = LINE_MAX_BYTES;
	ini_allow_multiline = false;
	ini_parse_stream(read_line, &l, on_setting, &l);
	check_previous_line(&l);
	check_required(&l);

out:
	fclose(l.file);
	if (l.n_errors) {
		settings_free(l.s);
		return ERR_SETTINGS;
	}
	*out = l.s;
	return ERR_OK;
}
