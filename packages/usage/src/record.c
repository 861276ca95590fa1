// Records of sealed windows:
// `{"window","start","end","totals":{"total":{TEAM:[n,n,n]}},"figures":{...}}`.
#include "record.h"

#include <stdlib.h>
#include <string.h>

static const char total_run[] = "total";

json_t *record_read(const char *text, size_t len, uint64_t window)
{
	json_t *rec = json_loadb(text, len, JSON_REJECT_DUPLICATES, NULL);
	struct usage_counters totals = {0};
	bool ok = json_is_object(rec) &&
		  json_integer_value(json_object_get(rec, "window")) ==
			  (json_int_t)window &&
		  json_is_integer(json_object_get(rec, "end")) &&
		  json_is_object(json_object_get(rec, "figures")) &&
		  usage_counters_merge_json(
			  &totals, json_object_get(rec, "totals")) == ERR_OK;

	usage_counters_clear(&totals);
	if (ok)
		return rec;
	json_decref(rec);
	return NULL;
}

json_t *record_initial(void)
{
	return json_pack("{s:i,s:i,s:{},s:{}}", "window", 0, "end", 0, "totals",
			 "figures");
}

int64_t record_end(const json_t *rec)
{
	return json_integer_value(json_object_get(rec, "end"));
}

/// Figures of a team: growth since the last record.
///
/// @return new reference, JSON null if nothing grew, NULL if a counter shrank
static json_t *team_figures(const struct usage_row *current,
			    const json_t *base_totals)
{
	json_t *fig = json_object();
	bool grew = false;

	for (int u = 0; u < USAGE_UNITS; u++) {
		json_int_t old = json_integer_value(
			json_array_get(base_totals, (size_t)u));
		json_int_t diff = (json_int_t)current->v[u] - old;

		if (diff < 0) {
			json_decref(fig);
			return NULL;
		}
		grew |= diff > 0;
		json_object_set_new(fig, usage_unit_name((enum usage_unit)u),
				    json_integer(diff));
	}
	if (grew)
		return fig;
	json_decref(fig);
	return json_null();
}

static const struct usage_row *find_row(const struct usage_entry *e,
					const char *team)
{
	for (size_t k = 0; k < e->n_rows; k++) {
		if (strcmp(e->rows[k].team, team) == 0)
			return &e->rows[k];
	}
	return NULL;
}

/// Figures of all teams, NULL if a counter shrank or a team vanished.
static json_t *all_figures(const struct usage_entry *e,
			   const json_t *base_totals)
{
	json_t *all = json_object();
	const char *team;
	json_t *v;

	json_object_foreach((json_t *)base_totals, team, v) {
		if (!find_row(e, team))
			goto shrunk;
	}
	for (size_t k = 0; k < e->n_rows; k++) {
		const struct usage_row *row = &e->rows[k];
		json_t *fig = team_figures(
			row, json_object_get(base_totals, row->team));

		if (!fig)
			goto shrunk;
		if (json_is_object(fig))
			json_object_set_new(all, row->team, fig);
	}
	return all;
shrunk:
	json_decref(all);
	return NULL;
}

char *record_next(const json_t *rec, uint64_t window,
		  const struct usage_counters *counters, int64_t end_ms)
{
	const json_t *base_totals =
		json_object_get(json_object_get(rec, "totals"), total_run);
	struct usage_counters total = {0};
	struct usage_entry *e = usage_counters_entry(&total, total_run);
	json_t *figures = NULL;
	json_t *next;
	char *text = NULL;

	if (!e || usage_counters_total(counters, &total) != ERR_OK)
		goto out;
	figures = all_figures(&total.entries[0], base_totals);
	if (!figures)
		goto out;
	next = json_pack("{s:I,s:I,s:I,s:o,s:o}", "window", (json_int_t)window,
			 "start", (json_int_t)record_end(rec), "end",
			 (json_int_t)end_ms, "totals",
			 usage_counters_to_json(&total), "figures", figures);
	text = next ? json_dumps(next, JSON_COMPACT) : NULL;
	json_decref(next);
out:
	usage_counters_clear(&total);
	return text;
}

char *record_report(const json_t *rec, uint64_t epoch)
{
	json_t *j = json_pack("{s:O,s:I,s:O}", "window",
			      json_object_get(rec, "window"), "epoch",
			      (json_int_t)epoch, "figures",
			      json_object_get(rec, "figures"));
	char *text = j ? json_dumps(j, JSON_COMPACT) : NULL;

	json_decref(j);
	return text;
}

bool record_head_read(const char *text, size_t len, uint64_t *reported)
{
	json_t *j = json_loadb(text, len, 0, NULL);
	json_t *n = json_object_get(j, "reported");
	bool ok = json_is_integer(n) && json_integer_value(n) > 0;

	if (ok)
		*reported = (uint64_t)json_integer_value(n);
	json_decref(j);
	return ok;
}
