// Orders that the stand-in platform refuses but logs: it has no such server.
#include "orders.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/settings.h"
#include "daemon/duty_mod.h"
#include "daemon/member_mod.h"

enum {
	ORDERS_AT_ONCE = 2,
	ORDERS_IDS = 32, ///< ids are used again, to keep the store small
	ORDERS_BODY_MAX = 256,
	ORDERS_NAME_MAX = 96,
	ORDERS_URL_MAX = 320,
};

struct orders {
	char duty[ORDERS_NAME_MAX];
	bool naive;
	int open;
	uint64_t next;
};

/* The holder knows no other member. */
const struct member_view *member_mod_all(struct core *c, size_t *n)
{
	*n = 0;
	return NULL;
}

static void orders_fill(struct core *c, struct orders *o);

static size_t orders_body(struct core *c, struct orders *o, uint64_t epoch,
			  char *buf)
{
	int n = snprintf(buf, ORDERS_BODY_MAX,
			 "{\"id\":\"%s-%llu\",\"epoch\":%llu,\"domain\":\"%s\","
			 "\"op\":\"stop\",\"server\":\"none\"}",
			 core_node(c),
			 (unsigned long long)(o->next++ % ORDERS_IDS),
			 (unsigned long long)epoch, core_domain(c));

	return (size_t)n;
}

static void on_gate(struct core *c, void *ctx, enum err e, int status,
		    const char *body, size_t len)
{
	struct orders *o = ctx;

	o->open--;
	orders_fill(c, o);
}

static void on_naive(struct core *c, void *ctx,
		     const struct core_fetch_result *res)
{
	struct orders *o = ctx;

	o->open--;
	orders_fill(c, o);
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
		.on_done = on_naive,
		.ctx = o,
	};

	snprintf(url, sizeof(url), "%s/orders",
		 settings_str(s, S_PLATFORM_URL));
	return core_fetch(c, &opts, NULL);
}

static enum err orders_send(struct core *c, struct orders *o, uint64_t epoch)
{
	char body[ORDERS_BODY_MAX];
	size_t len = orders_body(c, o, epoch, body);

	if (o->naive)
		return orders_send_naive(c, o, body, len);
	return duty_mod_send(c, o->duty, "/orders", body, len, on_gate, o);
}

static void orders_fill(struct core *c, struct orders *o)
{
	uint64_t epoch;

	while (o->open < ORDERS_AT_ONCE && duty_mod_held(c, o->duty, &epoch)) {
		if (orders_send(c, o, epoch) != ERR_OK)
			return;
		o->open++;
	}
}

static enum err orders_start(struct core *c, void **state, bool naive)
{
	struct orders *o = calloc(1, sizeof(*o));

	if (!o)
		return ERR_NOMEM;
	o->naive = naive;
	snprintf(o->duty, sizeof(o->duty), "fleet/%s", core_domain(c));
	*state = o;
	return duty_mod_want(c, o->duty);
}

static enum err gate_start(struct core *c, void **state)
{
	return orders_start(c, state, false);
}

static enum err naive_start(struct core *c, void **state)
{
	return orders_start(c, state, true);
}

static enum err none_start(struct core *c, void **state)
{
	*state = NULL;
	return ERR_OK;
}

static void orders_tick(struct core *c, void *state, int64_t now_ms)
{
	orders_fill(c, state);
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
