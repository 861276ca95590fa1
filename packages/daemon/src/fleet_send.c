// Sends scaling orders through the duty's gate and handles the replies.
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/duty_mod.h"
#include "fleet_plan.h"

enum {
	SEND_BODY_MAX = 512, ///< bytes of an order
	SEND_ID_MAX = 160,
	SEND_START_GRACE_MS = 60000, ///< after the lead, until give-up
};

static struct plan_pending *plan_pending_find(struct plan *p, uint64_t seq)
{
	for (int i = 0; i < p->n_pending; i++) {
		if (p->pending[i].seq == seq)
			return &p->pending[i];
	}
	return NULL;
}

static void plan_pending_remove(struct plan *p, struct plan_pending *e)
{
	*e = p->pending[--p->n_pending];
}

static void plan_on_stopped(struct core *c, struct plan *p,
			    struct plan_pending *e)
{
	p->groups[e->group].cheap_stopped += e->cheap;
	fleet_list_mark_leaving(p->list, e->server, core_now(c));
	metric_add(M_FLEET_STOPS, 1);
	plan_pending_remove(p, e);
}

/* No capacity, or outcome unknown: the VM list will show what happened. */
static void plan_on_failure(struct core *c, struct plan *p,
			    struct plan_pending *e, enum err err, int status)
{
	log_event(EV_FLEET_REFUSED,
		  "order=%llu op=%s cheap=%d err=%s status=%d",
		  (unsigned long long)e->seq, e->start ? "start" : "stop",
		  e->cheap, err_code(err), status);
	if (e->start && e->cheap)
		fleet_cheap_lost(&p->groups[e->group].fleet, core_now(c));
	if (e->start && err == ERR_TIMEOUT)
		e->answered = true; /* counted until it expires */
	else
		plan_pending_remove(p, e);
}

static void plan_on_reply(struct core *c, void *ctx, enum err err, int status,
			  const char *body, size_t len)
{
	struct plan *p = plan_state(c);
	struct plan_pending *e = plan_pending_find(p, (uint64_t)(uintptr_t)ctx);
	char server[sizeof(e->server)];
	bool ok = err == ERR_OK && status == 200 &&
		  p->wire->order_decode(body, len, server);

	if (!e)
		return;
	if (!ok) {
		plan_on_failure(c, p, e, err, status);
	} else if (e->start) {
		memcpy(e->server, server, sizeof(e->server));
		e->answered = true;
		metric_add(M_FLEET_STARTS, 1);
	} else {
		plan_on_stopped(c, p, e);
	}
}

static void plan_send_order(struct core *c, struct plan *p,
			    struct plan_pending *e)
{
	const struct plan_group *g = &p->groups[e->group];
	char body[SEND_BODY_MAX], id[SEND_ID_MAX];
	struct fleet_order o = {
		.id = id,
		.domain = core_domain(c),
		.start = e->start,
		.kind = g->kind,
		.service = g->service,
		.cheap = e->cheap,
		.server = e->server,
	};
	size_t len;

	duty_mod_held(c, p->duty, &o.epoch);
	snprintf(id, sizeof(id), "%s-%llu-%llu", core_domain(c),
		 (unsigned long long)o.epoch, (unsigned long long)e->seq);
	len = p->wire->order_encode(&o, body, sizeof(body));
	if (len == 0 ||
	    duty_mod_send(c, p->duty, p->wire->orders_path, body, len,
			  plan_on_reply, (void *)(uintptr_t)e->seq) != ERR_OK) {
		plan_pending_remove(p, e);
		return;
	}
	log_event(EV_FLEET_ORDER, "id=%s op=%s service=%s cheap=%d server=%s",
		  id, e->start ? "start" : "stop", g->service, e->cheap,
		  e->server);
}

static struct plan_pending *plan_pending_add(struct core *c, struct plan *p,
					     int group, bool cheap)
{
	const struct settings *s = core_settings(c);
	struct plan_pending *e;

	if (p->n_pending == PLAN_PENDING_MAX)
		return NULL;
	e = &p->pending[p->n_pending++];
	*e = (struct plan_pending){
		.seq = ++p->seq,
		.group = group,
		.cheap = cheap,
		.expires_ms = core_now(c) + settings_int(s, S_FLEET_LEAD) +
			      SEND_START_GRACE_MS,
	};
	return e;
}

/* The newest is stopped first: its cache is the least filled. */
static const struct fleet_vm *plan_newest(struct core *c, const struct plan *p,
					  int group, bool cheap)
{
	const struct fleet_vm *newest = NULL;

	for (size_t i = 0; i < p->list->n; i++) {
		const struct fleet_vm *vm = &p->list->vms[i];

		if (vm->state == VM_LIVE && vm->cheap == cheap &&
		    plan_in_group(c, &p->groups[group], vm) &&
		    (!newest || vm->first_seen_ms > newest->first_seen_ms))
			newest = vm;
	}
	return newest;
}

/* One per step: the next is chosen once this one is marked as leaving. */
static void plan_stop_one(struct core *c, struct plan *p, int group, bool cheap)
{
	const struct fleet_vm *vm = plan_newest(c, p, group, cheap);
	struct plan_pending *e =
		vm ? plan_pending_add(c, p, group, cheap) : NULL;

	if (!e)
		return;
	snprintf(e->server, sizeof(e->server), "%s", vm->id);
	plan_send_order(c, p, e);
}

void plan_order_change(struct core *c, struct plan *p, int group, bool cheap,
		       int change)
{
	if (change < 0)
		plan_stop_one(c, p, group, cheap);
	for (; change > 0; change--) {
		struct plan_pending *e = plan_pending_add(c, p, group, cheap);

		if (!e)
			return;
		e->start = true;
		plan_send_order(c, p, e);
	}
}
