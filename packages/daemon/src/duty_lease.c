// Makes the store calls that a duty's lease asks for.
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "duty.h"

/* A callback's duty: its index travels as the context. */
static struct duty *duty_of_ctx(struct core *c, void *ctx)
{
	return &duty_all(c)->list[(intptr_t)ctx];
}

static void duty_key(const struct duty *d, const char *dir, char *buf,
		     size_t len)
{
	snprintf(buf, len, "%s/%s", dir, d->name);
}

/* Read holder and epoch of a value into the answer. */
static void duty_read_value(struct duty *d, const struct kv_item *item,
			    struct lease_answer *ans)
{
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	const char *holder = json_string_value(json_object_get(obj, "holder"));

	snprintf(d->seen_holder, sizeof(d->seen_holder), "%s",
		 holder ? holder : "");
	ans->epoch =
		(uint64_t)json_integer_value(json_object_get(obj, "epoch"));
	json_decref(obj);
}

/* A watch by prefix also shows duties whose names begin alike. */
static void duty_read_items(struct duty *d, const struct kv_result *res,
			    struct lease_answer *ans)
{
	char key[DUTY_KEY_MAX];

	duty_key(d, "duty", key, sizeof(key));
	for (size_t i = 0; i < res->n_deleted; i++)
		ans->gone |= strcmp(res->deleted[i], key) == 0;
	for (size_t i = 0; i < res->n_items; i++)
		ans->changed |= strcmp(res->items[i].key, key) == 0;
	if (res->n_items == 1)
		duty_read_value(d, &res->items[0], ans);
}

static void duty_answered(struct core *c, void *ctx,
			  const struct kv_result *res)
{
	struct duty *d = duty_of_ctx(c, ctx);
	struct lease_answer ans = {
		.err = res->err,
		.holder = d->seen_holder,
		.rev = res->rev,
		.store_lease = res->lease,
	};

	d->seen_holder[0] = '\0';
	duty_read_items(d, res, &ans);
	lease_answer(&d->lease, core_now(c), &ans);
	duty_drive(c, d);
}

static enum err duty_put(struct core *c, const char *key,
			 const struct lease_action *a, uint64_t store_lease,
			 struct kv_cb cb)
{
	char value[2 * LEASE_HOLDER_MAX];
	const struct kv_put_opts opts = {
		.key = key,
		.value = value,
		.len = (size_t)snprintf(value, sizeof(value),
					"{\"holder\":\"%s\",\"epoch\":%llu}",
					a->holder,
					(unsigned long long)a->epoch),
		.prev_rev = a->rev,
		.lease = store_lease,
	};

	return kv_put(c, &opts, cb);
}

static enum err duty_call(struct core *c, struct duty *d,
			  const struct lease_action *a)
{
	const struct kv_cb cb = {duty_answered, (void *)(intptr_t)d->index};
	char key[DUTY_KEY_MAX], epoch_key[DUTY_KEY_MAX];

	duty_key(d, "duty", key, sizeof(key));
	duty_key(d, "epoch", epoch_key, sizeof(epoch_key));
	switch (a->op) {
	case LEASE_READ:
		return kv_get(c, key, cb);
	case LEASE_WATCH:
		return kv_watch(c, key, a->rev, a->ms, cb);
	case LEASE_GRANT:
		return kv_lease_grant(c, a->ms, cb);
	case LEASE_CREATE:
		return duty_put(c, key, a, a->store_lease, cb);
	case LEASE_READ_EPOCH:
		return kv_get(c, epoch_key, cb);
	case LEASE_PUT_EPOCH:
		return duty_put(c, epoch_key, a, 0, cb);
	case LEASE_RENEW:
		return kv_lease_renew(c, a->store_lease, cb);
	case LEASE_REVOKE:
		return kv_lease_revoke(c, a->store_lease, cb);
	case LEASE_NONE:
		break;
	}
	return ERR_OK;
}

void duty_drive(struct core *c, struct duty *d)
{
	const struct lease_answer not_sent = {.err = ERR_KV_DOWN, .holder = ""};
	const struct lease_action a = lease_next(&d->lease, core_now(c));

	if (a.op != LEASE_NONE && duty_call(c, d, &a) != ERR_OK)
		lease_answer(&d->lease, core_now(c), &not_sent);
}

static void duty_listed(struct core *c, void *ctx, const struct kv_result *res)
{
	struct duty *d = duty_of_ctx(c, ctx);

	d->listing = false;
	if (d->phase != DUTY_LISTING || d->list_epoch != d->epoch)
		return;
	if (res->err != ERR_OK) {
		d->next_list_ms = core_now(c) + DUTY_RETRY_MS;
		return;
	}
	for (size_t i = 0; i < res->n_items; i++)
		duty_order_resume(c, d, &res->items[i]);
	d->phase = DUTY_FINISHING;
}

void duty_list(struct core *c, struct duty *d)
{
	const struct kv_cb cb = {duty_listed, (void *)(intptr_t)d->index};
	char prefix[DUTY_KEY_MAX];

	if (d->listing || core_now(c) < d->next_list_ms)
		return;
	d->list_epoch = d->epoch;
	duty_prefix(d, prefix, sizeof(prefix));
	d->listing = kv_list(c, prefix, cb) == ERR_OK;
}
