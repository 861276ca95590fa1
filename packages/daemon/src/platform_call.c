// The store calls of daemon/platform_mod.h, each converted to a struct kv_call.
#include "platform_call.h"

enum err kv_get(struct core *c, const char *key, struct kv_cb cb)
{
	const struct kv_call call = {.op = KV_GET, .key = key};

	return platform_begin(c, &call, cb);
}

enum err kv_list(struct core *c, const char *prefix, struct kv_cb cb)
{
	const struct kv_call call = {.op = KV_LIST, .key = prefix};

	return platform_begin(c, &call, cb);
}

enum err kv_list_after(struct core *c, const char *prefix, const char *from,
		       struct kv_cb cb)
{
	const struct kv_call call = {
		.op = KV_LIST, .key = prefix, .from = from};

	return platform_begin(c, &call, cb);
}

enum err kv_put(struct core *c, const struct kv_put_opts *opts, struct kv_cb cb)
{
	const struct kv_call call = {
		.op = KV_PUT,
		.key = opts->key,
		.value = opts->value,
		.len = opts->len,
		.rev = opts->prev_rev,
		.lease = opts->lease,
	};

	return platform_begin(c, &call, cb);
}

enum err kv_del(struct core *c, const char *key, uint64_t prev_rev,
		struct kv_cb cb)
{
	const struct kv_call call = {.op = KV_DEL, .key = key, .rev = prev_rev};

	return platform_begin(c, &call, cb);
}

enum err kv_watch(struct core *c, const char *prefix, uint64_t after,
		  int64_t wait_ms, struct kv_cb cb)
{
	const struct kv_call call = {
		.op = KV_WATCH, .key = prefix, .rev = after, .ms = wait_ms};

	return platform_begin(c, &call, cb);
}

enum err kv_watch_direct(struct core *c, const char *prefix, uint64_t after,
			 int64_t wait_ms, struct kv_cb cb)
{
	const struct kv_call call = {
		.op = KV_WATCH,
		.key = prefix,
		.rev = after,
		.ms = wait_ms,
		.urgent = true,
	};

	return platform_begin(c, &call, cb);
}

enum err kv_lease_grant(struct core *c, int64_t ttl_ms, struct kv_cb cb)
{
	const struct kv_call call = {.op = KV_GRANT, .ms = ttl_ms};

	return platform_begin(c, &call, cb);
}

enum err kv_lease_renew(struct core *c, uint64_t lease, struct kv_cb cb)
{
	const struct kv_call call = {.op = KV_RENEW, .lease = lease};

	return platform_begin(c, &call, cb);
}

enum err kv_lease_revoke(struct core *c, uint64_t lease, struct kv_cb cb)
{
	const struct kv_call call = {.op = KV_REVOKE, .lease = lease};

	return platform_begin(c, &call, cb);
}
