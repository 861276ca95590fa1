// Orders of a held duty: write the intent, send the order, delete the intent.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "duty.h"
#include "duty_intent.h"

/* Callback context of an order: duty index and handle in one word. */
static void *order_ctx(const struct duty_order *o)
{
	return (void *)((uintptr_t)o->duty << 32 | o->self);
}

static struct duty_order *order_of_ctx(struct core *c, void *ctx)
{
	uintptr_t v = (uintptr_t)ctx;

	return htab_get(duty_all(c)->list[v >> 32].orders, (htab_handle)v);
}

static struct duty *order_duty(struct core *c, const struct duty_order *o)
{
	return &duty_all(c)->list[o->duty];
}

static void order_free(struct duty *d, struct duty_order *o)
{
	free(o->path);
	free(o->body);
	htab_del(d->orders, o->self);
}

static void order_go(struct core *c, struct duty_order *o, enum order_state st,
		     int64_t wait_ms)
{
	o->state = st;
	o->next_ms = core_now(c) + wait_ms;
}

/* Calls the callback with the outcome, at most once. */
static void order_tell(struct core *c, struct duty_order *o, enum err e,
		       int status, const char *body, size_t len)
{
	void (*fn)(struct core *, void *, enum err, int, const char *, size_t) =
		o->fn;

	o->fn = NULL;
	if (fn)
		fn(c, o->ctx, e, status, body, len);
}

/*
 * Deletes the intent: at once, or after the network's maximum delay if bytes of
 * an unanswered attempt may still arrive.
 */
static void order_over(struct core *c, struct duty_order *o)
{
	int64_t delay = settings_int(core_settings(c), S_DUTY_NET_DELAY);

	order_go(c, o, ORDER_CLEAN, o->late ? delay : 0);
}

static void order_written(struct core *c, void *ctx,
			  const struct kv_result *res)
{
	struct duty_order *o = order_of_ctx(c, ctx);

	if (!o)
		return;
	o->busy = false;
	if (res->err == ERR_OK) {
		o->rev = res->rev;
		order_go(c, o, ORDER_SEND, 0);
	} else if (res->err == ERR_KV_CONFLICT) {
		/* The intent exists: same order sent before, or lost reply. */
		o->rev = res->rev;
		o->late = true;
		order_go(c, o, ORDER_INTENT, 0);
	} else {
		order_go(c, o, ORDER_INTENT, DUTY_RETRY_MS);
	}
	duty_orders_step(c, order_duty(c, o));
}

static void order_write(struct core *c, struct duty_order *o)
{
	const struct kv_cb cb = {order_written, order_ctx(o)};
	char *value = duty_intent_encode(o->path, o->body, o->len,
					 clock_wall_ms(), false);
	struct kv_put_opts opts = {
		.key = o->key,
		.value = value,
		.prev_rev = o->rev,
	};

	if (!value)
		return;
	opts.len = strlen(value);
	o->busy = kv_put(c, &opts, cb) == ERR_OK;
	free(value);
}

static void order_deleted(struct core *c, void *ctx,
			  const struct kv_result *res)
{
	struct duty_order *o = order_of_ctx(c, ctx);

	if (!o)
		return;
	o->busy = false;
	if (res->err == ERR_KV_UNKNOWN || res->err == ERR_KV_DOWN)
		order_go(c, o, ORDER_CLEAN, DUTY_RETRY_MS);
	else
		order_free(order_duty(c, o), o);
}

static void order_clean(struct core *c, struct duty_order *o)
{
	const struct kv_cb cb = {order_deleted, order_ctx(o)};

	o->busy = kv_del(c, o->key, o->rev, cb) == ERR_OK;
}

static void order_send(struct core *c, struct duty *d, struct duty_order *o)
{
	const struct gate_order go = {
		.tag = o->self,
		.path = o->path,
		.body = o->body,
		.len = o->len,
	};

	if (core_now(c) < d->quiet_until_ms || !duty_may_send(c, d))
		return;
	if (gate_send(d->gate, &go) != ERR_OK)
		return;
	o->state = ORDER_SENT;
	metric_add(M_ORDERS_SENT, 1);
}

static void order_step(struct core *c, struct duty *d, struct duty_order *o)
{
	if (o->busy || core_now(c) < o->next_ms)
		return;
	switch (o->state) {
	case ORDER_INTENT:
		order_write(c, o);
		break;
	case ORDER_SEND:
		order_send(c, d, o);
		break;
	case ORDER_CLEAN:
		order_clean(c, o);
		break;
	case ORDER_SENT:
		break;
	}
}

void duty_orders_step(struct core *c, struct duty *d)
{
	size_t iter = 0;
	struct duty_order *o;

	if (d->phase != DUTY_READY && d->phase != DUTY_FINISHING)
		return;
	while ((o = htab_next(d->orders, &iter, NULL)))
		order_step(c, d, o);
}

/* No reply: retry under the same id, up to DUTY_INTENT_MAX_MS. */
static void order_unanswered(struct core *c, struct duty_order *o,
			     const struct gate_reply *r)
{
	bool old = core_now(c) - o->begun_ms > DUTY_INTENT_MAX_MS;

	o->late |= r->sent;
	metric_add(M_ORDERS_UNANSWERED, 1);
	if (!old) {
		order_go(c, o, ORDER_SEND, DUTY_RETRY_MS);
		return;
	}
	log_event(EV_DUTY_ORDER_UNKNOWN, "key=%s", o->key);
	order_tell(c, o, ERR_TIMEOUT, 0, NULL, 0);
	order_over(c, o);
}

static void order_replied(struct core *c, struct duty_order *o,
			  const struct gate_reply *r)
{
	if (r->err != ERR_OK) {
		order_unanswered(c, o, r);
		return;
	}
	if (o->resumed)
		log_event(EV_DUTY_ORDER_FINISHED, "key=%s status=%d", o->key,
			  r->status);
	order_tell(c, o, ERR_OK, r->status, r->body, r->len);
	order_over(c, o);
}

void duty_orders_collect(struct core *c, struct duty *d)
{
	struct gate_reply r;

	while (d->gate && gate_reply(d->gate, &r)) {
		struct duty_order *o = htab_get(d->orders, (htab_handle)r.tag);

		if (o)
			order_replied(c, o, &r);
		free(r.body);
	}
}

bool duty_orders_resuming(const struct duty *d)
{
	size_t iter = 0;
	const struct duty_order *o;

	while ((o = htab_next(d->orders, &iter, NULL))) {
		if (o->resumed && o->state != ORDER_CLEAN)
			return true;
	}
	return false;
}

void duty_orders_drop(struct core *c, struct duty *d)
{
	size_t iter = 0;
	struct duty_order *o;

	while ((o = htab_next(d->orders, &iter, NULL))) {
		bool unsent = o->state == ORDER_INTENT || !o->late;

		order_tell(c, o, unsent ? ERR_DUTY_NOT_HELD : ERR_TIMEOUT, 0,
			   NULL, 0);
		order_free(d, o);
	}
}

void duty_orders_free(struct duty *d)
{
	size_t iter = 0;
	struct duty_order *o;

	while ((o = htab_next(d->orders, &iter, NULL)))
		order_free(d, o);
}

static struct duty_order *order_new(struct core *c, struct duty *d)
{
	htab_handle h;
	struct duty_order *o = htab_add(d->orders, &h);

	if (!o)
		return NULL;
	o->self = h;
	o->duty = d->index;
	o->begun_ms = core_now(c);
	return o;
}

enum err duty_order_add(struct core *c, struct duty *d, const char *path,
			const char *body, size_t len,
			void (*fn)(struct core *c, void *ctx, enum err e,
				   int status, const char *body, size_t len),
			void *ctx)
{
	char prefix[DUTY_KEY_MAX / 2], name[DUTY_KEY_MAX / 2];
	struct duty_order *o;

	if (!duty_intent_name(body, len, name, sizeof(name)))
		return ERR_INVALID;
	o = order_new(c, d);
	if (!o)
		return ERR_FULL;
	duty_prefix(d, prefix, sizeof(prefix));
	snprintf(o->key, sizeof(o->key), "%s%s", prefix, name);
	o->path = strdup(path);
	o->body = strndup(body, len);
	o->len = len;
	o->fn = fn;
	o->ctx = ctx;
	if (!o->path || !o->body) {
		order_free(d, o);
		return ERR_NOMEM;
	}
	order_step(c, d, o);
	return ERR_OK;
}

void duty_order_resume(struct core *c, struct duty *d,
		       const struct kv_item *item)
{
	int64_t now = core_now(c);
	int64_t delay = settings_int(core_settings(c), S_DUTY_NET_DELAY);
	struct duty_intent in;
	struct duty_order *o = order_new(c, d);

	/* Its bytes may be in flight: send nothing until they arrived. */
	d->quiet_until_ms = now + delay;
	if (!o)
		return;
	snprintf(o->key, sizeof(o->key), "%s", item->key);
	o->rev = item->rev;
	o->resumed = true;
	o->late = true;
	if (!duty_intent_decode(item->value, item->len, d->epoch, &in) ||
	    in.over || clock_wall_ms() - in.wall_ms > DUTY_INTENT_MAX_MS) {
		duty_intent_free(&in);
		order_over(c, o);
		return;
	}
	o->path = in.path;
	o->body = in.body;
	o->len = strlen(in.body);
	o->state = ORDER_SEND;
}
