// List and watch of a prefix.
#include "site/feed.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"

enum {
	FEED_RETRY_MS = 200, ///< doubles with each failure in a row
	FEED_DOUBLINGS = 3,
	/// Wait of a watch that only confirms the data.
	FEED_HURRY_MS = 20,
	/// The store answers within a few milliseconds, a few hundred if it is slow.
	FEED_LATE_MS = 400,
};

void feed_init(struct feed *f, const struct feed_opts *opts)
{
	memset(f, 0, sizeof(*f));
	f->opts = *opts;
}

int64_t feed_age(struct core *c, const struct feed *f)
{
	return f->confirmed_ms ? core_now(c) - f->confirmed_ms : INT64_MAX;
}

static void feed_failed(struct core *c, const struct feed_call *call,
			enum err e)
{
	struct feed *f = call->feed;
	int shift = f->failures < FEED_DOUBLINGS ? f->failures : FEED_DOUBLINGS;

	log_event(
		EV_FEED_FAILED,
		"prefix=%s listed=%d error=%s ms=%lld age_ms=%lld failures=%d",
		f->opts.prefix, f->listed, err_code(e),
		(long long)(core_now(c) - call->start_ms),
		f->confirmed_ms ? (long long)feed_age(c, f) : -1LL,
		f->failures);
	if (e == ERR_KV_HISTORY)
		f->listed = false;
	else
		f->failures++;
	f->from[0] = '\0';
	f->next_ms = core_now(c) + (FEED_RETRY_MS << shift);
}

static void feed_item(struct core *c, struct feed *f,
		      const struct kv_item *item)
{
	if (f->opts.keep)
		relay_copy_put(&f->copy, item->key, item->value, item->len,
			       item->rev);
	f->opts.ops->item(c, f->opts.ctx, item);
}

/* Origin and time of the update that is applied next. */
static void feed_source(struct feed *f, const char *source, int64_t as_of_ms)
{
	f->source = source;
	f->source_as_of_ms = as_of_ms;
}

static void feed_items(struct core *c, struct feed *f,
		       const struct kv_item *items, size_t n_items,
		       const char *const *deleted, size_t n_deleted,
		       uint64_t rev)
{
	f->taken_rev = rev;
	for (size_t i = 0; i < n_items; i++)
		feed_item(c, f, &items[i]);
	/* gone() can still read the deleted value. */
	for (size_t i = 0; i < n_deleted; i++) {
		f->opts.ops->gone(c, f->opts.ctx, deleted[i]);
		if (f->opts.keep)
			relay_copy_del(&f->copy, deleted[i], rev);
	}
}

static void feed_begin(struct core *c, struct feed *f)
{
	if (f->opts.keep)
		relay_copy_begin_list(&f->copy);
	f->opts.ops->begin(c, f->opts.ctx);
}

static void feed_listed(struct core *c, struct feed *f, uint64_t rev)
{
	f->rev = rev;
	f->listed = true;
	if (f->opts.keep)
		relay_copy_end_list(&f->copy, rev);
	f->opts.ops->listed(c, f->opts.ctx);
}

static void feed_confirmed(struct feed *f, int64_t as_of_ms)
{
	f->failures = 0;
	if (as_of_ms > f->confirmed_ms)
		f->confirmed_ms = as_of_ms;
}

/* The response to an abandoned call is ignored: newer changes may have arrived by
 * another way. */
static bool feed_ended(struct feed_call *call)
{
	struct feed *f = call->feed;
	bool taken = f->call == call;

	call->busy = false;
	if (taken)
		f->call = NULL;
	return taken;
}

/* Newer data arrived since the request: applying the older response could restore a
 * deleted entry. */
static bool is_overtaken(const struct feed *f, const char *from, bool overtaken)
{
	if (overtaken)
		log_event(EV_FEED_OVERTAKEN, "prefix=%s from=%s rev=%llu",
			  f->opts.prefix, from, (unsigned long long)f->rev);
	return overtaken;
}

static void on_list(struct core *c, void *ctx, const struct kv_result *res)
{
	struct feed_call *call = ctx;
	struct feed *f = call->feed;

	if (!feed_ended(call))
		return;
	if (res->err != ERR_OK) {
		feed_failed(c, call, res->err);
		return;
	}
	if (is_overtaken(f, "store", call->taken != f->taken))
		return;
	if (!f->from[0]) {
		f->list_rev = res->rev;
		f->list_ms = call->start_ms;
		feed_begin(c, f);
	}
	feed_source(f, "store", f->list_ms);
	feed_items(c, f, res->items, res->n_items, NULL, 0, res->rev);
	if (res->more && res->n_items) {
		snprintf(f->from, sizeof(f->from), "%s",
			 res->items[res->n_items - 1].key);
		return;
	}
	f->from[0] = '\0';
	feed_listed(c, f, f->list_rev);
	feed_confirmed(f, f->list_ms);
}

static bool is_quiet(const struct kv_result *res)
{
	return !res->n_items && !res->n_deleted;
}

/* A response without changes is current as of the end of the wait. */
static int64_t watch_as_of(struct core *c, const struct feed_call *call,
			   const struct kv_result *res)
{
	int64_t end = call->start_ms + call->wait_ms;

	if (!is_quiet(res))
		return call->start_ms;
	return end < core_now(c) ? end : core_now(c);
}

static void on_watch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct feed_call *call = ctx;
	struct feed *f = call->feed;
	int64_t as_of = watch_as_of(c, call, res);

	if (!feed_ended(call))
		return;
	if (res->err != ERR_OK) {
		feed_failed(c, call, res->err);
		return;
	}
	if (is_overtaken(f, "store", call->after != f->rev))
		return;
	feed_source(f, "store", as_of);
	feed_items(c, f, res->items, res->n_items, res->deleted, res->n_deleted,
		   res->rev);
	if (res->rev > f->rev)
		f->rev = res->rev;
	if (f->opts.keep && f->rev > f->copy.rev)
		f->copy.rev = f->rev;
	feed_confirmed(f, as_of);
	f->next_ms = is_quiet(res) ? 0 : call->start_ms + f->opts.pause_ms;
	feed_step(c, f);
}

uint64_t feed_asks_after(const struct feed *f)
{
	return f->listed ? f->rev : 0;
}

void feed_free(struct feed *f)
{
	relay_copy_free(&f->copy);
}

void feed_take(struct core *c, struct feed *f, const struct feed_news *news)
{
	if (is_overtaken(f, news->from,
			 news->after != feed_asks_after(f) ||
				 (news->full && news->rev < f->rev)))
		return;
	f->from[0] = '\0';
	feed_source(f, news->from, news->as_of_ms);
	if (news->full) {
		f->taken++;
		feed_begin(c, f);
	}
	feed_items(c, f, news->items, news->n_items, news->deleted,
		   news->n_deleted, news->rev);
	if (news->full)
		feed_listed(c, f, news->rev);
	else if (news->rev > f->rev)
		f->rev = news->rev;
	feed_confirmed(f, news->as_of_ms);
}

static bool feed_overdue(struct core *c, const struct feed *f)
{
	return f->listed && feed_age(c, f) >= f->opts.overdue_ms;
}

/* A watch is overdue; its connection may be dead while new ones work. */
static bool hangs(struct core *c, const struct feed_call *call)
{
	return call->wait_ms && !call->urgent &&
	       core_now(c) >= call->start_ms + call->wait_ms + FEED_LATE_MS;
}

static bool feed_due(struct core *c, const struct feed *f, bool overdue)
{
	if (core_now(c) < f->next_ms || f->hush || (f->quiet && !overdue))
		return false;
	return !f->call || (overdue && hangs(c, f->call));
}

bool feed_is_urgent(const struct feed *f)
{
	return f->call && f->call->urgent;
}

static struct feed_call *free_call(struct feed *f)
{
	for (int i = 0; i < FEED_CALLS; i++) {
		if (!f->calls[i].busy)
			return &f->calls[i];
	}
	return NULL;
}

void feed_renew(struct feed *f)
{
	f->call = NULL;
	f->from[0] = '\0';
	f->next_ms = 0;
	f->hurry = true;
}

/* The wait ends when the data must be confirmed again. */
static int64_t feed_wait(struct core *c, const struct feed *f)
{
	int64_t left = f->confirmed_ms + f->opts.refresh_ms - core_now(c);

	if (f->hurry || left < FEED_HURRY_MS)
		return FEED_HURRY_MS;
	return left < f->opts.refresh_ms ? left : f->opts.refresh_ms;
}

static void log_overdue(struct core *c, const struct feed *f,
			const struct feed_call *before)
{
	log_event(EV_FEED_OVERDUE,
		  "prefix=%s age_ms=%lld following=%d hangs_ms=%lld",
		  f->opts.prefix, (long long)feed_age(c, f), f->quiet,
		  before ? (long long)(core_now(c) - before->start_ms) : 0LL);
}

static enum err feed_call_begin(struct core *c, struct feed *f,
				struct feed_call *call)
{
	if (!f->listed)
		return kv_list_from(c, f->opts.prefix,
				    f->from[0] ? f->from : NULL,
				    (struct kv_cb){on_list, call});
	if (call->urgent)
		return kv_confirm(c, f->opts.prefix, f->rev, call->wait_ms,
				  (struct kv_cb){on_watch, call});
	return kv_watch(c, f->opts.prefix, f->rev, call->wait_ms,
			(struct kv_cb){on_watch, call});
}

void feed_step(struct core *c, struct feed *f)
{
	bool overdue = feed_overdue(c, f);
	const struct feed_call *before;
	struct feed_call *call;

	call = feed_due(c, f, overdue) ? free_call(f) : NULL;
	if (!call)
		return;
	*call = (struct feed_call){
		.feed = f,
		.busy = true,
		.urgent = overdue && kv_vain_since(c) <= f->confirmed_ms,
		.start_ms = core_now(c),
		.wait_ms = f->listed ? feed_wait(c, f) : 0,
		.after = f->rev,
		.taken = f->taken,
	};
	before = f->call;
	f->call = call;
	if (feed_call_begin(c, f, call) != ERR_OK) {
		feed_ended(call);
		f->next_ms = core_now(c) + FEED_RETRY_MS;
		return;
	}
	f->hurry = false;
	if (overdue)
		log_overdue(c, f, before);
}
