// Cached view of the platform's VM list: backend servers and entry VMs.
#pragma once

#include "core/core.h"

enum vm_kind {
	VM_ENTRY, ///< runs this daemon
	VM_ENGINE, ///< backend server: inference engine
	VM_SERVICE, ///< backend server: named service
};

enum vm_state {
	VM_STARTING,
	VM_LIVE,
	VM_LEAVING,
};

struct fleet_vm {
	char id[64];
	char addr[64]; ///< "IP:port" for HTTP; VM_ENTRY: for peers
	char domain[64];
	char service[64]; ///< name of the service, "" unless VM_SERVICE
	enum vm_kind kind;
	enum vm_state state;
	bool cheap; ///< spot VM: may be reclaimed at short notice
	int64_t first_seen_ms; ///< clock_now_ms() when this node first saw it
};

/// All known VMs. The array is valid until the next event of the loop.
///
/// @param[out] n  count
/// @return array
const struct fleet_vm *fleet_mod_vms(struct core *c, size_t *n);

/// Generation of the VM list; grows with each change.
uint64_t fleet_mod_gen(struct core *c);

/// Mark a backend server as VM_LEAVING before the VM list does, for instance
/// when the server announced it.
void fleet_mod_mark_leaving(struct core *c, const char *id);
