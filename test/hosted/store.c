// The platform's key-value store, usage reports and scaling calls.
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/rng.h"
#include "body.h"
#include "hosted.h"

enum {
	PERCENT_TOTAL = 100,
	WATCH_WAKE_MS = 20, ///< longest wait before leases are expired
	BASE64 = sodium_base64_VARIANT_ORIGINAL,
};

static void wait_change(struct hosted *h)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_nsec += WATCH_WAKE_MS * 1000000L;
	if (ts.tv_nsec >= 1000000000L) {
		ts.tv_nsec -= 1000000000L;
		ts.tv_sec++;
	}
	pthread_cond_timedwait(&h->changed, &h->lock, &ts);
	if (kv_expire_leases(&h->kv, clock_now_ms()))
		pthread_cond_broadcast(&h->changed);
}

void hosted_put_bytes(struct hosted *h, const char *key, const char *bytes,
		      size_t n)
{
	size_t len = sodium_base64_ENCODED_LEN(n, BASE64);
	char *bin = malloc(len);
	const struct kv_entry *e;
	uint64_t rev;

	sodium_bin2base64(bin, len, (const unsigned char *)bytes, n, BASE64);
	pthread_mutex_lock(&h->lock);
	e = kv_find(&h->kv, key);
	kv_put(&h->kv, key, bin, e && e->value ? e->rev : 0, 0, &rev);
	pthread_cond_broadcast(&h->changed);
	pthread_mutex_unlock(&h->lock);
	free(bin);
}

void hosted_put(struct hosted *h, const char *key, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	hosted_put_bytes(h, key, text, strlen(text));
	free(text);
	json_decref(value);
}

char *hosted_get_value(struct hosted *h, const char *key)
{
	const struct kv_entry *e;
	char *text = NULL;
	size_t len = 0;

	pthread_mutex_lock(&h->lock);
	e = kv_find(&h->kv, key);
	if (e && e->value) {
		text = calloc(1, strlen(e->value) + 1);
		sodium_base642bin((unsigned char *)text, strlen(e->value),
				  e->value, strlen(e->value), NULL, &len, NULL,
				  BASE64);
	}
	pthread_mutex_unlock(&h->lock);
	return text;
}

static json_t *entry_json(const struct kv_entry *e)
{
	if (!e->value)
		return json_pack("{s:s,s:I,s:b}", "key", e->key, "rev",
				 (json_int_t)e->rev, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I}", "key", e->key, "value", e->value,
			 "rev", (json_int_t)e->rev, "lease",
			 (json_int_t)e->lease);
}

static int entry_compare(const void *a, const void *b)
{
	const struct kv_entry *const *x = a;
	const struct kv_entry *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

/* Entries below a prefix: existing ones after a key, or changes after a revision. */
static json_t *entries(const struct kv *kv, const char *prefix,
		       const char *after_key, bool changes, uint64_t after)
{
	const struct kv_entry **list = calloc(kv->n + 1, sizeof(const void *));
	json_t *arr = json_array();
	size_t n = 0;

	for (size_t i = 0; i < kv->n; i++) {
		const struct kv_entry *e = &kv->entries[i];
		bool want = changes ? e->rev > after
				    : e->value && strcmp(e->key, after_key) > 0;

		if (want && strncmp(e->key, prefix, strlen(prefix)) == 0)
			list[n++] = e;
	}
	if (n)
		qsort(list, n, sizeof(const void *), entry_compare);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(arr, entry_json(list[i]));
	free(list);
	return arr;
}

static const char *query_arg(struct MHD_Connection *conn, const char *name)
{
	const char *v =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return v ? v : "";
}

/* Whether a watch is on the disturbed prefix and began before the disturbance. */
static bool is_disturbed(const char *prefix, const char *disturbed,
			 int64_t began_ms, int64_t disturbed_ms)
{
	return disturbed && began_ms <= disturbed_ms &&
	       strcmp(prefix, disturbed) == 0;
}

/* Delay the response to a watch, as set by hosted_delay_watches() or
 * hosted_mute_watches(). */
static void delay_response(struct hosted *h, const char *prefix,
			   int64_t began_ms)
{
	int64_t deadline = clock_now_ms();

	while (!h->stopping && is_disturbed(prefix, h->mute_prefix, began_ms,
					    h->mute_before_ms))
		wait_change(h);
	if (!is_disturbed(prefix, h->delay_prefix, began_ms,
			  h->delay_before_ms))
		return;
	deadline += h->delay_ms;
	while (!h->stopping && clock_now_ms() < deadline)
		wait_change(h);
}

void hosted_relist_held(struct hosted *h, const char *prefix)
{
	pthread_mutex_lock(&h->lock);
	h->page_prefix = prefix;
	h->hold_page = prefix;
	h->forget_prefix = prefix;
	h->forget_before_ms = clock_now_ms();
	pthread_cond_broadcast(&h->changed);
	pthread_mutex_unlock(&h->lock);
}

void hosted_relist_release(struct hosted *h)
{
	pthread_mutex_lock(&h->lock);
	h->page_prefix = NULL;
	h->hold_page = NULL;
	h->forget_prefix = NULL;
	pthread_cond_broadcast(&h->changed);
	pthread_mutex_unlock(&h->lock);
}

static json_t *watch(struct hosted *h, struct MHD_Connection *conn, int *status)
{
	const char *prefix = query_arg(conn, "prefix");
	uint64_t after = strtoull(query_arg(conn, "after"), NULL, 10);
	int64_t began = clock_now_ms();
	int64_t deadline = began + atoi(query_arg(conn, "wait_ms"));
	json_t *reply;

	while (!h->stopping && clock_now_ms() < deadline &&
	       !kv_changed_since(&h->kv, prefix, after) &&
	       !is_disturbed(prefix, h->forget_prefix, began,
			     h->forget_before_ms))
		wait_change(h);
	if (is_disturbed(prefix, h->forget_prefix, began,
			 h->forget_before_ms)) {
		*status = 410;
		return json_object();
	}
	reply = json_pack("{s:o,s:I}", "events",
			  entries(&h->kv, prefix, "", true, after), "at",
			  (json_int_t)h->kv.rev);
	delay_response(h, prefix, began);
	return reply;
}

static json_t *txn(struct hosted *h, const char *body, int *status)
{
	json_t *obj = json_loads(body ? body : "", 0, NULL);
	const json_t *put = json_array_get(json_object_get(obj, "puts"), 0);
	const json_t *exp = json_array_get(json_object_get(obj, "expected"), 0);
	const char *key = json_string_value(json_object_get(exp, "key"));
	uint64_t prev =
		(uint64_t)json_integer_value(json_object_get(exp, "rev"));
	uint64_t rev = 0;

	if (put)
		*status = kv_put(
			&h->kv, key,
			json_string_value(json_object_get(put, "value")), prev,
			(uint64_t)json_integer_value(
				json_object_get(put, "lease")),
			&rev);
	else
		*status = kv_del(&h->kv, key, prev, &rev);
	if (*status == 409)
		*status = 412;
	if (*status == 410)
		*status = 404;
	pthread_cond_broadcast(&h->changed);
	json_decref(obj);
	return json_pack("{s:I}", "rev", (json_int_t)rev);
}

static json_t *lease_call(struct hosted *h, const char *url, const char *body,
			  int *status)
{
	uint64_t id = strtoull(strrchr(url, '/') + 1, NULL, 10);
	json_t *obj;
	int64_t ttl;

	if (strcmp(url, "/catkinpath/kv-lease") == 0) {
		obj = json_loads(body, 0, NULL);
		ttl = json_integer_value(json_object_get(obj, "ttl_ms"));
		json_decref(obj);
		return json_pack(
			"{s:I,s:I}", "lease",
			(json_int_t)kv_lease_grant(&h->kv, ttl, clock_now_ms()),
			"ttl_ms", (json_int_t)ttl);
	}
	if (strstr(url, "/kv-lease-end/")) {
		kv_lease_revoke(&h->kv, id);
		pthread_cond_broadcast(&h->changed);
		return json_object();
	}
	ttl = kv_lease_renew(&h->kv, id, clock_now_ms());
	*status = ttl ? 200 : 404;
	return json_pack("{s:I}", "ttl_ms", (json_int_t)ttl);
}

/* Reports are idempotent; different counts for a window are a conflict. */
static json_t *record_usage(struct hosted *h, const char *body)
{
	json_t *obj = json_loads(body ? body : "", 0, NULL);
	json_t *counts = json_object_get(obj, "counts");
	char window[32];
	json_t *previous;

	snprintf(window, sizeof(window), "%lld",
		 (long long)json_integer_value(
			 json_object_get(obj, "window_id")));
	previous = json_object_get(h->reports, window);
	if (previous && !json_equal(previous, counts))
		h->usage_conflicts++;
	else if (!previous)
		json_object_set(h->reports, window, counts);
	json_decref(obj);
	return json_object();
}

static json_t *record_scaling(struct hosted *h, const char *body)
{
	json_t *obj = json_loads(body ? body : "", 0, NULL);
	char name[128];

	snprintf(name, sizeof(name), "%s/%s",
		 json_string_value(json_object_get(obj, "service")),
		 json_string_value(json_object_get(obj, "zone")));
	json_object_set(h->ordered_sizes, name,
			json_object_get(obj, "target_groups"));
	json_decref(obj);
	return json_object();
}

/* Whether a call writes a key below a prefix. */
static bool writes_below(const char *url, const char *body, const char *prefix)
{
	json_t *obj = json_loads(body ? body : "", 0, NULL);
	const json_t *exp = json_array_get(json_object_get(obj, "expected"), 0);
	const char *key = json_string_value(json_object_get(exp, "key"));
	bool below = strcmp(url, "/catkinpath/kv-txn") == 0 && key &&
		     strncmp(key, prefix, strlen(prefix)) == 0;

	json_decref(obj);
	return below;
}

/* Whether to drop the response to a completed call. */
static bool drops_response(struct hosted *h, const char *url, const char *body)
{
	struct rng r = {h->store_loss_seed};
	bool dropped =
		(int)rng_below(&r, PERCENT_TOTAL) < h->store_loss_percent;

	h->store_loss_seed = r.state;
	if (h->lose_write && writes_below(url, body, h->lose_write)) {
		h->lose_write = NULL;
		return true;
	}
	return dropped;
}

static bool is_below(const char *key, const char *prefix)
{
	return prefix && strncmp(key, prefix, strlen(prefix)) == 0;
}

/* Whether a read has to wait: see hold_key and hold_page. */
static bool is_held(const struct hosted *h, struct MHD_Connection *conn,
		    const char *url)
{
	if (strcmp(url, "/catkinpath/kv-range") == 0)
		return *query_arg(conn, "after") &&
		       is_below(query_arg(conn, "prefix"), h->hold_page);
	return strcmp(url, "/catkinpath/kv-key") == 0 &&
	       is_below(query_arg(conn, "key"), h->hold_key);
}

static void wait_while_held(struct hosted *h, struct MHD_Connection *conn,
			    const char *url)
{
	if (!is_held(h, conn, url))
		return;
	h->n_held++;
	while (!h->stopping && is_held(h, conn, url))
		wait_change(h);
	h->n_held--;
}

static json_t *list_page(struct hosted *h, struct MHD_Connection *conn)
{
	const char *prefix = query_arg(conn, "prefix");
	json_t *items =
		entries(&h->kv, prefix, query_arg(conn, "after"), false, 0);
	bool more =
		is_below(prefix, h->page_prefix) && json_array_size(items) > 1;

	while (more && json_array_size(items) > 1)
		json_array_remove(items, 1);
	return json_pack("{s:o,s:b,s:I}", "items", items, "has_more", more,
			 "at", (json_int_t)h->kv.rev);
}

static json_t *run_call(struct hosted *h, struct MHD_Connection *conn,
			const char *url, const char *body, int *status)
{
	const struct kv_entry *e;

	kv_expire_leases(&h->kv, clock_now_ms());
	*status = 200;
	if (strcmp(url, "/catkinpath/kv-watch") == 0)
		return watch(h, conn, status);
	if (strcmp(url, "/catkinpath/kv-txn") == 0)
		return txn(h, body, status);
	if (strcmp(url, "/usage-reports") == 0)
		return record_usage(h, body);
	if (strcmp(url, "/scale") == 0)
		return record_scaling(h, body);
	if (strcmp(url, "/catkinpath/kv-range") == 0)
		return list_page(h, conn);
	if (strcmp(url, "/catkinpath/kv-key") != 0)
		return lease_call(h, url, body, status);
	e = kv_find(&h->kv, query_arg(conn, "key"));
	if (e && e->value)
		return entry_json(e);
	*status = 404;
	return json_object();
}

static enum MHD_Result on_call(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *data,
			       size_t *len, void **state)
{
	struct hosted *h = ctx;
	struct body *b;
	json_t *reply;
	int status;
	char *text;
	enum MHD_Result ok;
	bool dropped;

	if (!body_receive(state, data, len, &b))
		return MHD_NO;
	if (!b)
		return MHD_YES;
	pthread_mutex_lock(&h->lock);
	wait_while_held(h, conn, url);
	if (h->down_on_read && strcmp(url, "/catkinpath/kv-key") == 0 &&
	    strncmp(query_arg(conn, "key"), h->down_on_read,
		    strlen(h->down_on_read)) == 0) {
		h->down_on_read = NULL;
		h->store_down = 1;
	}
	while (h->store_down == 2 && !h->stopping)
		wait_change(h);
	if (h->store_down || h->stopping) {
		pthread_mutex_unlock(&h->lock);
		return body_respond(conn, 503, "", NULL);
	}
	reply = run_call(h, conn, url, b->data, &status);
	dropped = drops_response(h, url, b->data);
	pthread_mutex_unlock(&h->lock);
	text = json_dumps(reply, JSON_COMPACT);
	ok = dropped ? MHD_NO : body_respond(conn, status, text, NULL);
	free(text);
	json_decref(reply);
	return ok;
}

bool hosted_store_start(struct hosted *h)
{
	h->store = body_serve(h->ip, HOSTED_STORE_PORT, on_call, h);
	return h->store != NULL;
}
