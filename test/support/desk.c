// Configures the booking route and calls it.
#include "support/desk.h"

#include <stdio.h>
#include <string.h>

#include "support/ctl.h"
#include "support/http.h"

enum {
	START_TIMEOUT_MS = 30000,
	CALL_TIMEOUT_MS = 8000,
};

struct desk_node {
	const struct desk *desk;
	int node;
};

static bool desk_answers(void *ctx)
{
	const struct desk_node *n = ctx;
	struct http_opts o = {
		.method = "POST",
		.url = n->desk->urls[n->node],
		.bearer = n->desk->key,
		.body = "{\"call\":\"up\"}",
		.timeout_ms = CALL_TIMEOUT_MS,
	};
	struct http_res res;
	int status = http_call(&o, &res);

	http_free(&res);
	return status == 200;
}

bool desk_wait_ready(struct desk *d, int node)
{
	struct desk_node n = {d, node};

	return wait_until(desk_answers, &n, START_TIMEOUT_MS);
}

static bool desk_configure(const struct sys *s, struct desk *d)
{
	return CTL_RUN_OK(s, "route", "add", "desk", "--service", "desk") &&
	       CTL_RUN_OK(s, "team", "add", "depot") &&
	       ctl_grant(s, "depot", d->key, sizeof(d->key)) == 0;
}

bool desk_start(struct sys *s, const struct sys_opts *opts, struct desk *d)
{
	if (!sys_start(s, opts) || !desk_configure(s, d))
		return false;
	for (int i = 0; i < s->n_nodes; i++) {
		snprintf(d->urls[i], sizeof(d->urls[i]), "%s/v1/call/desk/book",
			 s->nodes[i].url);
		if (!desk_wait_ready(d, i))
			return false;
	}
	return true;
}

struct load *desk_start_load(const struct sys *s, const struct desk *d,
			     const char *except_domain, int calls_per_s)
{
	const char *urls[SYS_MAX_NODES];
	struct load_opts o = {
		.urls = urls,
		.bearer = d->key,
		.calls_per_s = calls_per_s,
		.timeout_ms = CALL_TIMEOUT_MS,
	};

	for (int i = 0; i < s->n_nodes; i++) {
		if (strcmp(s->nodes[i].domain, except_domain) != 0)
			urls[o.n_urls++] = d->urls[i];
	}
	return load_start(&o);
}
