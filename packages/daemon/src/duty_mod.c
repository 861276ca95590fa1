// Campaigns for duties by lease and opens a gate for each term.
#include "daemon/duty_mod.h"

#include <assert.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "base/metric.h"
#include "core/settings.h"
#include "daemon/member_mod.h"
#include "daemon/mods.h"
#include "duty.h"

enum {
	DUTY_WATCHERS = 2, ///< candidates that watch the key
	DUTY_RENEWALS_PER_TTL = 3, ///< lease renewals per TTL
	DUTY_POLL_TTLS = 10, ///< poll interval of the others
};

struct duties *duty_state(const struct core *c)
{
	return core_mod_state(c, MOD_DUTY);
}

static struct duty *duty_find(struct core *c, const char *name)
{
	struct duties *ds = duty_state(c);

	for (int i = 0; ds && i < ds->n; i++) {
		if (strcmp(ds->list[i].name, name) == 0)
			return &ds->list[i];
	}
	return NULL;
}

void duty_intent_prefix(const struct duty *d, char *buf, size_t len)
{
	static const char fleet[] = "fleet/";

	if (strncmp(d->name, fleet, strlen(fleet)) == 0)
		snprintf(buf, len, "order/%s/", d->name + strlen(fleet));
	else
		snprintf(buf, len, "order/@%s/", d->name);
}

bool duty_may_send(struct core *c, const struct duty *d)
{
	uint64_t epoch;

	return d->gate &&
	       (d->phase == DUTY_READY || d->phase == DUTY_RESUMING) &&
	       lease_held(&d->cand.lease, core_now(c), &epoch, NULL) &&
	       epoch == d->epoch;
}

bool duty_mod_held(struct core *c, const char *name, uint64_t *epoch)
{
	const struct duty *d = duty_find(c, name);

	if (!d || d->phase != DUTY_READY || !duty_may_send(c, d))
		return false;
	if (epoch)
		*epoch = d->epoch;
	return true;
}

int64_t duty_mod_held_since(struct core *c, const char *name)
{
	return duty_mod_held(c, name, NULL) ? duty_find(c, name)->ready_since_ms
					    : 0;
}

enum err duty_mod_send(struct core *c, const char *name, const char *path,
		       const char *body, size_t len,
		       void (*fn)(struct core *c, void *ctx, enum err e,
				  int status, const char *body, size_t len),
		       void *ctx)
{
	struct duties *ds = duty_state(c);

	if (!duty_mod_held(c, name, NULL) || ds->draining)
		return ERR_DUTY_NOT_HELD;
	return duty_order_add(c, duty_find(c, name), path, body, len, fn, ctx);
}

static enum err duty_init(struct core *c, struct duty *d, const char *name)
{
	const struct settings *s = core_settings(c);
	int64_t ttl = settings_int(s, S_DUTY_TTL);
	char node[LEASE_NODE_MAX];
	struct lease_opts opts = {
		.node = node,
		.ttl_ms = ttl,
		.margin_ms = settings_int(s, S_DUTY_MARGIN),
		.renew_ms = ttl / DUTY_RENEWALS_PER_TTL,
		.retry_ms = DUTY_RETRY_MS,
		.standby_poll_ms = DUTY_POLL_TTLS * ttl,
	};

	snprintf(node, sizeof(node), "%s/%s", core_node(c),
		 core_incarnation(c));
	opts.seed = XXH3_64bits(node, strlen(node));
	snprintf(d->name, sizeof(d->name), "%s", name);
	snprintf(d->cand.key, sizeof(d->cand.key), "duty/%s", name);
	snprintf(d->cand.epoch_key, sizeof(d->cand.epoch_key), "epoch/%s",
		 name);
	d->orders = htab_new(DUTY_ORDERS_MAX, sizeof(struct duty_order));
	if (!d->orders)
		return ERR_NOMEM;
	lease_init(&d->cand.lease, &opts);
	return ERR_OK;
}

enum err duty_mod_campaign(struct core *c, const char *name)
{
	struct duties *ds = duty_state(c);
	struct duty *d;
	enum err e;

	if (!ds)
		return ERR_CLOSED;
	if (duty_find(c, name))
		return ERR_OK;
	if (ds->n == DUTY_MAX || strlen(name) >= DUTY_NAME_MAX)
		return ERR_FULL;
	d = &ds->list[ds->n];
	d->index = ds->n;
	e = duty_init(c, d, name);
	if (e == ERR_OK)
		ds->n++;
	return e;
}

static uint64_t duty_weight(const struct duty *d, const char *node)
{
	XXH64_hash_t seed = XXH3_64bits(d->name, strlen(d->name));

	return XXH3_64bits_withSeed(node, strlen(node), seed);
}

/*
 * The candidates of highest weight (rendezvous hashing) watch the key; the
 * others poll, in case those fail.
 */
static bool duty_should_watch(struct core *c, const struct duty *d)
{
	uint64_t own = duty_weight(d, core_node(c));
	int better = 0;
	size_t n;
	const struct member_view *m = member_mod_members(c, &n);

	for (size_t i = 0; i < n; i++) {
		if (m[i].state == MEMBER_ALIVE && !m[i].draining &&
		    strcmp(m[i].domain, core_domain(c)) == 0)
			better += duty_weight(d, m[i].id) > own;
	}
	return better < DUTY_WATCHERS;
}

static void duty_acquire(struct core *c, struct duty *d, uint64_t epoch,
			 int64_t deadline_ms)
{
	const struct settings *s = core_settings(c);
	const struct gate_opts opts = {
		.url = settings_str(s, S_PLATFORM_URL),
		.deadline_ms = deadline_ms,
		.connect_timeout_ms = settings_int(s, S_UP_CONNECT_TIMEOUT),
		.timeout_ms = settings_int(s, S_PLATFORM_TIMEOUT),
		.user_timeout_ms = settings_int(s, S_DUTY_MARGIN) / 2,
	};

	if (gate_open(&opts, &d->gate) != ERR_OK)
		return;
	d->epoch = epoch;
	d->phase = DUTY_READING;
	d->send_after_ms = 0;
	d->next_list_ms = 0;
	metric_add(M_DUTY_TAKEN, 1);
	log_event(EV_DUTY_TAKEN, "duty=%s epoch=%llu", d->name,
		  (unsigned long long)epoch);
}

static void duty_begin_close(struct duty *d)
{
	gate_close(d->gate);
	d->phase = DUTY_CLOSING;
	log_event(EV_DUTY_LOST, "duty=%s epoch=%llu", d->name,
		  (unsigned long long)d->epoch);
}

static void duty_finish_close(struct core *c, struct duty *d)
{
	duty_orders_take_replies(c, d);
	if (!gate_ended(d->gate))
		return;
	duty_orders_take_replies(c, d);
	duty_orders_abort(c, d);
	gate_free(d->gate);
	d->gate = NULL;
	d->phase = DUTY_NOT_HELD;
}

/* Open, extend or close the gate with the lease. */
static void duty_sync_lease(struct core *c, struct duty *d)
{
	uint64_t epoch;
	int64_t deadline_ms;
	bool held =
		lease_held(&d->cand.lease, core_now(c), &epoch, &deadline_ms);

	if (d->phase == DUTY_CLOSING)
		duty_finish_close(c, d);
	else if (d->phase == DUTY_NOT_HELD && held)
		duty_acquire(c, d, epoch, deadline_ms);
	else if (d->phase == DUTY_NOT_HELD)
		return;
	else if (!held || epoch != d->epoch || gate_ended(d->gate))
		duty_begin_close(d);
	else
		gate_extend(d->gate, deadline_ms);
}

static void duty_step(struct core *c, struct duty *d)
{
	if (d->phase == DUTY_READING)
		duty_read_intents(c, d);
	if (d->phase == DUTY_READING || d->phase == DUTY_NOT_HELD)
		return;
	duty_orders_take_replies(c, d);
	duty_orders_step(c, d);
	if (d->phase == DUTY_RESUMING && !duty_orders_resuming(d)) {
		d->phase = DUTY_READY;
		d->ready_since_ms = core_now(c);
	}
}

/* Releases the duty to the next candidate once no order is outstanding. */
static void duty_drain_step(struct duty *d)
{
	if (d->phase == DUTY_NOT_HELD)
		lease_release(&d->cand.lease);
	else if (d->phase != DUTY_CLOSING && htab_count(d->orders) == 0)
		duty_begin_close(d);
}

static void duty_tick(struct core *c, void *state, int64_t now_ms)
{
	struct duties *ds = state;
	uint64_t held = 0;

	for (int i = 0; i < ds->n; i++) {
		struct duty *d = &ds->list[i];

		lease_set_watch(&d->cand.lease, duty_should_watch(c, d));
		candidacy_step(c, &d->cand);
		duty_sync_lease(c, d);
		duty_step(c, d);
		if (ds->draining)
			duty_drain_step(d);
		held += d->phase == DUTY_READY;
	}
	metric_set(M_DUTY_HELD, held);
}

static enum err duty_start(struct core *c, void **state)
{
	const struct settings *s = core_settings(c);
	struct duties *ds;

	if (2 * settings_int(s, S_DUTY_MARGIN) > settings_int(s, S_DUTY_TTL)) {
		log_event(EV_FATAL, "[duty] margin is over half of [duty] ttl");
		return ERR_SETTINGS;
	}
	ds = calloc(1, sizeof(*ds));
	if (!ds)
		return ERR_NOMEM;
	*state = ds;
	return ERR_OK;
}

static void duty_drain(struct core *c, void *state)
{
	struct duties *ds = state;

	ds->draining = true;
}

static bool duty_idle(struct core *c, void *state)
{
	const struct duties *ds = state;

	for (int i = 0; i < ds->n; i++) {
		if (ds->list[i].phase != DUTY_NOT_HELD ||
		    !lease_ended(&ds->list[i].cand.lease))
			return false;
	}
	return true;
}

static void duty_status(struct core *c, void *state, json_t *obj)
{
	static const char *const phases[] = {
		[DUTY_NOT_HELD] = "not held",	 [DUTY_READING] = "taking over",
		[DUTY_RESUMING] = "taking over", [DUTY_READY] = "held",
		[DUTY_CLOSING] = "closing",
	};
	const struct duties *ds = state;

	for (int i = 0; i < ds->n; i++) {
		const struct duty *d = &ds->list[i];

		json_object_set_new(obj, d->name,
				    json_pack("{s:s,s:I}", "state",
					      phases[d->phase], "epoch",
					      (json_int_t)d->epoch));
	}
}

static void duty_stop(struct core *c, void *state)
{
	struct duties *ds = state;

	for (int i = 0; i < ds->n; i++) {
		gate_free(ds->list[i].gate);
		duty_orders_free(&ds->list[i]);
		htab_free(ds->list[i].orders);
	}
	free(ds);
}

const struct core_mod_ops duty_mod_ops = {
	.name = "duty",
	.start = duty_start,
	.tick = duty_tick,
	.drain = duty_drain,
	.idle = duty_idle,
	.status = duty_status,
	.stop = duty_stop,
};
