// Applies an edit: checks id and conflicts, runs operations, records history.
#include "conf/edit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "doc.h"
#include "op.h"

struct edit {
	const char *id;
	const char *author;
	json_t *ops; ///< borrowed
	bool has_base;
	uint64_t base_rev;
};

static enum err edit_parse(const json_t *j, struct edit *e,
			   struct conf_edit_info *info)
{
	json_t *base = NULL;

	memset(e, 0, sizeof(*e));
	if (json_unpack((json_t *)j, "{s:s,s:s,s:o,s?o}", "id", &e->id,
			"author", &e->author, "ops", &e->ops, "base_rev",
			&base) != 0 ||
	    !doc_name_valid(e->id) || !doc_name_valid(e->author) ||
	    json_array_size(e->ops) == 0 ||
	    json_array_size(e->ops) > CONF_EDIT_OPS_MAX ||
	    (base && !json_is_integer(base))) {
		snprintf(info->detail, sizeof(info->detail),
			 "an edit needs id, author and 1 to %d ops",
			 CONF_EDIT_OPS_MAX);
		return ERR_CONF_OP;
	}
	e->has_base = base != NULL;
	e->base_rev = (uint64_t)json_integer_value(base);
	return ERR_OK;
}

bool conf_edit_find(const struct conf *c, const char *id, uint64_t *rev)
{
	json_t *history = c ? json_object_get(c->root, "edits") : NULL;
	size_t i;
	json_t *v;

	json_array_foreach(history, i, v) {
		const char *other = json_string_value(json_object_get(v, "id"));

		if (!other || strcmp(other, id) != 0)
			continue;
		if (rev)
			*rev = (uint64_t)json_integer_value(
				json_object_get(v, "rev"));
		return true;
	}
	return false;
}

static bool paths_overlap(const json_t *a, const json_t *b)
{
	size_t i, j;
	json_t *x, *y;

	json_array_foreach(a, i, x) {
		json_array_foreach(b, j, y) {
			if (op_paths_overlap(json_string_value(x),
					     json_string_value(y)))
				return true;
		}
	}
	return false;
}

static json_t *edit_paths(const struct edit *e)
{
	json_t *arr = json_array();
	char path[OP_PATH_MAX];
	size_t i;
	json_t *op;

	json_array_foreach(e->ops, i, op) {
		const char *name = json_string_value(json_object_get(op, "op"));
		const struct op_kind *k = name ? op_find(name) : NULL;

		if (!k)
			continue;
		op_path(k, op, path);
		json_array_append_new(arr, json_string(path));
	}
	return arr;
}

static void set_conflict(const json_t *other, struct conf_edit_info *info)
{
	const char *a = json_string_value(json_object_get(other, "author"));

	snprintf(info->conflict_author, sizeof(info->conflict_author), "%s",
		 a ? a : "");
	info->conflict_rev =
		(uint64_t)json_integer_value(json_object_get(other, "rev"));
	snprintf(info->detail, sizeof(info->detail),
		 "%s changed the same object in revision %llu",
		 info->conflict_author, (unsigned long long)info->conflict_rev);
}

/// The history must reach back to the base, or a conflict could be missed.
static bool history_covers(const json_t *history, uint64_t base_rev)
{
	json_t *oldest = json_array_get(history, 0);
	json_int_t rev = json_integer_value(json_object_get(oldest, "rev"));

	return json_array_size(history) < CONF_EDIT_HISTORY_MAX ||
	       (uint64_t)rev <= base_rev + 1;
}

static enum err check_conflict(const struct conf *base, const struct edit *e,
			       const json_t *paths, struct conf_edit_info *info)
{
	json_t *history = json_object_get(base->root, "edits");
	size_t i;
	json_t *v;

	if (!e->has_base)
		return ERR_OK;
	if (!history_covers(history, e->base_rev)) {
		set_conflict(json_array_get(history, 0), info);
		snprintf(info->detail, sizeof(info->detail),
			 "base revision %llu is older than the edit history",
			 (unsigned long long)e->base_rev);
		return ERR_CONF_CLASH;
	}
	json_array_foreach(history, i, v) {
		json_int_t rev = json_integer_value(json_object_get(v, "rev"));

		if ((uint64_t)rev <= e->base_rev ||
		    !paths_overlap(paths, json_object_get(v, "touch")))
			continue;
		set_conflict(v, info);
		return ERR_CONF_CLASH;
	}
	return ERR_OK;
}

static enum err apply_ops(json_t *root, const struct edit *e,
			  struct conf_edit_info *info)
{
	size_t i;
	json_t *op;

	json_array_foreach(e->ops, i, op) {
		const char *name = json_string_value(json_object_get(op, "op"));
		const struct op_kind *k = name ? op_find(name) : NULL;
		enum err err = k ? k->apply(root, op, info) : ERR_CONF_OP;

		if (!err)
			continue;
		if (!info->detail[0])
			snprintf(info->detail, sizeof(info->detail),
				 "operation %zu failed: %.40s", i + 1,
				 name ? name : "no name");
		return err;
	}
	return ERR_OK;
}

static void history_push(json_t *root, const struct edit *e, uint64_t rev,
			 json_t *paths)
{
	json_t *history = json_object_get(root, "edits");

	if (!history) {
		history = json_array();
		json_object_set_new(root, "edits", history);
	}
	json_array_append_new(history,
			      json_pack("{s:s,s:s,s:I,s:O}", "id", e->id,
					"author", e->author, "rev",
					(json_int_t)rev, "touch", paths));
	while (json_array_size(history) > CONF_EDIT_HISTORY_MAX)
		json_array_remove(history, 0);
}

static enum err build_next(json_t *root, struct conf **next)
{
	char *text = json_dumps(root, JSON_COMPACT);
	size_t len = text ? strlen(text) : 0;

	if (!text || len > CONF_DOC_MAX_BYTES) {
		json_decref(root);
		free(text);
		return text ? ERR_TOO_LARGE : ERR_NOMEM;
	}
	return doc_build(root, text, len, next);
}

static enum err edit_build(const struct conf *base, const struct edit *e,
			   json_t *paths, struct conf **next,
			   struct conf_edit_info *info)
{
	json_t *root = base ? json_deep_copy(base->root) : json_object();
	uint64_t rev = base ? base->rev + 1 : 1;
	enum err err;

	if (!root)
		return ERR_NOMEM;
	err = apply_ops(root, e, info);
	if (err) {
		json_decref(root);
		return err;
	}
	json_object_set_new(root, "rev", json_integer((json_int_t)rev));
	history_push(root, e, rev, paths);
	err = build_next(root, next);
	if (!err)
		info->rev = rev;
	return err;
}

enum err conf_edit_apply(const struct conf *base, const struct json_t *edit,
			 struct conf **next, struct conf_edit_info *info)
{
	struct edit e;
	json_t *paths;
	enum err err;

	*next = NULL;
	memset(info, 0, sizeof(*info));
	err = edit_parse(edit, &e, info);
	if (err)
		return err;
	if (conf_edit_find(base, e.id, &info->rev)) {
		info->already_applied = true;
		return ERR_OK;
	}
	paths = edit_paths(&e);
	err = base ? check_conflict(base, &e, paths, info) : ERR_OK;
	if (!err)
		err = edit_build(base, &e, paths, next, info);
	json_decref(paths);
	return err;
}

struct json_t *conf_public_json(const struct conf *c)
{
	json_t *root = json_deep_copy(c->root);
	const char *id;
	json_t *k;

	if (!root)
		return NULL;
	json_object_del(root, "edits");
	json_object_foreach(json_object_get(root, "keys"), id, k) {
		json_object_del(k, "salt");
		json_object_del(k, "hash");
	}
	return root;
}
