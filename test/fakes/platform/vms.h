// Registered VMs and their state history, for a lagging list.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	VMS_HISTORY_MAX = 8, ///< state changes kept per VM
};

enum vms_state {
	VMS_SPARE, ///< can be started by an order; not listed
	VMS_STARTING,
	VMS_LIVE,
	VMS_LEAVING,
	VMS_GONE, ///< not listed
};

struct vms_change {
	int64_t at_ms;
	enum vms_state state;
};

struct vms_vm {
	char id[64];
	char addr[64];
	char domain[64];
	char kind[16];
	char service[64];
	bool cheap;
	int64_t transition_ms; ///< when starting becomes live or leaving gone
	struct vms_change history[VMS_HISTORY_MAX]; ///< oldest first
	size_t n_history;
};

struct vms {
	struct vms_vm *list;
	size_t n;
};

/// Register a VM or replace the one with the same id.
///
/// @param obj  body of POST /fake/vms
/// @return false for a malformed body
bool vms_register(struct vms *v, const json_t *obj, int64_t now_ms);

/// Mark a VM as gone; false if there is none.
bool vms_remove(struct vms *v, const char *id, int64_t now_ms);

/// Apply due state transitions.
void vms_advance(struct vms *v, int64_t now_ms);

/// Start a spare VM that matches an order.
///
/// @param order  body of POST /orders
/// @return its id, NULL if none matches
const char *vms_start(struct vms *v, const json_t *order, int64_t now_ms,
		      int64_t boot_ms);

/// Stop a VM; gone after leave_ms.
///
/// @return false if there is none
bool vms_stop(struct vms *v, const char *id, int64_t now_ms, int64_t leave_ms);

/// List as of a time.
///
/// @return new reference
json_t *vms_list(const struct vms *v, int64_t at_ms);
