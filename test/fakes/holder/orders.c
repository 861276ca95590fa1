// Sends orders that the fake platform logs but rejects: no such server.
#include "orders.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/settings.h"
#include "daemon/duty_mod.h"
#include "daemon/member_mod.h"

enum {
	ORDERS_IN_FLIGHT_MAX = 2,
	ORDERS_ID_COUNT = 32, ///< ids are reused to keep the store small
	ORDERS_BODY_MAX = 256,
	ORDERS_NAME_MAX = 96,
	ORDERS_URL_MAX = 320,
};

enum orders_mode {
	ORDERS_GATE, ///< orders, with duty_mod_send()
	ORDERS_REPORT, ///< usage reports, with duty_mod_send()
	ORDERS_NAIVE, ///< orders, sent directly after a lease check
};

struct orders {
	char duty[ORDERS_NAME_MAX];
	enum orders_mode mode;
	int in_flight;
	uint64_t next_id;
};

static void orders_send_more(struct core *c, struct orders *o);

static size_t orders_report(struct core *c, struct orders *o, uint64_t epoch,
			    char *buf)
{
	int n = snprintf(buf, ORDERS_BODY_MAX,
			 "{\"window\":%llu,\"epoch\":%llu,"
			 "\"domain\":\"%s\",\"figures\":{}}",
			 (unsigned long long)(o->next_id++ % ORDERS_ID_COUNT),
			 (unsigned long long)epoch, core_domain(c));

	return (size_t)n;
}

static size_t orders_body(struct core *c, struct orders *o, uint64_t epoch,
			  char *buf)
{
	int n = snprintf(buf, ORDERS_BODY_MAX,
			 "{\"id\":\"%s-%llu\",\"epoch\":%llu,\"domain\":\"%s\","
			 "\"op\":\"stop\",\"server\":\"none\"}",
			 core_node(c),
			 (unsigned long long)(o->next_id++ % ORDERS_ID_COUNT),
			 (unsigned long long)epoch, core_domain(c));

	return (size_t)n;
}

static void on_duty_reply(struct core *c, void *ctx, enum err e, int status,
			  const char *body, size_t len)
{
	struct orders *o = ctx;

	o->in_flight--;
	orders_send_more(c, o);
}

static void on_fetch_done(struct core *c, void *ctx,
			  const struct core_fetch_result *res)
{
	struct orders *o = ctx;

	o->in_flight--;
	orders_send_more(c, o);
}

static enum err orders_send_naive(struct core *c, struct orders *o,
				  const char *body, size_t len)
{
	char url[ORDERS_URL_MAX];
	const struct settings *s = core_settings(c);
	const struct core_fetch_opts opts = {
		.method = "POST",
		.url = url,
		.body = body,
		.body_len = len,
		.timeout_ms = settings_int(s, S_PLATFORM_TIMEOUT),
		.on_done = on_fetch_done,
		.ctx = o,
	};

	snprintf(url, sizeof(url), "%s/orders",
		 settings_str(s, S_PLATFORM_URL));
	return core_fetch(c, &opts, NULL);
}

static enum err orders_send(struct core *c, struct orders *o, uint64_t epoch)
{
	char body[ORDERS_BODY_MAX];
	bool report = o->mode == ORDERS_REPORT;
	size_t len = report ? orders_report(c, o, epoch, body)
			    : orders_body(c, o, epoch, body);

	if (o->mode == ORDERS_NAIVE)
		return orders_send_naive(c, o, body, len);
	return duty_mod_send(c, o->duty, report ? "/usage" : "/orders", body,
			     len, on_duty_reply, o);
}

static void orders_send_more(struct core *c, struct orders *o)
{
	uint64_t epoch;

	while (o->in_flight < ORDERS_IN_FLIGHT_MAX &&
	       duty_mod_held(c, o->duty, &epoch)) {
		if (orders_send(c, o, epoch) != ERR_OK)
			return;
		o->in_flight++;
	}
}

static enum err orders_start(struct core *c, void **state,
			     enum orders_mode mode)
{
	struct orders *o = calloc(1, sizeof(*o));

	if (!o)
		return ERR_NOMEM;
	o->mode = mode;
	snprintf(o->duty, sizeof(o->duty), "%s/%s",
		 mode == ORDERS_REPORT ? "usage" : "fleet", core_domain(c));
	*state = o;
	return duty_mod_campaign(c, o->duty);
}

static enum err gate_start(struct core *c, void **state)
{
	return orders_start(c, state, ORDERS_GATE);
}

static enum err report_start(struct core *c, void **state)
{
	return orders_start(c, state, ORDERS_REPORT);
}

static enum err naive_start(struct core *c, void **state)
{
	return orders_start(c, state, ORDERS_NAIVE);
}

static enum err none_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

static void orders_tick(struct core *c, void *state, int64_t now_ms)
{
	orders_send_more(c, state);
}

static void orders_stop(struct core *c, void *state)
{
	free(state);
}

const struct core_mod_ops orders_gate_ops = {
	.name = "orders",
	.start = gate_start,
	.tick = orders_tick,
	.stop = orders_stop,
};

const struct core_mod_ops orders_report_ops = {
	.name = "orders",
	.start = report_start,
	.tick = orders_tick,
	.stop = orders_stop,
};

const struct core_mod_ops orders_naive_ops = {
	.name = "orders",
	.start = naive_start,
	.tick = orders_tick,
	.stop = orders_stop,
};

const struct core_mod_ops orders_none_ops = {
	.name = "none",
	.start = none_start,
};
