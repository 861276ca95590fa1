// Calls of the collector and the sealer to the platform.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/duty_mod.h"
#include "daemon/platform_mod.h"
#include "usage_mod_priv.h"

/// A call on its way; owned by its callback.
struct usage_call {
	struct usage_mod *m;
	uint64_t number; ///< of the machine's call
};

static struct usage_call *call_new(struct usage_mod *m, uint64_t number)
{
	struct usage_call *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->m = m;
	call->number = number;
	return call;
}

/// Take a call's module and free it.
///
/// @param number  the machine's present call
/// @return module, NULL if the answer is to an older call
static struct usage_mod *call_take(struct usage_call *call, uint64_t number)
{
	struct usage_mod *m = call->number == number ? call->m : NULL;

	free(call);
	return m;
}

/// An answer of the store as the machines take it. A call that could not
/// even begin is answered as failed.
static struct usage_kv kv_of(const struct kv_result *res)
{
	struct usage_kv kv = {.err = res->err, .rev = res->rev};

	if (res->n_items > 0) {
		kv.text = res->items[0].value;
		kv.len = res->items[0].len;
		kv.rev = res->items[0].rev;
	}
	return kv;
}

static void report_bad(const char *key, enum err e)
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
	struct usage_call *call = ctx;
	struct usage_mod *m = call_take(call, call->m->collect.call);
	struct usage_kv kv = kv_of(res);

	if (m)
		usage_collect_on_kv(&m->collect, core_now(c), &kv);
}

static void collect_failed(struct usage_mod *m, struct usage_call *call)
{
	struct usage_kv kv = {.err = ERR_KV_DOWN};

	free(call);
	usage_collect_on_kv(&m->collect, core_now(m->c), &kv);
}

static void collect_get(void *ctx)
{
	struct usage_mod *m = ctx;
	struct usage_call *call = call_new(m, m->collect.call);
	struct kv_cb cb = {on_collected, call};
	char key[USAGE_KEY_MAX + 64];

	domain_key(m, key);
	if (!call || kv_get(m->c, key, cb))
		collect_failed(m, call);
}

static void collect_put(void *ctx, const char *text, size_t len,
			uint64_t prev_rev)
{
	struct usage_mod *m = ctx;
	struct usage_call *call = call_new(m, m->collect.call);
	struct kv_cb cb = {on_collected, call};
	char key[USAGE_KEY_MAX + 64];
	struct kv_put_opts put = {
		.key = key, .value = text, .len = len, .prev_rev = prev_rev};

	domain_key(m, key);
	if (!call || kv_put(m->c, &put, cb))
		collect_failed(m, call);
}

static void collect_bad(void *ctx, enum err e)
{
	const struct usage_mod *m = ctx;
	char key[USAGE_KEY_MAX + 64];

	domain_key(m, key);
	report_bad(key, e);
}

static const struct usage_collect_ops collect_ops = {
	collect_get,
	collect_put,
	collect_bad,
};

/* sealer */

static void on_seal_kv(struct core *c, void *ctx, const struct kv_result *res)
{
	struct usage_call *call = ctx;
	struct usage_mod *m = call_take(call, call->m->seal.call);
	struct usage_kv kv = kv_of(res);

	if (m)
		usage_seal_on_kv(&m->seal, core_now(c), &kv);
}

static void seal_failed(struct usage_mod *m, struct usage_call *call)
{
	struct usage_kv kv = {.err = ERR_KV_DOWN};

	free(call);
	usage_seal_on_kv(&m->seal, core_now(m->c), &kv);
}

static void seal_get(void *ctx, const char *key)
{
	struct usage_mod *m = ctx;
	struct usage_call *call = call_new(m, m->seal.call);
	struct kv_cb cb = {on_seal_kv, call};

	if (!call || kv_get(m->c, key, cb))
		seal_failed(m, call);
}

static void seal_put(void *ctx, const char *key, const char *text, size_t len,
		     uint64_t prev_rev)
{
	struct usage_mod *m = ctx;
	struct usage_call *call = call_new(m, m->seal.call);
	struct kv_cb cb = {on_seal_kv, call};
	struct kv_put_opts put = {
		.key = key, .value = text, .len = len, .prev_rev = prev_rev};

	if (!call || kv_put(m->c, &put, cb))
		seal_failed(m, call);
}

static void on_pruned(struct core *c, void *ctx, const struct kv_result *res)
{
}

/// Remove an old record; a failure leaves it there, which is harmless.
static void seal_del(void *ctx, const char *key)
{
	struct usage_mod *m = ctx;
	struct kv_cb cb = {on_pruned, NULL};

	kv_del(m->c, key, 0, cb);
}

static void on_listed(struct core *c, void *ctx, const struct kv_result *res)
{
	struct usage_call *call = ctx;
	struct usage_mod *m = call_take(call, call->m->seal.call);

	if (!m)
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
	struct usage_call *call = call_new(m, m->seal.call);
	struct kv_cb cb = {on_listed, call};

	if (call && kv_list(m->c, USAGE_NODE_PREFIX, cb) == ERR_OK)
		return;
	free(call);
	usage_seal_on_listed(&m->seal, core_now(m->c), ERR_KV_DOWN);
}

static void on_sent(struct core *c, void *ctx, enum err e, int status,
		    const char *body, size_t len)
{
	struct usage_call *call = ctx;
	struct usage_mod *m = call_take(call, call->m->seal.call);

	if (m)
		usage_seal_on_sent(&m->seal, core_now(c), e ? 0 : status);
}

static void seal_send(void *ctx, const char *body, size_t len)
{
	struct usage_mod *m = ctx;
	struct usage_call *call = call_new(m, m->seal.call);

	if (call && duty_mod_send(m->c, USAGE_DUTY, "/usage", body, len,
				  on_sent, call) == ERR_OK)
		return;
	free(call);
	usage_seal_on_sent(&m->seal, core_now(m->c), 0);
}

static void seal_bad(void *ctx, const char *key, enum err e)
{
	report_bad(key, e);
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
	m->collect.book = &m->book;
	m->seal.ops = &seal_ops;
	m->seal.ctx = m;
}
