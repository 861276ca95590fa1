// Merges the platform's VM lists, which may lag, with what this node knows.
// Pure.
#pragma once

#include "daemon/fleet_mod.h"

enum {
	FLEET_VMS_MAX = 8192,
	FLEET_TOMBSTONES_MAX = 1024, ///< more are not recorded
	FLEET_TOMBSTONE_TTL_MS = 60000,
};

/// A VM that left; a lagging list may still show it.
struct fleet_tombstone {
	char id[64];
	char addr[64];
	int64_t expires_ms;
};

struct fleet_list {
	struct fleet_vm *vms;
	size_t n;
	size_t cap;
	uint64_t gen; ///< grows with each change
	int64_t as_of_ms; ///< clock_now_ms() time of the listed state
	struct fleet_tombstone tombstones[FLEET_TOMBSTONES_MAX];
	size_t n_tombstones;
};

/// Merge a new list. A VM known as leaving stays so even if a lagging list
/// shows it as live; a VM that is no longer listed is removed.
///
/// @param next  rows; first_seen_ms is ignored
/// @return ERR_OK, or ERR_NOMEM: the old list is kept
enum err fleet_list_merge(struct fleet_list *l, const struct fleet_vm *next,
			  size_t n, int64_t now_ms);

/// Mark a VM as leaving before the list shows it.
void fleet_list_mark_leaving(struct fleet_list *l, const char *id,
			     int64_t now_ms);

/// VM with this id, NULL if unknown.
struct fleet_vm *fleet_list_find(const struct fleet_list *l, const char *id);

/// Free what the list owns.
void fleet_list_free(struct fleet_list *l);
