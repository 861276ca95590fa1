// Runs an operator's edit: read, apply, compare-and-swap. Retries after a
// conflict or a lost reply, until the document is known to contain the edit or
// the timeout passes.
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "conf_mod_priv.h"

enum {
	EDIT_TIMEOUT_MS = 5000, ///< then the reply is conf-unknown or kv-down
	EDIT_RETRY_MS = 100,
};

struct conf_mod_edit {
	htab_handle self;
	htab_handle req; ///< the operator's request
	json_t *edit; ///< owned
	struct conf *next; ///< being written; owned
	int64_t deadline_ms;
	int64_t retry_at_ms; ///< next read, 0 during a call
	bool maybe_written; ///< a write may have taken effect
	int64_t sent_ms; ///< start of the call in flight
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

static void edit_reply_accepted(struct conf_mod *m, struct conf_mod_edit *e,
				const struct conf_edit_info *info)
{
	metric_add(M_CONF_EDITS, 1);
	log_event(EV_CONF_EDIT, "id=%.63s outcome=accepted rev=%llu",
		  edit_id(e), (unsigned long long)info->rev);
	core_reply_json(m->c, e->req, 200,
			json_pack("{s:I,s:b}", "rev", (json_int_t)info->rev,
				  "already", (int)info->already_applied));
	edit_free(m, e);
}

static void edit_reply_rejected(struct conf_mod *m, struct conf_mod_edit *e,
				enum err err, const struct conf_edit_info *info)
{
	json_t *error = json_pack(
		"{s:s,s:i,s:s,s:s}", "code", err_code(err), "number", (int)err,
		"run", run_state_name(err_run(err)), "detail", info->detail);

	if (err == ERR_CONF_CLASH) {
		json_object_set_new(error, "author",
				    json_string(info->conflict_author));
		json_object_set_new(
			error, "rev",
			json_integer((json_int_t)info->conflict_rev));
	}
	log_event(EV_CONF_EDIT, "id=%.63s outcome=%s", edit_id(e),
		  err_code(err));
	core_reply_json(m->c, e->req, err_http(err),
			json_pack("{s:o}", "error", error));
	edit_free(m, e);
}

static void edit_schedule_retry(struct conf_mod *m, struct conf_mod_edit *e)
{
	conf_free(e->next);
	e->next = NULL;
	e->retry_at_ms = core_now(m->c) + EDIT_RETRY_MS;
}

static struct kv_cb edit_begin_call(struct conf_mod *m, struct conf_mod_edit *e,
				    void (*fn)(struct core *, void *,
					       const struct kv_result *))
{
	struct kv_cb cb = {fn, (void *)(uintptr_t)e->self};

	e->retry_at_ms = 0;
	e->sent_ms = core_now(m->c);
	return cb;
}

/// Edit of a call's context, NULL if it has ended.
static struct conf_mod_edit *edit_from_ctx(const struct conf_mod *m, void *ctx)
{
	return htab_get(m->edits, (htab_handle)(uintptr_t)ctx);
}

/// Put the written document in force on this node without waiting for a watch.
static void edit_apply_locally(struct conf_mod *m,
			       const struct conf_mod_edit *e, const char *text,
			       size_t len)
{
	struct conf_sync_kv_result kv = {
		.asked_ms = e->sent_ms,
		.text = text,
		.len = len,
	};

	conf_sync_on_kv(m->sync, core_now(m->c), &kv);
}

static void on_put_result(struct core *c, void *ctx,
			  const struct kv_result *res)
{
	struct conf_mod *m = conf_mod_state(c);
	struct conf_mod_edit *e = edit_from_ctx(m, ctx);
	struct conf_edit_info info = {.rev = 0};
	const char *text;
	size_t len;

	if (!e)
		return;
	if (res->err) {
		/* conflict or lost reply: the next read shows the outcome */
		e->maybe_written |=
			res->err != ERR_KV_CONFLICT && res->err != ERR_KV_DOWN;
		edit_schedule_retry(m, e);
		if (res->err == ERR_KV_CONFLICT)
			e->retry_at_ms = core_now(c);
		return;
	}
	text = conf_text(e->next, &len);
	info.rev = conf_rev(e->next);
	edit_apply_locally(m, e, text, len);
	edit_reply_accepted(m, e, &info);
}

static void edit_put_doc(struct conf_mod *m, struct conf_mod_edit *e,
			 uint64_t prev_rev)
{
	struct kv_cb cb = edit_begin_call(m, e, on_put_result);
	struct kv_put_opts put = {.key = CONF_MOD_KEY, .prev_rev = prev_rev};

	put.value = conf_text(e->next, &put.len);
	if (kv_put(m->c, &put, cb))
		edit_schedule_retry(m, e);
}

static void edit_on_doc(struct conf_mod *m, struct conf_mod_edit *e,
			const struct kv_item *item)
{
	struct conf *base = NULL;
	struct conf_edit_info info = {.detail =
					      "the stored document is invalid"};
	enum err err = ERR_OK;

	if (item)
		err = conf_parse(item->value, item->len, &base);
	if (!err)
		err = conf_edit_apply(base, e->edit, &e->next, &info);
	if (err)
		edit_reply_rejected(m, e, err, &info);
	else if (info.already_applied)
		edit_reply_accepted(m, e, &info);
	else
		edit_put_doc(m, e, item ? item->rev : 0);
	conf_free(base);
}

static void on_get_result(struct core *c, void *ctx,
			  const struct kv_result *res)
{
	struct conf_mod *m = conf_mod_state(c);
	struct conf_mod_edit *e = edit_from_ctx(m, ctx);
	bool found = !res->err && res->n_items > 0;

	if (!e)
		return;
	if (!found && res->err != ERR_NOT_FOUND) {
		edit_schedule_retry(m, e);
		return;
	}
	edit_on_doc(m, e, found ? &res->items[0] : NULL);
}

static void edit_get_doc(struct conf_mod *m, struct conf_mod_edit *e)
{
	struct kv_cb cb = edit_begin_call(m, e, on_get_result);

	if (kv_get(m->c, CONF_MOD_KEY, cb))
		edit_schedule_retry(m, e);
}

enum err conf_mod_edit_start(struct conf_mod *m)
{
	m->edits = htab_new(CONF_MOD_EDITS_MAX, sizeof(struct conf_mod_edit));
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

void conf_mod_handle_edit(struct core *c, struct core_req *r, void *ctx)
{
	struct conf_mod *m = ctx;
	json_t *edit = json_loadb(r->body, r->body_len, 0, NULL);
	struct conf_mod_edit *e;
	htab_handle h;

	if (!edit) {
		core_reply_err(c, r->h, ERR_PARSE, RUN_NO, 0,
			       "the body is not valid JSON");
		return;
	}
	e = htab_add(m->edits, &h);
	if (!e) {
		json_decref(edit);
		core_reply_err(c, r->h, ERR_FULL, RUN_NO, EDIT_TIMEOUT_MS,
			       "too many edits in progress");
		return;
	}
	e->self = h;
	e->req = r->h;
	e->edit = edit;
	e->deadline_ms = core_now(c) + EDIT_TIMEOUT_MS;
	edit_get_doc(m, e);
}

static void edit_time_out(struct conf_mod *m, struct conf_mod_edit *e)
{
	struct conf_edit_info info = {.detail = "retry with the same id"};

	if (e->maybe_written || e->next)
		edit_reply_rejected(m, e, ERR_CONF_UNKNOWN, &info);
	else
		edit_reply_rejected(m, e, ERR_KV_DOWN, &info);
}

void conf_mod_edit_tick(struct conf_mod *m, int64_t now)
{
	size_t iter = 0;
	struct conf_mod_edit *e;

	while ((e = htab_next(m->edits, &iter, NULL))) {
		if (now >= e->deadline_ms)
			edit_time_out(m, e);
		else if (e->retry_at_ms && now >= e->retry_at_ms)
			edit_get_doc(m, e);
	}
}
