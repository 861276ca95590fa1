// Makes the store calls of a lease and passes it the answers.
#include "candidacy.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "daemon/platform_mod.h"

/* Parse holder and epoch of a value, and its revision, into the answer. */
static void parse_value(const struct kv_item *item, char *holder,
			struct lease_answer *ans)
{
	json_t *obj = json_loadb(item->value, item->len, 0, NULL);
	const char *name = json_string_value(json_object_get(obj, "holder"));

	snprintf(holder, LEASE_HOLDER_MAX, "%s", name ? name : "");
	ans->epoch =
		(uint64_t)json_integer_value(json_object_get(obj, "epoch"));
	ans->rev = item->rev;
	json_decref(obj);
}

/* A watch by prefix also reports other keys with this prefix: skip them. */
static void parse_items(const struct candidacy *cand,
			const struct kv_result *res, char *holder,
			struct lease_answer *ans)
{
	for (size_t i = 0; i < res->n_deleted; i++)
		ans->key_deleted |= strcmp(res->deleted[i], cand->key) == 0;
	for (size_t i = 0; i < res->n_items; i++) {
		const struct kv_item *item = &res->items[i];
		bool is_key = strcmp(item->key, cand->key) == 0;

		ans->key_changed |= is_key;
		if (is_key || strcmp(item->key, cand->epoch_key) == 0)
			parse_value(item, holder, ans);
	}
}

static void on_answer(struct core *c, void *ctx, const struct kv_result *res)
{
	struct candidacy *cand = ctx;
	char holder[LEASE_HOLDER_MAX] = "";
	struct lease_answer ans = {
		.err = res->err,
		.holder = holder,
		.rev = res->rev,
		.store_lease = res->lease,
	};

	parse_items(cand, res, holder, &ans);
	lease_answer(&cand->lease, core_now(c), &ans);
	candidacy_step(c, cand);
}

static enum err put_value(struct core *c, const char *key,
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

static enum err send_action(struct core *c, struct candidacy *cand,
			    const struct lease_action *a)
{
	const struct kv_cb cb = {on_answer, cand};

	switch (a->op) {
	case LEASE_READ:
		return kv_get(c, cand->key, cb);
	case LEASE_WATCH:
		return kv_watch(c, cand->key, a->rev, a->duration_ms, cb);
	case LEASE_GRANT:
		return kv_lease_grant(c, a->duration_ms, cb);
	case LEASE_CREATE:
		return put_value(c, cand->key, a, a->store_lease, cb);
	case LEASE_READ_EPOCH:
		return kv_get(c, cand->epoch_key, cb);
	case LEASE_PUT_EPOCH:
		return put_value(c, cand->epoch_key, a, 0, cb);
	case LEASE_RENEW:
		return kv_lease_renew(c, a->store_lease, cb);
	case LEASE_REVOKE:
		return kv_lease_revoke(c, a->store_lease, cb);
	case LEASE_NONE:
		break;
	}
	return ERR_OK;
}

void candidacy_step(struct core *c, struct candidacy *cand)
{
	const struct lease_answer not_sent = {.err = ERR_KV_DOWN, .holder = ""};
	const struct lease_action a =
		lease_next_action(&cand->lease, core_now(c));

	if (a.op != LEASE_NONE && send_action(c, cand, &a) != ERR_OK)
		lease_answer(&cand->lease, core_now(c), &not_sent);
}
