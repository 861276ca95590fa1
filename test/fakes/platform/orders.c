// Handles orders, idempotent by id, and usage reports, idempotent by window.
#include "orders.h"

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "vms.h"

void orders_init(struct orders *o)
{
	o->replies = json_object();
	o->windows = json_object();
	o->epochs = json_object();
	o->log = json_array();
}

static void orders_append_log(struct orders *o, const char *kind,
			      const json_t *body, int status)
{
	json_t *row = json_deep_copy(body);

	json_object_set_new(row, "t_us", json_integer(clock_now_us()));
	json_object_set_new(row, "kind", json_string(kind));
	json_object_set_new(row, "status", json_integer(status));
	if (json_object_get(body, "kind"))
		json_object_set(row, "server_kind",
				json_object_get(body, "kind"));
	json_array_append_new(o->log, row);
}

/* Whether an order's epoch is below its domain's highest; records a higher one. */
static bool orders_epoch_stale(struct orders *o, const json_t *body)
{
	const char *domain = json_string_value(json_object_get(body, "domain"));
	json_int_t epoch = json_integer_value(json_object_get(body, "epoch"));
	json_t *seen = json_object_get(o->epochs, domain);

	if (epoch < json_integer_value(seen))
		return true;
	json_object_set_new(o->epochs, domain, json_integer(epoch));
	return false;
}

static const char *orders_execute(struct vms *v, const json_t *body,
				  const struct orders_opts *opts)
{
	const char *op = json_string_value(json_object_get(body, "op"));
	const char *id = json_string_value(json_object_get(body, "server"));

	if (strcmp(op, "start") == 0)
		return vms_start(v, body, opts->now_ms, opts->boot_ms);
	if (!id || !vms_stop(v, id, opts->now_ms, opts->leave_ms))
		return NULL;
	return id;
}

static int orders_apply(struct orders *o, struct vms *v, const json_t *body,
			const struct orders_opts *opts, json_t **reply)
{
	const char *id = json_string_value(json_object_get(body, "id"));
	json_t *old = json_object_get(o->replies, id);
	const char *server;

	if (old) {
		*reply = json_incref(old);
		return 200;
	}
	if (orders_epoch_stale(o, body) && opts->fence) {
		*reply = json_pack("{s:s}", "error", "old epoch");
		return 409;
	}
	server = orders_execute(v, body, opts);
	if (!server) {
		*reply = json_pack("{s:s}", "error", "no such server");
		return 503;
	}
	*reply = json_pack("{s:s}", "server", server);
	json_object_set(o->replies, id, *reply);
	return 200;
}

int orders_handle(struct orders *o, struct vms *v, const json_t *body,
		  const struct orders_opts *opts, json_t **reply)
{
	const char *id, *domain, *op;
	int status = 400;

	if (json_unpack((json_t *)body, "{s:s,s:s,s:s}", "id", &id, "domain",
			&domain, "op", &op) == 0 &&
	    (strcmp(op, "start") == 0 || strcmp(op, "stop") == 0))
		status = orders_apply(o, v, body, opts, reply);
	orders_append_log(o, "order", body, status);
	return status;
}

int orders_handle_usage(struct orders *o, const json_t *body, json_t **reply)
{
	json_t *figures = json_object_get(body, "figures");
	json_t *window = json_object_get(body, "window");
	char key[32];
	json_t *old;
	int status = 200;

	snprintf(key, sizeof(key), "%lld",
		 (long long)json_integer_value(window));
	old = json_object_get(o->windows, key);
	if (!json_is_integer(window) || !json_is_object(figures))
		status = 400;
	else if (old && !json_equal(old, figures))
		status = 409;
	else
		json_object_set(o->windows, key, figures);
	orders_append_log(o, "usage", body, status);
	*reply = json_pack("{s:b}", "accepted", status == 200);
	return status;
}

json_t *orders_get_log(const struct orders *o, const char *domain)
{
	json_t *arr = json_array();
	json_t *row;
	size_t i;

	json_array_foreach(o->log, i, row) {
		const char *d =
			json_string_value(json_object_get(row, "domain"));

		if (!domain || (d && strcmp(d, domain) == 0))
			json_array_append(arr, row);
	}
	return arr;
}
