// Handlers of the platform's API and the tests' control API.
#include "calls.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

struct call_route {
	const char *method;
	const char *path;
	bool prefix; ///< path is a prefix
	enum stat stat;
	void (*fn)(struct fake *f, struct call *c, const char *path_suffix);
};

static void call_reply(struct call *c, int status, json_t *reply)
{
	c->status = status;
	c->reply = reply;
}

static const char *call_query(struct call *c, const char *name)
{
	return MHD_lookup_connection_value(c->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

static uint64_t call_query_u64(struct call *c, const char *name)
{
	const char *s = call_query(c, name);

	return s ? strtoull(s, NULL, 10) : 0;
}

static json_int_t call_int(struct call *c, const char *name)
{
	return json_integer_value(json_object_get(c->body, name));
}

static json_t *call_item(const struct kv_entry *e)
{
	return json_pack("{s:s,s:s,s:I}", "key", e->key, "value", e->value,
			 "rev", (json_int_t)e->rev);
}

static json_t *call_rev(uint64_t rev)
{
	return json_pack("{s:I}", "rev", (json_int_t)rev);
}

/* Existing entries below a prefix that changed after a revision. */
static json_t *call_items(const struct kv *kv, const char *prefix,
			  uint64_t after)
{
	json_t *arr = json_array();

	for (size_t i = 0; i < kv->n; i++) {
		const struct kv_entry *e = &kv->entries[i];

		if (e->value && e->rev > after &&
		    strncmp(e->key, prefix, strlen(prefix)) == 0)
			json_array_append_new(arr, call_item(e));
	}
	return arr;
}

static json_t *call_deleted(const struct kv *kv, const char *prefix,
			    uint64_t after)
{
	json_t *arr = json_array();

	for (size_t i = 0; i < kv->n; i++) {
		const struct kv_entry *e = &kv->entries[i];

		if (!e->value && e->rev > after &&
		    strncmp(e->key, prefix, strlen(prefix)) == 0)
			json_array_append_new(arr, json_string(e->key));
	}
	return arr;
}

static void on_kv_get(struct fake *f, struct call *c, const char *key)
{
	const struct kv_entry *e = kv_find(&f->kv, key);

	if (!e || !e->value)
		call_reply(c, 404, call_rev(f->kv.rev));
	else
		call_reply(c, 200, call_item(e));
}

static void on_kv_list(struct fake *f, struct call *c, const char *path_suffix)
{
	const char *prefix = call_query(c, "prefix");
	json_t *items = call_items(&f->kv, prefix ? prefix : "", 0);

	call_reply(c, 200,
		   json_pack("{s:o,s:I}", "items", items, "rev",
			     (json_int_t)f->kv.rev));
}

static void on_kv_put(struct fake *f, struct call *c, const char *key)
{
	const char *value =
		json_string_value(json_object_get(c->body, "value"));
	uint64_t rev;
	int status;

	if (!value || !*key) {
		call_reply(c, 400, NULL);
		return;
	}
	status = kv_put(&f->kv, key, value, (uint64_t)call_int(c, "prev_rev"),
			(uint64_t)call_int(c, "lease"), &rev);
	call_reply(c, status, call_rev(rev));
}

static void on_kv_delete(struct fake *f, struct call *c, const char *key)
{
	uint64_t rev;
	int status = kv_del(&f->kv, key, call_query_u64(c, "prev_rev"), &rev);

	call_reply(c, status, call_rev(rev));
}

static void on_watch(struct fake *f, struct call *c, const char *path_suffix)
{
	const char *q = call_query(c, "prefix");
	const char *prefix = q ? q : "";
	uint64_t after = call_query_u64(c, "after");
	int64_t until_ms =
		clock_now_ms() + (int64_t)call_query_u64(c, "wait_ms");

	while (!kv_changed_since(&f->kv, prefix, after) &&
	       fake_wait_change(f, until_ms)) {
		/* Something changed: check again. */
	}
	call_reply(c, 200,
		   json_pack("{s:o,s:o,s:I}", "items",
			     call_items(&f->kv, prefix, after), "deleted",
			     call_deleted(&f->kv, prefix, after), "rev",
			     (json_int_t)f->kv.rev));
}

static void on_lease_grant(struct fake *f, struct call *c,
			   const char *path_suffix)
{
	json_int_t ttl = call_int(c, "ttl_ms");
	uint64_t id;

	if (ttl <= 0) {
		call_reply(c, 400, NULL);
		return;
	}
	id = kv_lease_grant(&f->kv, ttl, clock_now_ms());
	call_reply(
		c, 200,
		json_pack("{s:I,s:I}", "lease", (json_int_t)id, "ttl_ms", ttl));
}

static void on_lease_renew(struct fake *f, struct call *c,
			   const char *path_suffix)
{
	char *end;
	uint64_t id = strtoull(path_suffix, &end, 10);
	int64_t ttl = 0;

	if (strcmp(end, "/renew") == 0)
		ttl = kv_lease_renew(&f->kv, id, clock_now_ms());
	call_reply(c, ttl ? 200 : 404,
		   json_pack("{s:I}", "ttl_ms", (json_int_t)ttl));
}

static void on_lease_revoke(struct fake *f, struct call *c,
			    const char *path_suffix)
{
	kv_lease_revoke(&f->kv, strtoull(path_suffix, NULL, 10));
	call_reply(c, 200, NULL);
}

static void on_order(struct fake *f, struct call *c, const char *path_suffix)
{
	const struct orders_opts opts = {
		.now_ms = clock_now_ms(),
		.boot_ms = f->opts.boot_ms,
		.leave_ms = f->opts.leave_ms,
		.fence = f->opts.fence,
	};

	c->status =
		orders_handle(&f->orders, &f->vms, c->body, &opts, &c->reply);
}

static void on_usage(struct fake *f, struct call *c, const char *path_suffix)
{
	c->status = orders_handle_usage(&f->orders, c->body, &c->reply);
}

static void on_vms(struct fake *f, struct call *c, const char *path_suffix)
{
	json_t *list = vms_list(&f->vms, clock_now_ms() - f->opts.vm_lag_ms);

	call_reply(c, 200,
		   json_pack("{s:o,s:I}", "vms", list, "age_ms",
			     (json_int_t)f->opts.vm_lag_ms));
}

static void on_fake_vm(struct fake *f, struct call *c, const char *path_suffix)
{
	bool ok = vms_register(&f->vms, c->body, clock_now_ms());

	call_reply(c, ok ? 200 : 400, NULL);
}

static void on_fake_vm_delete(struct fake *f, struct call *c, const char *id)
{
	bool ok = vms_remove(&f->vms, id, clock_now_ms());

	call_reply(c, ok ? 200 : 404, NULL);
}

static void on_fake_fault(struct fake *f, struct call *c,
			  const char *path_suffix)
{
	call_reply(c, fault_add(&f->faults, c->body) ? 200 : 400, NULL);
}

static void on_fake_fault_clear(struct fake *f, struct call *c,
				const char *path_suffix)
{
	fault_clear(&f->faults);
	call_reply(c, 200, NULL);
}

static void on_fake_log(struct fake *f, struct call *c, const char *path_suffix)
{
	call_reply(
		c, 200,
		json_pack("{s:o}", "log",
			  orders_get_log(&f->orders, call_query(c, "domain"))));
}

static void on_fake_stats(struct fake *f, struct call *c,
			  const char *path_suffix)
{
	call_reply(c, 200, stats_json(&f->stats));
}

static const struct call_route routes[] = {
	{"GET", "/kv/", true, STAT_KV_GET, on_kv_get},
	{"GET", "/kv", false, STAT_KV_LIST, on_kv_list},
	{"PUT", "/kv/", true, STAT_KV_PUT, on_kv_put},
	{"DELETE", "/kv/", true, STAT_KV_DELETE, on_kv_delete},
	{"GET", "/watch", false, STAT_WATCH, on_watch},
	{"POST", "/lease", false, STAT_LEASE_GRANT, on_lease_grant},
	{"POST", "/lease/", true, STAT_LEASE_RENEW, on_lease_renew},
	{"DELETE", "/lease/", true, STAT_LEASE_REVOKE, on_lease_revoke},
	{"POST", "/orders", false, STAT_ORDER, on_order},
	{"POST", "/usage", false, STAT_USAGE, on_usage},
	{"GET", "/vms", false, STAT_VMS, on_vms},
	{"POST", "/fake/vms", false, STAT_FAKE, on_fake_vm},
	{"DELETE", "/fake/vms/", true, STAT_FAKE, on_fake_vm_delete},
	{"POST", "/fake/fault", false, STAT_FAKE, on_fake_fault},
	{"DELETE", "/fake/fault", false, STAT_FAKE, on_fake_fault_clear},
	{"GET", "/fake/log", false, STAT_FAKE, on_fake_log},
	{"GET", "/fake/stats", false, STAT_FAKE, on_fake_stats},
};

static const struct call_route *call_find_route(const struct call *c)
{
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		const struct call_route *r = &routes[i];

		if (strcmp(r->method, c->method) != 0)
			continue;
		if (r->prefix ? strncmp(c->path, r->path, strlen(r->path)) == 0
			      : strcmp(c->path, r->path) == 0)
			return r;
	}
	return NULL;
}

void calls_dispatch(struct fake *f, struct call *c)
{
	const struct call_route *r = call_find_route(c);

	if (!r) {
		call_reply(c, 404, NULL);
		return;
	}
	f->stats.calls[r->stat]++;
	kv_expire_leases(&f->kv, clock_now_ms());
	vms_advance(&f->vms, clock_now_ms());
	r->fn(f, c, c->path + strlen(r->path));
	pthread_cond_broadcast(&f->changed);
}
