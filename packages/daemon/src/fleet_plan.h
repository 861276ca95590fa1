// Scales the backend servers of its failure domain, by duty `fleet/DOMAIN`.
#pragma once

#include "core/core.h"
#include "fleet/fleet.h"
#include "fleet_list.h"
#include "fleet_wire.h"

enum {
	PLAN_GROUPS_MAX = 16, ///< engines, and each service
	PLAN_PENDING_MAX = 128,
};

/// All engines, or all servers of one service.
struct plan_group {
	enum vm_kind kind;
	char service[64]; ///< "" for engines
	struct fleet fleet;
	int cheap_listed; ///< at the last step
	int cheap_stopped; ///< stopped by our orders since
};

/// An order without a reply, or a start whose server isn't in the VM list yet.
struct plan_pending {
	uint64_t seq; ///< number of the order
	int group;
	bool start; ///< else stop
	bool cheap;
	bool answered;
	char server[64]; ///< id; for a start "" until the reply names it
	int64_t expires_ms; ///< then it is given up
};

struct plan {
	struct plan_group groups[PLAN_GROUPS_MAX];
	int n_groups;
	struct plan_pending pending[PLAN_PENDING_MAX];
	int n_pending;
	int64_t next_step_ms;
	uint64_t seq; ///< of the last order
	char duty[80]; ///< "fleet/DOMAIN"
	struct fleet_list *list;
	const struct fleet_wire_ops *wire;
};

/// Scaling state of the module.
struct plan *plan_state(const struct core *c);

/// Update the demand and, as holder of the duty, send scaling orders.
void plan_tick(struct core *c, struct plan *p, int64_t now_ms);

/// Order a change of a group.
///
/// @param change  servers to start; if negative, one is stopped
void plan_order_change(struct core *c, struct plan *p, int group, bool cheap,
		       int change);

/// Whether a server belongs to a group and to this node's failure domain.
bool plan_in_group(const struct core *c, const struct plan_group *g,
		   const struct fleet_vm *vm);
