// Key-value store with compare-and-swap and expiring leases.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/// Of a value as base64 text, that is of a megabyte of bytes.
	KV_VALUE_BYTES_MAX = 1398104,
};

struct kv_entry {
	char *key;
	char *value; ///< NULL if deleted
	uint64_t rev; ///< revision of the last change
	uint64_t lease; ///< 0 for none
};

struct kv_lease {
	uint64_t id;
	int64_t ttl_ms;
	int64_t expires_ms; ///< clock_now_ms() time
};

struct kv {
	struct kv_entry *entries; ///< with tombstones, for watches
	size_t n;
	size_t cap;
	struct kv_lease *leases;
	size_t n_leases;
	uint64_t rev; ///< of the last change
	uint64_t last_lease_id;
};

/// Entry of a key, maybe a deleted one; NULL if never written.
struct kv_entry *kv_find(const struct kv *kv, const char *key);

/// Write a key if its revision matches.
///
/// @param prev_rev  0: must not exist
/// @param lease     0 for none
/// @param[out] rev  new revision; on failure the current one, 0: absent
/// @return HTTP status: 200, 409, 410 (no such lease) or 413
int kv_put(struct kv *kv, const char *key, const char *value, uint64_t prev_rev,
	   uint64_t lease, uint64_t *rev);

/// Delete a key if its revision matches.
///
/// @param prev_rev  0 for any
/// @param[out] rev  of the key with 409, else of the store
/// @return HTTP status: 200, 404 or 409
int kv_del(struct kv *kv, const char *key, uint64_t prev_rev, uint64_t *rev);

/// Whether a key with the prefix changed after a revision.
bool kv_changed_since(const struct kv *kv, const char *prefix, uint64_t after);

/// Grant a lease; returns its id.
uint64_t kv_lease_grant(struct kv *kv, int64_t ttl_ms, int64_t now_ms);

/// Renew a lease; returns its TTL in ms, 0 if there is none.
int64_t kv_lease_renew(struct kv *kv, uint64_t id, int64_t now_ms);

/// Revoke a lease and delete its keys.
void kv_lease_revoke(struct kv *kv, uint64_t id);

/// Remove expired leases and their keys; returns whether a key was deleted.
bool kv_expire_leases(struct kv *kv, int64_t now_ms);
