// Merges the platform's lagging VM list into what this node knows. Pure.
#pragma once

#include "daemon/fleet_mod.h"

enum {
	FLEET_VMS_MAX = 8192,
	FLEET_TOMB_MAX = 1024,
	FLEET_TOMB_MS = 60000, ///< how long a VM that left is remembered
};

struct fleet_tomb {
	char id[64];
	char addr[64];
	int64_t until_ms;
};

struct fleet_list {
	struct fleet_vm *vms;
	size_t n;
	size_t cap;
	uint64_t gen; ///< grows with each change
	int64_t as_of_ms; ///< clock_now_ms() time that the list speaks of
	struct fleet_tomb tombs[FLEET_TOMB_MAX]; ///< VMs that left
	size_t n_tombs;
};

/// Take a newer list. A VM known as leaving never comes back to life, whatever
/// an older list says; one that is listed no more is dropped.
///
/// @param next  rows; first_seen_ms is filled in here
/// @return ERR_OK or ERR_NOMEM: the old list stays
enum err fleet_list_merge(struct fleet_list *l, const struct fleet_vm *next,
			  size_t n, int64_t now_ms);

/// Take a VM as leaving before the list says so.
void fleet_list_leaving(struct fleet_list *l, const char *id, int64_t now_ms);

/// VM of an id, NULL if none is known.
struct fleet_vm *fleet_list_find(const struct fleet_list *l, const char *id);

/// Free what the list owns.
void fleet_list_free(struct fleet_list *l);
