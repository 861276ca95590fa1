// Key-value store with compare-and-swap, and leases that take keys away.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	KV_VALUE_MAX = 1 << 20, ///< bytes
};

struct kv_entry {
	char *key;
	char *value; ///< NULL once deleted
	uint64_t rev; ///< revision of the last change
	uint64_t lease; ///< 0 for none
};

struct kv_lease {
	uint64_t id;
	int64_t ttl_ms;
	int64_t expires_ms; ///< clock_now_ms() time
};

struct kv {
	struct kv_entry *entries; ///< deleted ones stay, for watches
	size_t n;
	size_t cap;
	struct kv_lease *leases;
	size_t n_leases;
	uint64_t rev;
	uint64_t last_lease;
};

/// Entry of a key, also a deleted one; NULL if there never was one.
struct kv_entry *kv_find(const struct kv *kv, const char *key);

/// Write if the revision matches.
///
/// @param prev_rev  0: must not exist
/// @param lease     0 for none
/// @param[out] rev  new revision, or that of the conflicting entry
/// @return HTTP status: 200, 409, 410 or 413
int kv_put(struct kv *kv, const char *key, const char *value, uint64_t prev_rev,
	   uint64_t lease, uint64_t *rev);

/// Delete if the revision matches; 0 matches any.
///
/// @return HTTP status: 200, 404 or 409
int kv_del(struct kv *kv, const char *key, uint64_t prev_rev, uint64_t *rev);

/// Whether something below a prefix changed after a revision.
bool kv_changed(const struct kv *kv, const char *prefix, uint64_t after);

/// Grant a lease.
uint64_t kv_lease_grant(struct kv *kv, int64_t ttl_ms, int64_t now_ms);

/// Renew a lease.
///
/// @return its time to live, 0 if it is gone
int64_t kv_lease_renew(struct kv *kv, uint64_t id, int64_t now_ms);

/// End a lease; its keys go.
void kv_lease_revoke(struct kv *kv, uint64_t id);

/// End the leases that ran out.
///
/// @return whether a key went with them
bool kv_expire(struct kv *kv, int64_t now_ms);
