// Orders backend servers of the own failure domain, by duty `fleet/DOMAIN`.
#pragma once

#include "core/core.h"
#include "fleet/fleet.h"
#include "fleet_list.h"
#include "fleet_wire.h"

enum {
	PLAN_GROUPS = 16, ///< engines, and each plain service
	PLAN_PENDING = 128, ///< orders under way, and servers not listed yet
};

/// Servers of one kind, or of one plain service.
struct plan_group {
	enum vm_kind kind;
	char service[64]; ///< "" for engines
	struct fleet fleet;
	int cheap_seen; ///< cheap servers listed at the last step
	int cheap_stopped; ///< of them, stopped by our order since
};

/// An order without its answer, or a start whose server isn't listed yet.
struct plan_pending {
	uint64_t seq; ///< number of the order
	int group;
	bool start; ///< else stop
	bool cheap;
	bool answered;
	char server[64]; ///< id; of a start: "" until the answer names it
	int64_t until_ms; ///< then it is given up
};

struct plan {
	struct plan_group groups[PLAN_GROUPS];
	int n_groups;
	struct plan_pending pending[PLAN_PENDING];
	int n_pending;
	int64_t next_ms;
	uint64_t seq; ///< number of the last order
	char duty[80]; ///< "fleet/DOMAIN"
	struct fleet_list *list;
	const struct fleet_wire_ops *wire;
};

/// Plan of the module.
struct plan *plan_of(const struct core *c);

/// Decide and, as the holder of the duty, order.
void plan_tick(struct core *c, struct plan *p, int64_t now_ms);

/// Order changes of a group.
void plan_apply(struct core *c, struct plan *p, int group, bool cheap,
		int change);

/// Whether a server is of a group and in the own failure domain.
bool plan_in_group(const struct core *c, const struct plan_group *g,
		   const struct fleet_vm *vm);
