// Encodes store calls as HTTP requests with JSON bodies, and decodes responses.
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/url.h"
#include "platform_wire.h"

enum {
	WIRE_NUM_MAX = 24, ///< digits of a number in a URL
};

/* Concatenate base, path, percent-encoded key and tail in the arena. */
static char *wire_url(struct arena *a, const char *base, const char *path,
		      const char *key, const char *tail)
{
	const char *name = url_escape(a, key);
	size_t len = strlen(base) + strlen(path) + strlen(tail) + 1;
	char *url = name ? arena_alloc(a, len + strlen(name)) : NULL;

	if (url)
		strcpy(stpcpy(stpcpy(stpcpy(url, base), path), name), tail);
	return url;
}

static enum err wire_body(struct arena *a, json_t *obj, struct kv_wire_req *req)
{
	char *text = obj ? json_dumps(obj, JSON_COMPACT) : NULL;
	enum err e = ERR_OK;

	json_decref(obj);
	if (!text)
		return ERR_INVALID;
	req->len = strlen(text);
	req->body = arena_strndup(a, text, req->len);
	if (!req->body)
		e = ERR_NOMEM;
	free(text);
	return e;
}

static enum err put_body(const struct kv_call *call, struct arena *a,
			 struct kv_wire_req *req)
{
	json_t *obj =
		json_pack("{s:s#,s:I,s:I}", "value", call->value,
			  (int)call->len, "prev_rev", (json_int_t)call->rev,
			  "lease", (json_int_t)call->lease);

	return wire_body(a, obj, req);
}

static enum err grant_body(const struct kv_call *call, struct arena *a,
			   struct kv_wire_req *req)
{
	return wire_body(a, json_pack("{s:I}", "ttl_ms", (json_int_t)call->ms),
			 req);
}

struct json_form {
	const char *method;
	const char *path;
	enum err (*body)(const struct kv_call *call, struct arena *a,
			 struct kv_wire_req *req);
};

static const struct json_form json_forms[] = {
	[KV_GET] = {"GET", "/kv/", NULL},
	[KV_LIST] = {"GET", "/kv?prefix=", NULL},
	[KV_PUT] = {"PUT", "/kv/", put_body},
	[KV_DEL] = {"DELETE", "/kv/", NULL},
	[KV_WATCH] = {"GET", "/watch?prefix=", NULL},
	[KV_GRANT] = {"POST", "/lease", grant_body},
	[KV_RENEW] = {"POST", "/lease/", NULL},
	[KV_REVOKE] = {"DELETE", "/lease/", NULL},
};

/* Write the part of the URL after the key. */
static void url_suffix(const struct kv_call *call, char *buf, size_t len)
{
	buf[0] = '\0';
	if (call->op == KV_DEL)
		snprintf(buf, len, "?prev_rev=%llu",
			 (unsigned long long)call->rev);
	else if (call->op == KV_WATCH)
		snprintf(buf, len, "&after=%llu&wait_ms=%lld",
			 (unsigned long long)call->rev, (long long)call->ms);
	else if (call->op == KV_RENEW)
		snprintf(buf, len, "/renew");
}

static enum err json_encode(const struct kv_call *call, const char *base,
			    struct arena *a, struct kv_wire_req *req)
{
	const struct json_form *form = &json_forms[call->op];
	char id[WIRE_NUM_MAX], tail[4 * WIRE_NUM_MAX];
	const char *key = call->key ? call->key : "";

	if (call->op == KV_RENEW || call->op == KV_REVOKE) {
		snprintf(id, sizeof(id), "%llu",
			 (unsigned long long)call->lease);
		key = id;
	}
	url_suffix(call, tail, sizeof(tail));
	*req = (struct kv_wire_req){.method = form->method};
	req->url = wire_url(a, base, form->path, key, tail);
	if (!req->url)
		return ERR_NOMEM;
	return form->body ? form->body(call, a, req) : ERR_OK;
}

static enum err status_error(int status)
{
	switch (status) {
	case 200:
		return ERR_OK;
	case 400:
		return ERR_INVALID;
	case 404:
		return ERR_NOT_FOUND;
	case 409:
		return ERR_KV_CONFLICT;
	case 410:
		return ERR_KV_LEASE;
	case 413:
		return ERR_TOO_LARGE;
	default:
		return ERR_KV_UNKNOWN;
	}
}

static bool wire_item(const json_t *obj, struct arena *a, struct kv_item *item)
{
	const json_t *key = json_object_get(obj, "key");
	const json_t *value = json_object_get(obj, "value");
	const json_t *rev = json_object_get(obj, "rev");

	if (!json_is_string(key) || !json_is_string(value) ||
	    !json_is_integer(rev))
		return false;
	item->len = json_string_length(value);
	item->key = arena_strdup(a, json_string_value(key));
	item->value = arena_strndup(a, json_string_value(value), item->len);
	item->rev = (uint64_t)json_integer_value(rev);
	return item->key && item->value;
}

static bool wire_items(const json_t *arr, struct arena *a,
		       struct kv_result *res)
{
	size_t n = json_array_size(arr);
	struct kv_item *items = arena_alloc(a, (n + 1) * sizeof(*items));

	if (!json_is_array(arr) || !items)
		return false;
	for (size_t i = 0; i < n; i++) {
		if (!wire_item(json_array_get(arr, i), a, &items[i]))
			return false;
	}
	res->items = items;
	res->n_items = n;
	return true;
}

static bool wire_deleted(const json_t *arr, struct arena *a,
			 struct kv_result *res)
{
	size_t n = json_array_size(arr);
	const char **keys = arena_alloc(a, (n + 1) * sizeof(*keys));

	if (!json_is_array(arr) || !keys)
		return false;
	for (size_t i = 0; i < n; i++) {
		const char *key = json_string_value(json_array_get(arr, i));

		keys[i] = key ? arena_strdup(a, key) : NULL;
		if (!keys[i])
			return false;
	}
	res->deleted = keys;
	res->n_deleted = n;
	return true;
}

/* Read the fields that a 200 response must have. */
static bool read_content(const struct kv_call *call, const json_t *obj,
			 struct arena *a, struct kv_result *res)
{
	struct kv_item *one;

	switch (call->op) {
	case KV_GET:
		one = arena_alloc(a, sizeof(*one));
		if (!one || !wire_item(obj, a, one))
			return false;
		res->items = one;
		res->n_items = 1;
		return true;
	case KV_WATCH:
		return wire_items(json_object_get(obj, "items"), a, res) &&
		       wire_deleted(json_object_get(obj, "deleted"), a, res);
	case KV_LIST:
		return wire_items(json_object_get(obj, "items"), a, res);
	case KV_PUT:
		return res->rev > 0;
	case KV_GRANT:
		return res->lease > 0 && res->ttl_ms > 0;
	case KV_RENEW:
		return res->ttl_ms > 0;
	default:
		return true;
	}
}

static json_int_t wire_int(const json_t *obj, const char *name)
{
	return json_integer_value(json_object_get(obj, name));
}

static void json_decode(const struct kv_call *call, int status,
			const char *body, size_t len, struct arena *a,
			struct kv_result *res)
{
	json_t *obj = json_loadb(body, len, JSON_ALLOW_NUL, NULL);

	*res = (struct kv_result){
		.err = status_error(status),
		.rev = (uint64_t)wire_int(obj, "rev"),
		.lease = (uint64_t)wire_int(obj, "lease"),
		.ttl_ms = wire_int(obj, "ttl_ms"),
	};
	if (res->err == ERR_OK && !read_content(call, obj, a, res))
		*res = (struct kv_result){.err = ERR_KV_UNKNOWN};
	json_decref(obj);
}

const struct kv_wire_ops kv_wire_json = {
	.name = "json",
	.encode = json_encode,
	.decode = json_decode,
};
