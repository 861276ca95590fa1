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

/* Callback context: duty index and handle. */
static void *order_ctx(const struct duty_order *o)
{
	return (void *)((uintptr_t)o->duty << 32 | o->handle);
}

static struct duty_order *order_of_ctx(struct core *c, void *ctx)
{
	uintptr_t v = (uintptr_t)ctx;

	return htab_get(duty_state(c)->list[v >> 32].orders, (htab_handle)v);
}

static struct duty *order_duty(struct core *c, const struct duty_order *o)
{
	return &duty_state(c)->list[o->duty];
}

static void order_free(struct duty *d, struct duty_order *o)
{
	free(o->path);
	free(o->body);
	htab_del(d->orders, o->handle);
}

static void order_set_state(struct core *c, struct duty_order *o,
			    enum order_state st, int64_t wait_ms)
{
	o->state = st;
	o->next_step_ms = core_now(c) + wait_ms;
}

/* At most once. */
static void order_call_back(struct core *c, struct duty_order *o, enum err e,
			    int status, const char *body, size_t len)
{
	void (*fn)(struct core *, void *, enum err, int, const char *, size_t) =
		o->fn;

	o->fn = NULL;
	if (fn)
		fn(c, o->ctx, e, status, body, len);
}

/* Deletes the intent, but not while bytes of the order may still arrive. */
static void order_finish(struct core *c, struct duty_order *o)
{
	int64_t delay = settings_int(core_settings(c), S_DUTY_NET_DELAY);

	order_set_state(c, o, ORDER_DELETE_INTENT,
			o->maybe_in_flight ? delay : 0);
}

static void order_on_intent_written(struct core *c, void *ctx,
				    const struct kv_result *res)
{
	struct duty_order *o = order_of_ctx(c, ctx);

	if (!o)
		return;
	o->store_pending = false;
	if (res->err == ERR_OK) {
		o->rev = res->rev;
		order_set_state(c, o, ORDER_SEND, 0);
	} else if (res->err == ERR_KV_CONFLICT) {
		/* The intent exists: same order sent before, or lost reply. */
		o->rev = res->rev;
		o->maybe_in_flight = true;
		order_set_state(c, o, ORDER_WRITE_INTENT, 0);
	} else {
		order_set_state(c, o, ORDER_WRITE_INTENT, DUTY_RETRY_MS);
	}
	duty_orders_step(c, order_duty(c, o));
}

static void order_write_intent(struct core *c, struct duty_order *o)
{
	const struct kv_cb cb = {order_on_intent_written, order_ctx(o)};
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
	o->store_pending = kv_put(c, &opts, cb) == ERR_OK;
	free(value);
}

static void order_on_intent_deleted(struct core *c, void *ctx,
				    const struct kv_result *res)
{
	struct duty_order *o = order_of_ctx(c, ctx);

	if (!o)
		return;
	o->store_pending = false;
	if (res->err == ERR_KV_UNKNOWN || res->err == ERR_KV_DOWN)
		order_set_state(c, o, ORDER_DELETE_INTENT, DUTY_RETRY_MS);
	else
		order_free(order_duty(c, o), o);
}

static void order_delete_intent(struct core *c, struct duty_order *o)
{
	const struct kv_cb cb = {order_on_intent_deleted, order_ctx(o)};

	o->store_pending = kv_del(c, o->key, o->rev, cb) == ERR_OK;
}

static void order_send(struct core *c, struct duty *d, struct duty_order *o)
{
	const struct gate_order req = {
		.tag = o->handle,
		.path = o->path,
		.body = o->body,
		.len = o->len,
	};

	if (core_now(c) < d->send_after_ms || !duty_may_send(c, d))
		return;
	if (gate_send(d->gate, &req) != ERR_OK)
		return;
	o->state = ORDER_IN_FLIGHT;
	metric_add(M_ORDERS_SENT, 1);
}

static void order_step(struct core *c, struct duty *d, struct duty_order *o)
{
	if (o->store_pending || core_now(c) < o->next_step_ms)
		return;
	switch (o->state) {
	case ORDER_WRITE_INTENT:
		order_write_intent(c, o);
		break;
	case ORDER_SEND:
		order_send(c, d, o);
		break;
	case ORDER_DELETE_INTENT:
		order_delete_intent(c, o);
		break;
	case ORDER_IN_FLIGHT:
		break;
	}
}

void duty_orders_step(struct core *c, struct duty *d)
{
	size_t iter = 0;
	struct duty_order *o;

	if (d->phase != DUTY_READY && d->phase != DUTY_RESUMING)
		return;
	while ((o = htab_next(d->orders, &iter, NULL)))
		order_step(c, d, o);
}

/* No reply: retry under the same id, up to DUTY_INTENT_MAX_AGE_MS. */
static void order_on_no_reply(struct core *c, struct duty_order *o,
			      const struct gate_reply *r)
{
	bool expired = core_now(c) - o->created_ms > DUTY_INTENT_MAX_AGE_MS;

	o->maybe_in_flight |= r->sent;
	metric_add(M_ORDERS_UNANSWERED, 1);
	if (!expired) {
		order_set_state(c, o, ORDER_SEND, DUTY_RETRY_MS);
		return;
	}
	log_event(EV_DUTY_ORDER_UNKNOWN, "key=%s", o->key);
	order_call_back(c, o, ERR_TIMEOUT, 0, NULL, 0);
	order_finish(c, o);
}

static void order_on_reply(struct core *c, struct duty_order *o,
			   const struct gate_reply *r)
{
	if (r->err != ERR_OK) {
		order_on_no_reply(c, o, r);
		return;
	}
	if (o->resumed)
		log_event(EV_DUTY_ORDER_FINISHED, "key=%s status=%d", o->key,
			  r->status);
	order_call_back(c, o, ERR_OK, r->status, r->body, r->len);
	order_finish(c, o);
}

void duty_orders_take_replies(struct core *c, struct duty *d)
{
	struct gate_reply r;

	while (d->gate && gate_reply(d->gate, &r)) {
		struct duty_order *o = htab_get(d->orders, (htab_handle)r.tag);

		if (o)
			order_on_reply(c, o, &r);
		free(r.body);
	}
}

bool duty_orders_resuming(const struct duty *d)
{
	size_t iter = 0;
	const struct duty_order *o;

	while ((o = htab_next(d->orders, &iter, NULL))) {
		if (o->resumed && o->state != ORDER_DELETE_INTENT)
			return true;
	}
	return false;
}

void duty_orders_abort(struct core *c, struct duty *d)
{
	size_t iter = 0;
	struct duty_order *o;

	while ((o = htab_next(d->orders, &iter, NULL))) {
		bool unsent =
			o->state == ORDER_WRITE_INTENT || !o->maybe_in_flight;

		order_call_back(c, o, unsent ? ERR_DUTY_NOT_HELD : ERR_TIMEOUT,
				0, NULL, 0);
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
	o->handle = h;
	o->duty = d->index;
	o->created_ms = core_now(c);
	return o;
}

enum err duty_order_add(struct core *c, struct duty *d, const char *path,
			const char *body, size_t len,
			void (*fn)(struct core *c, void *ctx, enum err e,
				   int status, const char *body, size_t len),
			void *ctx)
{
	char prefix[DUTY_KEY_MAX / 2], id[DUTY_KEY_MAX / 2];
	struct duty_order *o;

	if (!duty_intent_order_id(body, len, id, sizeof(id)))
		return ERR_INVALID;
	o = order_new(c, d);
	if (!o)
		return ERR_FULL;
	duty_intent_prefix(d, prefix, sizeof(prefix));
	snprintf(o->key, sizeof(o->key), "%s%s", prefix, id);
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
	d->send_after_ms = now + delay;
	if (!o)
		return;
	snprintf(o->key, sizeof(o->key), "%s", item->key);
	o->rev = item->rev;
	o->resumed = true;
	o->maybe_in_flight = true;
	if (!duty_intent_decode(item->value, item->len, d->epoch, &in) ||
	    in.answered ||
	    clock_wall_ms() - in.wall_ms > DUTY_INTENT_MAX_AGE_MS) {
		duty_intent_free(&in);
		order_finish(c, o);
		return;
	}
	o->path = in.path;
	o->body = in.body;
	o->len = strlen(in.body);
	o->state = ORDER_SEND;
}
