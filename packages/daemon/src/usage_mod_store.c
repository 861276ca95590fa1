// Store and platform calls made for the collector and the sealer.
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/duty_mod.h"
#include "daemon/platform_mod.h"
#include "usage_mod_priv.h"

/// Callback context: the id of the call.
static void *call_ctx(uint64_t number)
{
	return (void *)(uintptr_t)number;
}

/// Whether a reply belongs to the outstanding call.
static bool is_current_call(void *ctx, uint64_t number)
{
	return (uintptr_t)ctx == (uintptr_t)number;
}

/// Convert a reply of the store for the state machines.
static struct usage_kv kv_from_result(const struct kv_result *res)
{
	struct usage_kv kv = {.err = res->err, .rev = res->rev};

	if (res->n_items > 0) {
		kv.text = res->items[0].value;
		kv.len = res->items[0].len;
		kv.rev = res->items[0].rev;
	}
	return kv;
}

static void log_bad(const char *key, enum err e)
{
	metric_add(M_USAGE_BAD, 1);
	log_event(EV_USAGE_BAD, "key=%s err=%s", key, err_code(e));
}

/* collector */

static void domain_key(const struct usage_mod *m, char *buf)
{
	snprintf(buf, USAGE_KEY_MAX + 64, USAGE_NODE_PREFIX "%s",
		 core_domain(m->c));
}

static void on_collected(struct core *c, void *ctx, const struct kv_result *res)
{
	struct usage_mod *m = usage_mod_of(c);
	struct usage_kv kv = kv_from_result(res);

	if (is_current_call(ctx, m->collect.call_id))
		usage_collect_on_kv(&m->collect, core_now(c), &kv);
}

/// A call that could not be started counts as failed.
static void collect_failed(struct usage_mod *m)
{
	struct usage_kv kv = {.err = ERR_KV_DOWN};

	usage_collect_on_kv(&m->collect, core_now(m->c), &kv);
}

static void collect_get(void *ctx)
{
	struct usage_mod *m = ctx;
	struct kv_cb cb = {on_collected, call_ctx(m->collect.call_id)};
	char key[USAGE_KEY_MAX + 64];

	domain_key(m, key);
	if (kv_get(m->c, key, cb))
		collect_failed(m);
}

static void collect_put(void *ctx, const char *text, size_t len,
			uint64_t prev_rev)
{
	struct usage_mod *m = ctx;
	struct kv_cb cb = {on_collected, call_ctx(m->collect.call_id)};
	char key[USAGE_KEY_MAX + 64];
	struct kv_put_opts put = {
		.key = key, .value = text, .len = len, .prev_rev = prev_rev};

	domain_key(m, key);
	if (kv_put(m->c, &put, cb))
		collect_failed(m);
}

static void collect_bad(void *ctx, enum err e)
{
	const struct usage_mod *m = ctx;
	char key[USAGE_KEY_MAX + 64];

	domain_key(m, key);
	log_bad(key, e);
}

static const struct usage_collect_ops collect_ops = {
	collect_get,
	collect_put,
	collect_bad,
};

/* sealer */

static void on_seal_kv(struct core *c, void *ctx, const struct kv_result *res)
{
	struct usage_mod *m = usage_mod_of(c);
	struct usage_kv kv = kv_from_result(res);

	if (is_current_call(ctx, m->seal.call_id))
		usage_seal_on_kv(&m->seal, core_now(c), &kv);
}

static void seal_failed(struct usage_mod *m)
{
	struct usage_kv kv = {.err = ERR_KV_DOWN};

	usage_seal_on_kv(&m->seal, core_now(m->c), &kv);
}

static void seal_get(void *ctx, const char *key)
{
	struct usage_mod *m = ctx;
	struct kv_cb cb = {on_seal_kv, call_ctx(m->seal.call_id)};

	if (kv_get(m->c, key, cb))
		seal_failed(m);
}

static void seal_put(void *ctx, const char *key, const char *text, size_t len,
		     uint64_t prev_rev)
{
	struct usage_mod *m = ctx;
	struct kv_cb cb = {on_seal_kv, call_ctx(m->seal.call_id)};
	struct kv_put_opts put = {
		.key = key, .value = text, .len = len, .prev_rev = prev_rev};

	if (kv_put(m->c, &put, cb))
		seal_failed(m);
}

static void on_deleted(struct core *c, void *ctx, const struct kv_result *res)
{
}

/// Delete an old record; if that fails it stays, which is harmless.
static void seal_del(void *ctx, const char *key)
{
	struct usage_mod *m = ctx;
	struct kv_cb cb = {on_deleted, NULL};

	kv_del(m->c, key, 0, cb);
}

static void on_listed(struct core *c, void *ctx, const struct kv_result *res)
{
	struct usage_mod *m = usage_mod_of(c);

	if (!is_current_call(ctx, m->seal.call_id))
		return;
	for (size_t i = 0; i < res->n_items; i++)
		usage_seal_on_item(&m->seal, res->items[i].key,
				   res->items[i].value, res->items[i].len);
	usage_seal_on_listed(&m->seal, core_now(c),
			     res->err == ERR_NOT_FOUND ? ERR_OK : res->err);
}

static void seal_list(void *ctx)
{
	struct usage_mod *m = ctx;
	struct kv_cb cb = {on_listed, call_ctx(m->seal.call_id)};

	if (kv_list(m->c, USAGE_NODE_PREFIX, cb) == ERR_OK)
		return;
	usage_seal_on_listed(&m->seal, core_now(m->c), ERR_KV_DOWN);
}

static void on_sent(struct core *c, void *ctx, enum err e, int status,
		    const char *body, size_t len)
{
	struct usage_mod *m = usage_mod_of(c);

	if (is_current_call(ctx, m->seal.call_id))
		usage_seal_on_sent(&m->seal, core_now(c), e ? 0 : status);
}

static void seal_send(void *ctx, const char *body, size_t len)
{
	struct usage_mod *m = ctx;

	if (duty_mod_send(m->c, USAGE_DUTY, "/usage", body, len, on_sent,
			  call_ctx(m->seal.call_id)) == ERR_OK)
		return;
	usage_seal_on_sent(&m->seal, core_now(m->c), 0);
}

static void seal_bad(void *ctx, const char *key, enum err e)
{
	log_bad(key, e);
}

static void seal_reported(void *ctx, uint64_t window)
{
	metric_set(M_USAGE_WINDOW, window);
	log_event(EV_USAGE_REPORTED, "window=%llu", (unsigned long long)window);
}

static const struct usage_seal_ops seal_ops = {
	.get = seal_get,
	.list = seal_list,
	.put = seal_put,
	.del = seal_del,
	.send = seal_send,
	.bad = seal_bad,
	.reported = seal_reported,
};

void usage_mod_store_start(struct usage_mod *m)
{
	m->collect.ops = &collect_ops;
	m->collect.ctx = m;
	m->collect.counters = &m->counters;
	m->seal.ops = &seal_ops;
	m->seal.ctx = m;
}
