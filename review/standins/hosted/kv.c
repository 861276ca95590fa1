// Entries in insertion order, found by a linear scan: only for small stores.
#include "kv.h"

#include <stdlib.h>
#include <string.h>

struct kv_entry *kv_find(const struct kv *kv, const char *key)
{
	for (size_t i = 0; i < kv->n; i++) {
		if (strcmp(kv->entries[i].key, key) == 0)
			return &kv->entries[i];
	}
	return NULL;
}

static const struct kv_lease *kv_lease_find(const struct kv *kv, uint64_t id)
{
	for (size_t i = 0; i < kv->n_leases; i++) {
		if (kv->leases[i].id == id)
			return &kv->leases[i];
	}
	return NULL;
}

static struct kv_entry *kv_append(struct kv *kv, const char *key)
{
	struct kv_entry *e;

	if (kv->n == kv->cap) {
		kv->cap = kv->cap ? 2 * kv->cap : 64;
		kv->entries = reallocarray(kv->entries, kv->cap, sizeof(*e));
		if (!kv->entries)
			abort();
	}
	e = &kv->entries[kv->n++];
	*e = (struct kv_entry){.key = strdup(key)};
	return e;
}

int kv_put(struct kv *kv, const char *key, const char *value, uint64_t prev_rev,
	   uint64_t lease, uint64_t *rev)
{
	struct kv_entry *e = kv_find(kv, key);
	uint64_t cur_rev = e && e->value ? e->rev : 0;

	*rev = cur_rev;
	if (strlen(value) > KV_VALUE_BYTES_MAX)
		return 413;
	if (lease && !kv_lease_find(kv, lease))
		return 410;
	if (cur_rev != prev_rev)
		return 409;
	if (!e)
		e = kv_append(kv, key);
	free(e->value);
	e->value = strdup(value);
	e->lease = lease;
	e->rev = ++kv->rev;
	*rev = e->rev;
	return 200;
}

static void kv_delete_entry(struct kv *kv, struct kv_entry *e)
{
	free(e->value);
	e->value = NULL;
	e->lease = 0;
	e->rev = ++kv->rev;
}

int kv_del(struct kv *kv, const char *key, uint64_t prev_rev, uint64_t *rev)
{
	struct kv_entry *e = kv_find(kv, key);

	*rev = kv->rev;
	if (!e || !e->value)
		return 404;
	*rev = e->rev;
	if (prev_rev && prev_rev != e->rev)
		return 409;
	kv_delete_entry(kv, e);
	*rev = kv->rev;
	return 200;
}

bool kv_changed_since(const struct kv *kv, const char *prefix, uint64_t after)
{
	size_t len = strlen(prefix);

	for (size_t i = 0; i < kv->n; i++) {
		const struct kv_entry *e = &kv->entries[i];

		if (e->rev > after && strncmp(e->key, prefix, len) == 0)
			return true;
	}
	return false;
}

uint64_t kv_lease_grant(struct kv *kv, int64_t ttl_ms, int64_t now_ms)
{
	struct kv_lease *l;

	kv->leases = reallocarray(kv->leases, kv->n_leases + 1, sizeof(*l));
	if (!kv->leases)
		abort();
	l = &kv->leases[kv->n_leases++];
	l->id = ++kv->last_lease_id;
	l->ttl_ms = ttl_ms;
	l->expires_ms = now_ms + ttl_ms;
	return l->id;
}

int64_t kv_lease_renew(struct kv *kv, uint64_t id, int64_t now_ms)
{
	for (size_t i = 0; i < kv->n_leases; i++) {
		struct kv_lease *l = &kv->leases[i];

		if (l->id != id)
			continue;
		l->expires_ms = now_ms + l->ttl_ms;
		return l->ttl_ms;
	}
	return 0;
}

/* Delete the keys of a lease; true if there were any. */
static bool kv_lease_delete_keys(struct kv *kv, uint64_t id)
{
	bool any = false;

	for (size_t i = 0; i < kv->n; i++) {
		if (kv->entries[i].lease != id)
			continue;
		kv_delete_entry(kv, &kv->entries[i]);
		any = true;
	}
	return any;
}

void kv_lease_revoke(struct kv *kv, uint64_t id)
{
	for (size_t i = 0; i < kv->n_leases; i++) {
		if (kv->leases[i].id != id)
			continue;
		kv->leases[i] = kv->leases[--kv->n_leases];
		kv_lease_delete_keys(kv, id);
		return;
	}
}

bool kv_expire_leases(struct kv *kv, int64_t now_ms)
{
	bool any = false;

	for (size_t i = kv->n_leases; i-- > 0;) {
		uint64_t id = kv->leases[i].id;

		if (kv->leases[i].expires_ms > now_ms)
			continue;
		kv->leases[i] = kv->leases[--kv->n_leases];
		any |= kv_lease_delete_keys(kv, id);
	}
	return any;
}
