// Keeps this node's liveness key in the store under a lease.
#include "lead/live.h"

#include <stdio.h>

#include "base/log.h"
#include "lead/live_value.h"
#include "store_keys.h"

enum {
	/// TTL of a home node's key. Home nodes run nearly all batches. Those of a
	/// lost one resume elsewhere after this TTL and one round of the leader,
	/// within the 5 s for which an item may be at no server.
	LIVE_HOME_TTL_MS = 1800,
	LIVE_HOME_RENEW_MS = 450, ///< three renewals fit into the TTL
	/// The same for all other nodes, which are many and run few batches.
	LIVE_TTL_MS = 3600,
	LIVE_RENEW_MS = 1100,
	LIVE_RETRY_MS = 250, ///< two retries fit in after a missed renewal
	/// Renewals continue this long after the last live_want().
	LIVE_UNWANTED_KEEP_MS = 5000,
};

static int64_t ttl_ms(const struct live *l)
{
	return l->home ? LIVE_HOME_TTL_MS : LIVE_TTL_MS;
}

static int64_t renew_ms(const struct live *l)
{
	return l->home ? LIVE_HOME_RENEW_MS : LIVE_RENEW_MS;
}

bool live_held(const struct live *l, int64_t now)
{
	return l->step == LIVE_RENEW && now < l->lease_until_ms;
}

void live_want(struct live *l, int64_t now)
{
	l->last_wanted_ms = now;
	if (l->step != LIVE_IDLE)
		return;
	l->step = LIVE_GRANT;
	l->next_call_ms = now;
}

/* Stop renewing a key that is no longer wanted; its lease expires. */
static bool live_stop_unwanted(struct live *l, int64_t now)
{
	if (l->home || l->step == LIVE_REVOKE ||
	    now - l->last_wanted_ms < LIVE_UNWANTED_KEEP_MS)
		return false;
	l->step = LIVE_IDLE;
	l->lease = 0;
	l->lease_until_ms = 0;
	return true;
}

void live_revoke(struct live *l)
{
	if (l->step != LIVE_ENDED)
		l->step = l->lease ? LIVE_REVOKE : LIVE_ENDED;
	l->next_call_ms = 0;
}

static void live_schedule(struct live *l, enum live_step step,
			  int64_t next_call_ms)
{
	if (l->step == LIVE_REVOKE || l->step == LIVE_ENDED)
		return;
	l->step = step;
	l->next_call_ms = next_call_ms;
}

static void on_grant(struct core *c, struct live *l,
		     const struct kv_result *res)
{
	if (res->err != ERR_OK) {
		live_schedule(l, LIVE_GRANT, core_now(c) + LIVE_RETRY_MS);
		return;
	}
	l->lease = res->lease;
	l->lease_until_ms = l->call_start_ms + ttl_ms(l);
	/* Usually there is no key yet; otherwise the write conflicts. */
	l->rev = 0;
	live_schedule(l, LIVE_PUT, core_now(c));
}

static void on_read(struct core *c, struct live *l, const struct kv_result *res)
{
	l->rev = res->n_items ? res->items[0].rev : 0;
	if (res->err == ERR_OK || res->err == ERR_NOT_FOUND)
		live_schedule(l, LIVE_PUT, core_now(c));
	else
		live_schedule(l, LIVE_READ, core_now(c) + LIVE_RETRY_MS);
}

static void on_put(struct core *c, struct live *l, const struct kv_result *res)
{
	switch (res->err) {
	case ERR_OK:
		l->rev = res->rev;
		l->stored_retiring = l->put_retiring;
		/* Renew at once: the last renewal may have been long ago. */
		live_schedule(l, LIVE_RENEW,
			      l->stored_retiring
				      ? core_now(c)
				      : l->call_start_ms + renew_ms(l));
		log_event(EV_LIVE_KEY_WRITTEN, "run=%s rev=%llu retiring=%d",
			  core_incarnation(c), (unsigned long long)res->rev,
			  l->stored_retiring);
		break;
	case ERR_KV_LEASE:
	case ERR_NOT_FOUND:
		live_schedule(l, LIVE_GRANT, core_now(c) + LIVE_RETRY_MS);
		break;
	case ERR_KV_CONFLICT:
		live_schedule(l, LIVE_READ, core_now(c));
		break;
	default:
		live_schedule(l, LIVE_READ, core_now(c) + LIVE_RETRY_MS);
		break;
	}
}

static void on_renew(struct core *c, struct live *l,
		     const struct kv_result *res)
{
	if (res->err == ERR_OK) {
		l->lease_until_ms = l->call_start_ms + ttl_ms(l);
		live_schedule(l, LIVE_RENEW, l->call_start_ms + renew_ms(l));
	} else if (res->err == ERR_NOT_FOUND || res->err == ERR_KV_LEASE) {
		live_schedule(l, LIVE_GRANT, core_now(c));
	} else {
		live_schedule(l, LIVE_RENEW, core_now(c) + LIVE_RETRY_MS);
	}
}

static void on_live_revoked(struct core *c, struct live *l,
			    const struct kv_result *res)
{
	if (res->err != ERR_OK && res->err != ERR_NOT_FOUND) {
		l->next_call_ms = core_now(c) + LIVE_RETRY_MS;
		return;
	}
	l->lease = 0;
	l->step = LIVE_ENDED;
}

static void on_answer(struct core *c, void *ctx, const struct kv_result *res)
{
	static void (*const handlers[])(struct core * c, struct live * l,
					const struct kv_result *res) = {
		[LIVE_GRANT] = on_grant,
		[LIVE_READ] = on_read,
		[LIVE_PUT] = on_put,
		[LIVE_RENEW] = on_renew,
		[LIVE_REVOKE] = on_live_revoked,
	};
	struct live *l = ctx;

	/* The call may have been started before live_revoke(). */
	l->call_outstanding = false;
	if (l->step != LIVE_ENDED)
		handlers[l->call_step](c, l, res);
}

static enum err live_put(struct core *c, struct live *l, struct kv_cb cb)
{
	char key[STORE_KEY_SIZE];
	char value[LIVE_VALUE_MAX];
	const struct kv_put_opts put = {
		.key = key,
		.value = value,
		.len = live_value_write(c, l->retiring, value, sizeof(value)),
		.prev_rev = l->rev,
		.lease = l->lease,
	};

	l->put_retiring = l->retiring;
	snprintf(key, sizeof(key), KEY_LIVE "%s", core_node(c));
	return kv_put(c, &put, cb);
}

static enum err live_call(struct core *c, struct live *l)
{
	const struct kv_cb cb = {on_answer, l};
	char key[STORE_KEY_SIZE];

	snprintf(key, sizeof(key), KEY_LIVE "%s", core_node(c));
	switch (l->step) {
	case LIVE_GRANT:
		return kv_lease_grant(c, ttl_ms(l), cb);
	case LIVE_READ:
		return kv_get(c, key, cb);
	case LIVE_PUT:
		return live_put(c, l, cb);
	case LIVE_RENEW:
		return kv_lease_renew(c, l->lease, cb);
	case LIVE_REVOKE:
		return kv_lease_revoke(c, l->lease, cb);
	case LIVE_IDLE:
	case LIVE_ENDED:
		break;
	}
	return ERR_CLOSED;
}

void live_step(struct core *c, struct live *l)
{
	int64_t now = core_now(c);

	if (l->retiring && !l->stored_retiring && !l->call_outstanding &&
	    l->step == LIVE_RENEW) {
		l->step = LIVE_PUT;
		l->next_call_ms = now;
	}
	if (l->call_outstanding || l->step == LIVE_IDLE ||
	    l->step == LIVE_ENDED || now < l->next_call_ms ||
	    live_stop_unwanted(l, now))
		return;
	l->call_start_ms = now;
	l->call_step = l->step;
	l->call_outstanding = live_call(c, l) == ERR_OK;
	if (!l->call_outstanding)
		l->next_call_ms = now + LIVE_RETRY_MS;
}
