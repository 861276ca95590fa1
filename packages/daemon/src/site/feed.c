// List and watch of a prefix.
#include "site/feed.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"

enum {
	FEED_RETRY_MS = 200, ///< doubles with each failure in a row
	FEED_BACKOFF_DOUBLINGS_MAX = 3,
	/// Wait of a watch that only confirms the data.
	FEED_CONFIRM_WAIT_MS = 20,
	/// The store answers within a few milliseconds, a few hundred if it is slow.
	FEED_WATCH_GRACE_MS = 400,
};

void feed_init(struct feed *f, const struct feed_opts *opts)
{
	memset(f, 0, sizeof(*f));
	f->opts = *opts;
}

int64_t feed_age_ms(struct core *c, const struct feed *f)
{
	return f->confirmed_ms ? core_now(c) - f->confirmed_ms : INT64_MAX;
}

static void feed_call_failed(struct core *c, const struct feed_call *call,
			     enum err e)
{
	struct feed *f = call->feed;
	int shift = f->failures < FEED_BACKOFF_DOUBLINGS_MAX
			    ? f->failures
			    : FEED_BACKOFF_DOUBLINGS_MAX;

	log_event(
		EV_FEED_FAILED,
		"prefix=%s listed=%d error=%s ms=%lld age_ms=%lld failures=%d",
		f->opts.prefix, f->listed, err_code(e),
		(long long)(core_now(c) - call->start_ms),
		f->confirmed_ms ? (long long)feed_age_ms(c, f) : -1LL,
		f->failures);
	if (e == ERR_KV_HISTORY)
		f->listed = false;
	else
		f->failures++;
	f->list_cursor[0] = '\0';
	f->next_ms = core_now(c) + (FEED_RETRY_MS << shift);
}

static void feed_apply_item(struct core *c, struct feed *f,
			    const struct kv_item *item)
{
	bool too_large = f->opts.value_max && item->len > f->opts.value_max;

	if (f->opts.keep_copy)
		relay_copy_put(&f->copy, item->key, item->value,
			       too_large ? 0 : item->len, item->rev);
	f->opts.ops->item(c, f->opts.ctx, item);
}

/* Origin and time of the update that is applied next. */
static void feed_set_source(struct feed *f, const char *source,
			    int64_t as_of_ms)
{
	f->source = source;
	f->source_as_of_ms = as_of_ms;
}

static void feed_apply_items(struct core *c, struct feed *f,
			     const struct kv_item *items, size_t n_items,
			     const char *const *deleted, size_t n_deleted,
			     uint64_t rev)
{
	f->source_rev = rev;
	for (size_t i = 0; i < n_items; i++)
		feed_apply_item(c, f, &items[i]);
	/* item_deleted() can still read the deleted value. */
	for (size_t i = 0; i < n_deleted; i++) {
		f->opts.ops->item_deleted(c, f->opts.ctx, deleted[i]);
		if (f->opts.keep_copy)
			relay_copy_del(&f->copy, deleted[i], rev);
	}
}

static void feed_list_begin(struct core *c, struct feed *f)
{
	if (f->opts.keep_copy)
		relay_copy_begin_list(&f->copy);
	f->opts.ops->list_begin(c, f->opts.ctx);
}

static void feed_list_end(struct core *c, struct feed *f, uint64_t rev)
{
	f->rev = rev;
	f->listed = true;
	if (f->opts.keep_copy)
		relay_copy_end_list(&f->copy, rev);
	f->opts.ops->list_end(c, f->opts.ctx);
}

static void feed_set_confirmed(struct feed *f, int64_t as_of_ms)
{
	f->failures = 0;
	if (as_of_ms > f->confirmed_ms)
		f->confirmed_ms = as_of_ms;
}

/* The response to an abandoned call is ignored: newer changes may have arrived by
 * another way. */
static bool feed_call_ended(struct feed_call *call)
{
	struct feed *f = call->feed;
	bool current = f->awaited == call;

	call->in_flight = false;
	if (current)
		f->awaited = NULL;
	return current;
}

/* Newer data arrived since the request: applying the older response could restore a
 * deleted entry. */
static bool is_overtaken(const struct feed *f, const char *from, bool overtaken)
{
	if (overtaken)
		log_event(EV_FEED_ANSWER_OUTDATED, "prefix=%s from=%s rev=%llu",
			  f->opts.prefix, from, (unsigned long long)f->rev);
	return overtaken;
}

static void on_list(struct core *c, void *ctx, const struct kv_result *res)
{
	struct feed_call *call = ctx;
	struct feed *f = call->feed;

	if (!feed_call_ended(call))
		return;
	if (res->err != ERR_OK) {
		feed_call_failed(c, call, res->err);
		return;
	}
	if (is_overtaken(f, "store", call->full_updates != f->full_updates))
		return;
	if (!f->list_cursor[0]) {
		f->list_rev = res->rev;
		f->list_start_ms = call->start_ms;
		feed_list_begin(c, f);
	}
	feed_set_source(f, "store", f->list_start_ms);
	feed_apply_items(c, f, res->items, res->n_items, NULL, 0, res->rev);
	if (res->more && res->n_items) {
		snprintf(f->list_cursor, sizeof(f->list_cursor), "%s",
			 res->items[res->n_items - 1].key);
		return;
	}
	f->list_cursor[0] = '\0';
	feed_list_end(c, f, f->list_rev);
	feed_set_confirmed(f, f->list_start_ms);
}

static bool has_no_changes(const struct kv_result *res)
{
	return !res->n_items && !res->n_deleted;
}

/* A response without changes is current as of the end of the wait. */
static int64_t watch_as_of(struct core *c, const struct feed_call *call,
			   const struct kv_result *res)
{
	int64_t end = call->start_ms + call->wait_ms;

	if (!has_no_changes(res))
		return call->start_ms;
	return end < core_now(c) ? end : core_now(c);
}

static void on_watch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct feed_call *call = ctx;
	struct feed *f = call->feed;
	int64_t as_of_ms = watch_as_of(c, call, res);

	if (!feed_call_ended(call))
		return;
	if (res->err != ERR_OK) {
		feed_call_failed(c, call, res->err);
		return;
	}
	if (is_overtaken(f, "store", call->after != f->rev))
		return;
	feed_set_source(f, "store", as_of_ms);
	feed_apply_items(c, f, res->items, res->n_items, res->deleted,
			 res->n_deleted, res->rev);
	if (res->rev > f->rev)
		f->rev = res->rev;
	if (f->opts.keep_copy && f->rev > f->copy.rev)
		f->copy.rev = f->rev;
	feed_set_confirmed(f, as_of_ms);
	f->next_ms = has_no_changes(res)
			     ? 0
			     : call->start_ms + f->opts.watch_interval_min_ms;
	feed_step(c, f);
}

uint64_t feed_known_rev(const struct feed *f)
{
	return f->listed ? f->rev : 0;
}

void feed_free(struct feed *f)
{
	relay_copy_free(&f->copy);
}

void feed_apply(struct core *c, struct feed *f, const struct feed_update *news)
{
	if (is_overtaken(f, news->from,
			 news->after != feed_known_rev(f) ||
				 (news->full && news->rev < f->rev)))
		return;
	f->list_cursor[0] = '\0';
	feed_set_source(f, news->from, news->as_of_ms);
	if (news->full) {
		f->full_updates++;
		feed_list_begin(c, f);
	}
	feed_apply_items(c, f, news->items, news->n_items, news->deleted,
			 news->n_deleted, news->rev);
	if (news->full)
		feed_list_end(c, f, news->rev);
	else if (news->rev > f->rev)
		f->rev = news->rev;
	feed_set_confirmed(f, news->as_of_ms);
}

static bool feed_is_overdue(struct core *c, const struct feed *f)
{
	return f->listed && feed_age_ms(c, f) >= f->opts.overdue_ms;
}

/* A watch past its wait may be on a dead connection while new ones work. */
static bool hangs(struct core *c, const struct feed_call *call)
{
	return call->wait_ms && !call->probe &&
	       core_now(c) >=
		       call->start_ms + call->wait_ms + FEED_WATCH_GRACE_MS;
}

static bool feed_call_due(struct core *c, const struct feed *f, bool overdue)
{
	if (core_now(c) < f->next_ms || f->suspended ||
	    (f->overdue_only && !overdue))
		return false;
	return !f->awaited || (overdue && hangs(c, f->awaited));
}

bool feed_is_probing(const struct feed *f)
{
	return f->awaited && f->awaited->probe;
}

static struct feed_call *free_call(struct feed *f)
{
	for (int i = 0; i < FEED_CALLS_MAX; i++) {
		if (!f->calls[i].in_flight)
			return &f->calls[i];
	}
	return NULL;
}

void feed_reconfirm(struct feed *f)
{
	f->awaited = NULL;
	f->list_cursor[0] = '\0';
	f->next_ms = 0;
	f->confirm_next = true;
}

/* The wait ends when the data must be confirmed again. */
static int64_t feed_watch_wait_ms(struct core *c, const struct feed *f)
{
	int64_t remaining_ms =
		f->confirmed_ms + f->opts.refresh_ms - core_now(c);

	if (f->confirm_next || remaining_ms < FEED_CONFIRM_WAIT_MS)
		return FEED_CONFIRM_WAIT_MS;
	return remaining_ms < f->opts.refresh_ms ? remaining_ms
						 : f->opts.refresh_ms;
}

static void log_overdue(struct core *c, const struct feed *f,
			const struct feed_call *replaced)
{
	log_event(EV_FEED_OVERDUE,
		  "prefix=%s age_ms=%lld following=%d hangs_ms=%lld",
		  f->opts.prefix, (long long)feed_age_ms(c, f), f->overdue_only,
		  replaced ? (long long)(core_now(c) - replaced->start_ms)
			   : 0LL);
}

static enum err feed_start_call(struct core *c, struct feed *f,
				struct feed_call *call)
{
	if (!f->listed)
		return kv_list_after(c, f->opts.prefix,
				     f->list_cursor[0] ? f->list_cursor : NULL,
				     (struct kv_cb){on_list, call});
	if (call->probe)
		return kv_watch_direct(c, f->opts.prefix, f->rev, call->wait_ms,
				       (struct kv_cb){on_watch, call});
	return kv_watch(c, f->opts.prefix, f->rev, call->wait_ms,
			(struct kv_cb){on_watch, call});
}

void feed_step(struct core *c, struct feed *f)
{
	bool overdue = feed_is_overdue(c, f);
	const struct feed_call *replaced;
	struct feed_call *call;

	call = feed_call_due(c, f, overdue) ? free_call(f) : NULL;
	if (!call)
		return;
	*call = (struct feed_call){
		.feed = f,
		.in_flight = true,
		.probe = overdue && kv_unreachable_since(c) <= f->confirmed_ms,
		.start_ms = core_now(c),
		.wait_ms = f->listed ? feed_watch_wait_ms(c, f) : 0,
		.after = f->rev,
		.full_updates = f->full_updates,
	};
	replaced = f->awaited;
	f->awaited = call;
	if (feed_start_call(c, f, call) != ERR_OK) {
		feed_call_ended(call);
		f->next_ms = core_now(c) + FEED_RETRY_MS;
		return;
	}
	f->confirm_next = false;
	if (overdue)
		log_overdue(c, f, replaced);
}
