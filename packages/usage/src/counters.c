// Usage counters: they only grow and are merged by maximum.
#include "usage/counters.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const unit_names[USAGE_UNITS] = {
	[USAGE_REQUESTS] = "requests",
	[USAGE_TOKENS] = "tokens",
	[USAGE_SAMPLES] = "samples",
};

static const char total_run[] = "total";

const char *usage_unit_name(enum usage_unit u)
{
	return unit_names[u];
}

void usage_counters_clear(struct usage_counters *uc)
{
	for (size_t i = 0; i < uc->n_entries; i++)
		free(uc->entries[i].rows);
	free(uc->entries);
	memset(uc, 0, sizeof(*uc));
}

struct usage_entry *usage_counters_entry(struct usage_counters *uc,
					 const char *run)
{
	struct usage_entry *grown;

	for (size_t i = 0; i < uc->n_entries; i++) {
		if (strcmp(uc->entries[i].run, run) == 0)
			return &uc->entries[i];
	}
	if (uc->n_entries == USAGE_ENTRIES_MAX || strlen(run) > USAGE_RUN_MAX)
		return NULL;
	grown = realloc(uc->entries, (uc->n_entries + 1) * sizeof(*grown));
	if (!grown)
		return NULL;
	uc->entries = grown;
	grown += uc->n_entries++;
	memset(grown, 0, sizeof(*grown));
	snprintf(grown->run, sizeof(grown->run), "%s", run);
	return grown;
}

static struct usage_row *entry_find_or_add_row(struct usage_entry *e,
					       const char *team)
{
	struct usage_row *grown;

	for (size_t i = 0; i < e->n_rows; i++) {
		if (strcmp(e->rows[i].team, team) == 0)
			return &e->rows[i];
	}
	if (e->n_rows == USAGE_TEAMS_MAX)
		return NULL;
	grown = realloc(e->rows, (e->n_rows + 1) * sizeof(*grown));
	if (!grown)
		return NULL;
	e->rows = grown;
	grown += e->n_rows++;
	memset(grown, 0, sizeof(*grown));
	snprintf(grown->team, sizeof(grown->team), "%s", team);
	return grown;
}

static enum err find_or_add_row(struct usage_counters *uc, const char *run,
				const char *team, struct usage_entry **e,
				struct usage_row **row)
{
	size_t len = strlen(team);

	if (len == 0 || len > USAGE_NAME_MAX || strlen(run) > USAGE_RUN_MAX)
		return ERR_INVALID;
	*e = usage_counters_entry(uc, run);
	*row = *e ? entry_find_or_add_row(*e, team) : NULL;
	return *row ? ERR_OK : ERR_FULL;
}

static void mark_changed(struct usage_counters *uc, struct usage_entry *e,
			 struct usage_row *row)
{
	row->changed = ++uc->version;
	e->changed = uc->version;
}

enum err usage_counters_add(struct usage_counters *uc, const char *run,
			    const char *team, enum usage_unit u, uint64_t n)
{
	struct usage_entry *e;
	struct usage_row *row;
	enum err err = find_or_add_row(uc, run, team, &e, &row);

	if (err)
		return err;
	row->v[u] += n;
	mark_changed(uc, e, row);
	return ERR_OK;
}

enum err usage_counters_raise(struct usage_counters *uc, const char *run,
			      const char *team, const uint64_t *v)
{
	struct usage_entry *e;
	struct usage_row *row;
	enum err err = find_or_add_row(uc, run, team, &e, &row);
	bool changed_any = false;

	if (err)
		return err;
	for (int u = 0; u < USAGE_UNITS; u++) {
		if (v[u] <= row->v[u])
			continue;
		row->v[u] = v[u];
		changed_any = true;
	}
	if (changed_any)
		mark_changed(uc, e, row);
	return ERR_OK;
}

enum err usage_counters_merge(struct usage_counters *uc,
			      const struct usage_counters *from)
{
	for (size_t i = 0; i < from->n_entries; i++) {
		const struct usage_entry *e = &from->entries[i];

		for (size_t k = 0; k < e->n_rows; k++) {
			enum err err = usage_counters_raise(
				uc, e->run, e->rows[k].team, e->rows[k].v);

			if (err)
				return err;
		}
	}
	return ERR_OK;
}

static json_t *entry_json(const struct usage_entry *e)
{
	json_t *teams = json_object();

	for (size_t k = 0; k < e->n_rows; k++) {
		json_t *v = json_array();

		for (int u = 0; u < USAGE_UNITS; u++)
			json_array_append_new(
				v, json_integer((json_int_t)e->rows[k].v[u]));
		json_object_set_new(teams, e->rows[k].team, v);
	}
	return teams;
}

struct json_t *usage_counters_to_json(const struct usage_counters *uc)
{
	json_t *j = json_object();

	for (size_t i = 0; i < uc->n_entries; i++)
		json_object_set_new(j, uc->entries[i].run,
				    entry_json(&uc->entries[i]));
	return j;
}

static enum err merge_row_json(struct usage_counters *uc, const char *run,
			       const char *team, const json_t *j)
{
	uint64_t v[USAGE_UNITS];

	if (json_array_size(j) != USAGE_UNITS)
		return ERR_PARSE;
	for (size_t u = 0; u < USAGE_UNITS; u++) {
		const json_t *n = json_array_get(j, u);

		if (!json_is_integer(n) || json_integer_value(n) < 0)
			return ERR_PARSE;
		v[u] = (uint64_t)json_integer_value(n);
	}
	return usage_counters_raise(uc, run, team, v);
}

enum err usage_counters_merge_json(struct usage_counters *uc,
				   const struct json_t *j)
{
	const char *run, *team;
	json_t *teams, *row;

	if (!json_is_object(j))
		return ERR_PARSE;
	json_object_foreach((json_t *)j, run, teams) {
		if (!json_is_object(teams))
			return ERR_PARSE;
		json_object_foreach(teams, team, row) {
			enum err e = merge_row_json(uc, run, team, row);

			if (e)
				return e;
		}
	}
	return ERR_OK;
}

enum err usage_counters_total(const struct usage_counters *uc,
			      struct usage_counters *out)
{
	for (size_t i = 0; i < uc->n_entries; i++) {
		const struct usage_entry *e = &uc->entries[i];

		for (size_t k = 0; k < e->n_rows; k++) {
			for (int u = 0; u < USAGE_UNITS; u++) {
				enum err err = usage_counters_add(
					out, total_run, e->rows[k].team,
					(enum usage_unit)u, e->rows[k].v[u]);

				if (err)
					return err;
			}
		}
	}
	return ERR_OK;
}
