// Backend servers and entry VMs as the platform's VM list shows them.
#pragma once

#include "core/core.h"

enum vm_kind {
	VM_ENTRY,
	VM_ENGINE,
	VM_SERVICE,
};

enum vm_state {
	VM_STARTING,
	VM_LIVE,
	VM_LEAVING,
};

struct fleet_vm {
	char id[64];
	char addr
		[64]; ///< "IP:port" of its HTTP port; of the peer port for VM_ENTRY
	char domain[64];
	char service[64]; ///< of a VM_SERVICE: the service's name, else ""
	enum vm_kind kind;
	enum vm_state state;
	bool cheap; ///< may be reclaimed at short notice
	int64_t first_seen_ms; ///< clock_now_ms() when this node first saw it
};

/// All known VMs; stable until the next event.
///
/// @param[out] n  count
/// @return array
const struct fleet_vm *fleet_mod_vms(struct core *c, size_t *n);

/// Number that changes whenever the list does.
uint64_t fleet_mod_gen(struct core *c);

/// Take a backend server as leaving before the list says so, for instance when
/// it said so itself.
void fleet_mod_leaving(struct core *c, const char *id);
