// Access to the settings in force, their reload, and the help text.
#include "settings.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"

const char *settings_str(const struct settings *s, enum setting k)
{
	return s->values[k].str;
}

int64_t settings_int(const struct settings *s, enum setting k)
{
	return s->values[k].num;
}

void settings_free(struct settings *s)
{
	if (!s)
		return;
	for (size_t i = 0; i < SETTING_COUNT; i++)
		free(s->values[i].str);
	free(s);
}

static bool values_equal(const struct setting_row *row,
			 const struct setting_value *a,
			 const struct setting_value *b)
{
	if (row->kind == SETTING_INT)
		return a->num == b->num;
	return strcmp(a->str, b->str) == 0;
}

static void value_format(const struct setting_row *row,
			 const struct setting_value *v, char *buf, size_t len)
{
	if (row->kind == SETTING_INT)
		setting_format_int(row, v->num, buf, len);
	else
		snprintf(buf, len, "%s", v->str);
}

static void value_copy(struct setting_value *dst,
		       const struct setting_value *src)
{
	char *copy = src->str ? strdup(src->str) : NULL;

	if (src->str && !copy)
		return;
	free(dst->str);
	dst->str = copy;
	dst->num = src->num;
}

void settings_reload(struct settings *s, const struct settings *newer)
{
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const struct setting_row *row = &setting_rows[i];
		const struct setting_value *v = &newer->values[i];
		char old_text[128], new_text[128];

		if (values_equal(row, &s->values[i], v))
			continue;
		value_format(row, &s->values[i], old_text, sizeof(old_text));
		value_format(row, v, new_text, sizeof(new_text));
		log_event(row->reload ? EV_SETTING_TAKEN : EV_SETTING_RESTART,
			  "section=%s key=%s in_force=\"%s\" file=\"%s\"",
			  row->section, row->key,
			  row->reload ? new_text : old_text, new_text);
		if (row->reload)
			value_copy(&s->values[i], v);
	}
}

void settings_print_help(FILE *out)
{
	const char *section = "";

	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const struct setting_row *row = &setting_rows[i];
		char allowed[96], def[32];

		if (strcmp(section, row->section) != 0)
			fprintf(out, "%s[%s]\n", i ? "\n" : "", row->section);
		section = row->section;
		setting_allowed(row, allowed, sizeof(allowed));
		setting_format_int(row, row->def_int, def, sizeof(def));
		fprintf(out, "  %s\n      %s\n      %s%s%s; %s; %s\n", row->key,
			row->doc,
			row->kind == SETTING_STR && !row->def_str ? "required"
								  : "default ",
			row->kind == SETTING_INT ? def
			: !row->def_str		 ? ""
			: row->def_str[0]	 ? row->def_str
						 : "empty",
			"", allowed,
			row->reload ? "applied on SIGHUP" : "needs a restart");
	}
}
