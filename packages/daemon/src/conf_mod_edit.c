// An operator's edit: read, apply, compare-and-swap; again on a conflict or a
// lost answer, until it is surely in the document or its time is over.
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "conf_mod_priv.h"

enum {
	EDIT_TIME_MS = 5000, ///< then the outcome is told as unknown
	EDIT_RETRY_MS = 100,
};

struct conf_mod_edit {
	htab_handle self;
	htab_handle req; ///< the operator's request
	json_t *edit; ///< owned
	struct conf *next; ///< written, answer awaited; owned
	int64_t deadline_ms;
	int64_t retry_at; ///< when to read again, 0 while a call is out
	bool written; ///< a write may have taken effect
	int64_t asked_ms; ///< when the call that is out was made
};

static const char *edit_id(const struct conf_mod_edit *e)
{
	const char *id = json_string_value(json_object_get(e->edit, "id"));

	return id ? id : "";
}

static void edit_free(struct conf_mod *m, struct conf_mod_edit *e)
{
	json_decref(e->edit);
	conf_free(e->next);
	htab_del(m->edits, e->self);
}

static void edit_accept(struct conf_mod *m, struct conf_mod_edit *e,
			const struct conf_edit_info *info)
{
	metric_add(M_CONF_EDITS, 1);
	log_event(EV_CONF_EDIT, "id=%.63s outcome=accepted rev=%llu",
		  edit_id(e), (unsigned long long)info->rev);
	core_reply_json(m->c, e->req, 200,
			json_pack("{s:I,s:b}", "rev", (json_int_t)info->rev,
				  "already", (int)info->already));
	edit_free(m, e);
}

static void edit_refuse(struct conf_mod *m, struct conf_mod_edit *e,
			enum err err, const struct conf_edit_info *info)
{
	json_t *error = json_pack(
		"{s:s,s:i,s:s,s:s}", "code", err_code(err), "number", (int)err,
		"run", run_state_name(err_run(err)), "detail", info->detail);

	if (err == ERR_CONF_CLASH) {
		json_object_set_new(error, "author", json_string(info->author));
		json_object_set_new(error, "rev",
				    json_integer((json_int_t)info->clash_rev));
	}
	log_event(EV_CONF_EDIT, "id=%.63s outcome=%s", edit_id(e),
		  err_code(err));
	core_reply_json(m->c, e->req, err_http(err),
			json_pack("{s:o}", "error", error));
	edit_free(m, e);
}

static void edit_later(struct conf_mod *m, struct conf_mod_edit *e)
{
	conf_free(e->next);
	e->next = NULL;
	e->retry_at = core_now(m->c) + EDIT_RETRY_MS;
}

static struct kv_cb edit_cb(struct conf_mod *m, struct conf_mod_edit *e,
			    void (*fn)(struct core *, void *,
				       const struct kv_result *))
{
	struct kv_cb cb = {fn, (void *)(uintptr_t)e->self};

	e->retry_at = 0;
	e->asked_ms = core_now(m->c);
	return cb;
}

/// Edit of a call's context, NULL if it is over.
static struct conf_mod_edit *edit_of(const struct conf_mod *m, void *ctx)
{
	return htab_get(m->edits, (htab_handle)(uintptr_t)ctx);
}

/// Have what is surely in the store in force here at once.
static void edit_in_force(struct conf_mod *m, const struct conf_mod_edit *e,
			  const char *text, size_t len)
{
	struct conf_sync_kv kv = {
		.asked_ms = e->asked_ms,
		.text = text,
		.len = len,
	};

	conf_sync_on_kv(m->sync, core_now(m->c), &kv);
}

static void on_written(struct core *c, void *ctx, const struct kv_result *res)
{
	struct conf_mod *m = conf_mod_of(c);
	struct conf_mod_edit *e = edit_of(m, ctx);
	struct conf_edit_info info = {.rev = 0};
	const char *text;
	size_t len;

	if (!e)
		return;
	if (res->err) {
		/* a conflict or a lost answer: the document will tell */
		e->written |=
			res->err != ERR_KV_CONFLICT && res->err != ERR_KV_DOWN;
		edit_later(m, e);
		if (res->err == ERR_KV_CONFLICT)
			e->retry_at = core_now(c);
		return;
	}
	text = conf_text(e->next, &len);
	info.rev = conf_rev(e->next);
	edit_in_force(m, e, text, len);
	edit_accept(m, e, &info);
}

static void edit_write(struct conf_mod *m, struct conf_mod_edit *e,
		       uint64_t prev_rev)
{
	struct kv_cb cb = edit_cb(m, e, on_written);
	struct kv_put_opts put = {.key = CONF_MOD_KEY, .prev_rev = prev_rev};

	put.value = conf_text(e->next, &put.len);
	if (kv_put(m->c, &put, cb))
		edit_later(m, e);
}

static void edit_on_doc(struct conf_mod *m, struct conf_mod_edit *e,
			const struct kv_item *item)
{
	struct conf *base = NULL;
	struct conf_edit_info info = {.detail = "the stored document is bad"};
	enum err err = ERR_OK;

	if (item)
		err = conf_parse(item->value, item->len, &base);
	if (!err)
		err = conf_edit_apply(base, e->edit, &e->next, &info);
	if (err)
		edit_refuse(m, e, err, &info);
	else if (info.already)
		edit_accept(m, e, &info);
	else
		edit_write(m, e, item ? item->rev : 0);
	conf_free(base);
}

static void on_read(struct core *c, void *ctx, const struct kv_result *res)
{
	struct conf_mod *m = conf_mod_of(c);
	struct conf_mod_edit *e = edit_of(m, ctx);
	bool found = !res->err && res->n_items > 0;

	if (!e)
		return;
	if (!found && res->err != ERR_NOT_FOUND) {
		edit_later(m, e);
		return;
	}
	edit_on_doc(m, e, found ? &res->items[0] : NULL);
}

static void edit_read(struct conf_mod *m, struct conf_mod_edit *e)
{
	struct kv_cb cb = edit_cb(m, e, on_read);

	if (kv_get(m->c, CONF_MOD_KEY, cb))
		edit_later(m, e);
}

enum err conf_mod_edit_start(struct conf_mod *m)
{
	m->edits = htab_new(CONF_MOD_EDITS, sizeof(struct conf_mod_edit));
	return m->edits ? ERR_OK : ERR_NOMEM;
}

void conf_mod_edit_stop(struct conf_mod *m)
{
	size_t iter = 0;
	struct conf_mod_edit *e;

	while (m->edits && (e = htab_next(m->edits, &iter, NULL)))
		edit_free(m, e);
	htab_free(m->edits);
}

void conf_mod_edit(struct core *c, struct core_req *r, void *ctx)
{
	struct conf_mod *m = ctx;
	json_t *edit = json_loadb(r->body, r->body_len, 0, NULL);
	struct conf_mod_edit *e;
	htab_handle h;

	if (!edit) {
		core_reply_err(c, r->h, ERR_PARSE, RUN_NO, 0, "not JSON");
		return;
	}
	e = htab_add(m->edits, &h);
	if (!e) {
		json_decref(edit);
		core_reply_err(c, r->h, ERR_FULL, RUN_NO, EDIT_TIME_MS,
			       "too many edits in progress");
		return;
	}
	e->self = h;
	e->req = r->h;
	e->edit = edit;
	e->deadline_ms = core_now(c) + EDIT_TIME_MS;
	edit_read(m, e);
}

static void edit_give_up(struct conf_mod *m, struct conf_mod_edit *e)
{
	struct conf_edit_info info = {.detail = "ask again with the same id"};

	if (e->written || e->next)
		edit_refuse(m, e, ERR_CONF_UNKNOWN, &info);
	else
		edit_refuse(m, e, ERR_KV_DOWN, &info);
}

void conf_mod_edit_tick(struct conf_mod *m, int64_t now)
{
	size_t iter = 0;
	struct conf_mod_edit *e;

	while ((e = htab_next(m->edits, &iter, NULL))) {
		if (now >= e->deadline_ms)
			edit_give_up(m, e);
		else if (e->retry_at && now >= e->retry_at)
			edit_read(m, e);
	}
}
