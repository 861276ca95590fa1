// VMs as registered, and as the lagging list shows them.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	VMS_HIST = 8, ///< state changes kept for the lagging list
};

enum vms_state {
	VMS_SPARE, ///< a start order may bring it up; not listed
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
	int64_t next_ms; ///< when starting turns live, or leaving turns gone
	struct vms_change hist[VMS_HIST]; ///< oldest first
	size_t n_hist;
};

struct vms {
	struct vms_vm *list;
	size_t n;
};

/// Register a VM or replace the one of the same id.
///
/// @param obj  body of POST /fake/vms
/// @return false for a malformed body
bool vms_register(struct vms *v, const json_t *obj, int64_t now_ms);

/// Forget a VM: it is gone from now on.
bool vms_remove(struct vms *v, const char *id, int64_t now_ms);

/// Move VMs whose time has come.
void vms_advance(struct vms *v, int64_t now_ms);

/// Begin to start a spare VM.
///
/// @param order  body of POST /orders
/// @return its id, NULL if none fits
const char *vms_start(struct vms *v, const json_t *order, int64_t now_ms,
		      int64_t boot_ms);

/// Begin to stop a VM.
///
/// @return false if there is none of that id
bool vms_stop(struct vms *v, const char *id, int64_t now_ms, int64_t leave_ms);

/// The list as it was at a time.
///
/// @return new reference
json_t *vms_list(const struct vms *v, int64_t at_ms);
