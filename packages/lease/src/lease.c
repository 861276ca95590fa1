// State machine of one candidate for a duty.
#include "lease/lease.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

void lease_init(struct lease *l, const struct lease_opts *opts)
{
	assert(opts->margin_ms < opts->ttl_ms);
	memset(l, 0, sizeof(*l));
	l->opts = *opts;
	snprintf(l->node, sizeof(l->node), "%s", opts->node);
	l->opts.node = NULL;
	l->rng.state = opts->seed;
	l->state = LEASE_ST_READ;
}

void lease_set_watch(struct lease *l, bool use_watch)
{
	l->use_watch = use_watch;
}

/* 1 to 2 times a delay, so that candidates don't retry at the same time. */
static int64_t lease_jitter(struct lease *l, int64_t ms)
{
	return ms + (int64_t)rng_below(&l->rng, (uint64_t)ms + 1);
}

static int64_t lease_hold_end_ms(const struct lease *l)
{
	return l->expires_ms - l->opts.margin_ms;
}

static void lease_set_state(struct lease *l, enum lease_state st,
			    int64_t next_call_ms)
{
	l->state = st;
	l->next_call_ms = next_call_ms;
}

/* Abandon the attempt; its store lease, if any, expires. */
static void lease_back_off(struct lease *l, int64_t now)
{
	l->store_lease = 0;
	l->epoch = 0;
	lease_set_state(l, LEASE_ST_READ,
			now + lease_jitter(l, l->opts.retry_ms));
}

/* The key is free: start an attempt with a new holder id. */
static void lease_start_attempt(struct lease *l, int64_t now)
{
	l->attempt++;
	snprintf(l->holder, sizeof(l->holder), "%s/%llu", l->node,
		 (unsigned long long)l->attempt);
	lease_set_state(l, LEASE_ST_GRANT, now);
}

/* Another candidate holds the key: wait until it is deleted. */
static void lease_stand_by(struct lease *l, int64_t now, uint64_t rev)
{
	l->rev = rev;
	if (l->use_watch)
		lease_set_state(l, LEASE_ST_WATCH, now);
	else
		lease_set_state(l, LEASE_ST_READ,
				now + lease_jitter(l, l->opts.standby_poll_ms));
}

/* Whether it is between grant and HELD: these steps must not outlast the store
 * lease. */
static bool lease_acquiring(const struct lease *l)
{
	return l->state >= LEASE_ST_CREATE && l->state <= LEASE_ST_PUT_EPOCH;
}

static void lease_check_expiry(struct lease *l, int64_t now)
{
	bool expired = now >= lease_hold_end_ms(l);

	if (l->releasing)
		lease_set_state(
			l, l->store_lease ? LEASE_ST_REVOKE : LEASE_ST_ENDED,
			now);
	else if (expired && l->state == LEASE_ST_HELD && l->opts.resume)
		lease_set_state(l, LEASE_ST_LAPSED, now);
	else if (expired && (lease_acquiring(l) || l->state == LEASE_ST_HELD))
		lease_back_off(l, now);
}

static struct lease_action lease_action_for_state(const struct lease *l)
{
	struct lease_action a = {
		.holder = l->holder,
		.epoch = l->epoch,
		.rev = l->rev,
		.store_lease = l->store_lease,
	};

	switch (l->state) {
	case LEASE_ST_READ:
	case LEASE_ST_READ_BACK:
		a.op = LEASE_READ;
		break;
	case LEASE_ST_WATCH:
		a.op = LEASE_WATCH;
		a.duration_ms = l->opts.ttl_ms;
		break;
	case LEASE_ST_GRANT:
		a.op = LEASE_GRANT;
		a.duration_ms = l->opts.ttl_ms;
		break;
	case LEASE_ST_CREATE:
		a.op = LEASE_CREATE;
		a.rev = 0;
		break;
	case LEASE_ST_READ_EPOCH:
		a.op = LEASE_READ_EPOCH;
		break;
	case LEASE_ST_PUT_EPOCH:
		a.op = LEASE_PUT_EPOCH;
		break;
	case LEASE_ST_HELD:
	case LEASE_ST_LAPSED:
		a.op = LEASE_RENEW;
		break;
	case LEASE_ST_REVOKE:
		a.op = LEASE_REVOKE;
		break;
	case LEASE_ST_ENDED:
		a.op = LEASE_NONE;
		break;
	}
	return a;
}

struct lease_action lease_next_action(struct lease *l, int64_t now)
{
	const struct lease_action none = {.op = LEASE_NONE};

	if (l->call_outstanding)
		return none;
	lease_check_expiry(l, now);
	if (l->state == LEASE_ST_ENDED || now < l->next_call_ms)
		return none;
	l->call_outstanding = true;
	l->call_start_ms = now;
	return lease_action_for_state(l);
}

static bool lease_is_own_value(const struct lease *l,
			       const struct lease_answer *ans)
{
	return ans->err == ERR_OK && strcmp(ans->holder, l->holder) == 0;
}

static void on_read(struct lease *l, int64_t now,
		    const struct lease_answer *ans)
{
	if (ans->err == ERR_OK)
		lease_stand_by(l, now, ans->rev);
	else if (ans->err == ERR_NOT_FOUND)
		lease_start_attempt(l, now);
	else
		lease_back_off(l, now);
}

static void on_watch(struct lease *l, int64_t now,
		     const struct lease_answer *ans)
{
	if (ans->err != ERR_OK)
		lease_back_off(l, now);
	else if (ans->key_deleted)
		lease_start_attempt(l, now);
	else if (ans->key_changed)
		lease_set_state(l, LEASE_ST_READ, now);
	else
		lease_stand_by(l, now, ans->rev > l->rev ? ans->rev : l->rev);
}

static void on_grant(struct lease *l, int64_t now,
		     const struct lease_answer *ans)
{
	if (ans->err != ERR_OK) {
		lease_back_off(l, now);
		return;
	}
	l->store_lease = ans->store_lease;
	l->expires_ms = l->call_start_ms + l->opts.ttl_ms;
	lease_set_state(l, LEASE_ST_CREATE, now);
}

static void on_create(struct lease *l, int64_t now,
		      const struct lease_answer *ans)
{
	if (ans->err == ERR_OK)
		lease_set_state(l, LEASE_ST_READ_EPOCH, now);
	else if (ans->err == ERR_KV_DOWN)
		lease_set_state(l, LEASE_ST_CREATE, now + l->opts.retry_ms);
	else if (ans->err == ERR_KV_LEASE)
		lease_back_off(l, now);
	else
		lease_set_state(l, LEASE_ST_READ_BACK, now);
}

static void on_read_back(struct lease *l, int64_t now,
			 const struct lease_answer *ans)
{
	if (lease_is_own_value(l, ans))
		lease_set_state(l, LEASE_ST_READ_EPOCH, now);
	else if (ans->err == ERR_OK)
		lease_set_state(l, LEASE_ST_REVOKE, now);
	else if (ans->err == ERR_NOT_FOUND)
		lease_set_state(l, LEASE_ST_CREATE, now);
	else
		lease_set_state(l, LEASE_ST_READ_BACK, now + l->opts.retry_ms);
}

static void lease_start_holding(struct lease *l, int64_t now)
{
	l->held_since_ms = now;
	lease_set_state(l, LEASE_ST_HELD,
			l->expires_ms - l->opts.ttl_ms + l->opts.renew_ms);
}

static void on_read_epoch(struct lease *l, int64_t now,
			  const struct lease_answer *ans)
{
	if (lease_is_own_value(l, ans)) {
		l->epoch = ans->epoch;
		lease_start_holding(l, now);
	} else if (ans->err == ERR_OK || ans->err == ERR_NOT_FOUND) {
		bool found = ans->err == ERR_OK;

		l->epoch = found ? ans->epoch + 1 : 1;
		l->rev = found ? ans->rev : 0;
		lease_set_state(l, LEASE_ST_PUT_EPOCH, now);
	} else {
		lease_set_state(l, LEASE_ST_READ_EPOCH, now + l->opts.retry_ms);
	}
}

static void on_put_epoch(struct lease *l, int64_t now,
			 const struct lease_answer *ans)
{
	if (ans->err == ERR_OK)
		lease_start_holding(l, now);
	else
		lease_set_state(l, LEASE_ST_READ_EPOCH,
				ans->err == ERR_KV_CONFLICT
					? now
					: now + l->opts.retry_ms);
}

static void on_renew(struct lease *l, int64_t now,
		     const struct lease_answer *ans)
{
	if (ans->err == ERR_OK) {
		l->expires_ms = l->call_start_ms + l->opts.ttl_ms;
		l->next_call_ms = l->call_start_ms + l->opts.renew_ms;
	} else if (ans->err == ERR_NOT_FOUND || ans->err == ERR_KV_LEASE) {
		lease_back_off(l, now);
	} else {
		l->next_call_ms = now + l->opts.retry_ms;
	}
}

/* The duty key lives as long as the store lease: a renewal shows that no other
 * candidate could create it since. */
static void on_lapsed_renew(struct lease *l, int64_t now,
			    const struct lease_answer *ans)
{
	on_renew(l, now, ans);
	if (ans->err == ERR_OK)
		l->state = LEASE_ST_HELD;
}

static void on_revoke(struct lease *l, int64_t now,
		      const struct lease_answer *ans)
{
	lease_back_off(l, now);
	if (l->releasing)
		lease_set_state(l, LEASE_ST_ENDED, now);
}

void lease_answer(struct lease *l, int64_t now, const struct lease_answer *ans)
{
	static void (*const handlers[])(struct lease * l, int64_t now,
					const struct lease_answer *ans) = {
		[LEASE_ST_READ] = on_read,
		[LEASE_ST_WATCH] = on_watch,
		[LEASE_ST_GRANT] = on_grant,
		[LEASE_ST_CREATE] = on_create,
		[LEASE_ST_READ_BACK] = on_read_back,
		[LEASE_ST_READ_EPOCH] = on_read_epoch,
		[LEASE_ST_PUT_EPOCH] = on_put_epoch,
		[LEASE_ST_HELD] = on_renew,
		[LEASE_ST_LAPSED] = on_lapsed_renew,
		[LEASE_ST_REVOKE] = on_revoke,
	};

	assert(l->call_outstanding);
	l->call_outstanding = false;
	handlers[l->state](l, now, ans);
	lease_check_expiry(l, now);
}

bool lease_held(const struct lease *l, int64_t now, uint64_t *epoch,
		int64_t *until_ms)
{
	if (l->state != LEASE_ST_HELD || l->releasing ||
	    now >= lease_hold_end_ms(l))
		return false;
	if (epoch)
		*epoch = l->epoch;
	if (until_ms)
		*until_ms = lease_hold_end_ms(l);
	return true;
}

bool lease_may_act(const struct lease *l, int64_t now, uint64_t *epoch)
{
	return lease_held(l, now, epoch, NULL) &&
	       (l->epoch == 1 ||
		now - l->held_since_ms >= l->opts.takeover_delay_ms);
}

void lease_release(struct lease *l)
{
	l->releasing = true;
}

bool lease_ended(const struct lease *l)
{
	return l->releasing && l->store_lease == 0;
}
