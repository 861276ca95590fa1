// List and watch of a prefix.
#include "site/feed.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"

enum {
	FEED_RETRY_MS =
		200, ///< after a failed call; doubles with each further one
	FEED_DOUBLINGS = 3,
	/// Wait of a watch that shall only confirm what is known.
	FEED_HURRY_MS = 20,
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

static void feed_failed(struct core *c, struct feed *f, enum err e)
{
	int shift = f->failures < FEED_DOUBLINGS ? f->failures : FEED_DOUBLINGS;

	log_event(
		EV_FEED_FAILED,
		"prefix=%s listed=%d error=%s ms=%lld age_ms=%lld failures=%d",
		f->opts.prefix, f->listed, err_code(e),
		(long long)(core_now(c) - f->start_ms),
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

/* Who tells what is about to be taken, and as of when. */
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
	for (size_t i = 0; i < n_items; i++)
		feed_item(c, f, &items[i]);
	for (size_t i = 0; i < n_deleted; i++) {
		if (f->opts.keep)
			relay_copy_del(&f->copy, deleted[i], rev);
		f->opts.ops->gone(c, f->opts.ctx, deleted[i]);
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

static void feed_confirmed(struct core *c, struct feed *f, int64_t as_of_ms)
{
	f->failures = 0;
	if (as_of_ms > f->confirmed_ms)
		f->confirmed_ms = as_of_ms;
	f->opts.ops->confirmed(c, f->opts.ctx, as_of_ms);
}

static void on_list(struct core *c, void *ctx, const struct kv_result *res)
{
	struct feed *f = ctx;

	f->busy = false;
	if (res->err != ERR_OK) {
		feed_failed(c, f, res->err);
		return;
	}
	if (!f->from[0]) {
		f->list_rev = res->rev;
		f->list_ms = f->start_ms;
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
	feed_confirmed(c, f, f->list_ms);
}

/* An answer without changes was true when the wait ended. */
static int64_t watch_as_of(const struct feed *f, const struct kv_result *res)
{
	bool quiet = !res->n_items && !res->n_deleted;

	return quiet ? f->start_ms + f->wait_ms : f->start_ms;
}

static void on_watch(struct core *c, void *ctx, const struct kv_result *res)
{
	struct feed *f = ctx;
	int64_t now = core_now(c);
	int64_t as_of;

	f->busy = false;
	if (res->err != ERR_OK) {
		feed_failed(c, f, res->err);
		return;
	}
	as_of = watch_as_of(f, res);
	if (as_of > now)
		as_of = now;
	feed_source(f, "store", as_of);
	feed_items(c, f, res->items, res->n_items, res->deleted, res->n_deleted,
		   res->rev);
	if (res->rev > f->rev)
		f->rev = res->rev;
	if (f->opts.keep && f->rev > f->copy.rev)
		f->copy.rev = f->rev;
	feed_confirmed(c, f, as_of);
	f->next_ms = f->start_ms + f->opts.pause_ms;
	feed_step(c, f);
}

void feed_free(struct feed *f)
{
	relay_copy_free(&f->copy);
}

void feed_take(struct core *c, struct feed *f, const struct feed_news *news)
{
	f->from[0] = '\0';
	feed_source(f, news->from, news->as_of_ms);
	if (news->full)
		feed_begin(c, f);
	feed_items(c, f, news->items, news->n_items, news->deleted,
		   news->n_deleted, news->rev);
	if (news->full)
		feed_listed(c, f, news->rev);
	else if (news->rev > f->rev)
		f->rev = news->rev;
	feed_confirmed(c, f, news->as_of_ms);
}

void feed_step(struct core *c, struct feed *f)
{
	int64_t now = core_now(c);
	enum err e;

	if (f->busy || f->quiet || now < f->next_ms)
		return;
	f->start_ms = now;
	f->wait_ms = f->hurry ? FEED_HURRY_MS : f->opts.wait_ms;
	if (f->listed)
		e = kv_watch(c, f->opts.prefix, f->rev, f->wait_ms,
			     (struct kv_cb){on_watch, f});
	else
		e = kv_list_from(c, f->opts.prefix, f->from[0] ? f->from : NULL,
				 (struct kv_cb){on_list, f});
	f->busy = e == ERR_OK;
	if (f->busy)
		f->hurry = false;
	else
		f->next_ms = now + FEED_RETRY_MS;
}
