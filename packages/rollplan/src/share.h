// Assignment of servers to models; internal to the plan.
#pragma once

#include "rollplan/rollplan.h"

enum {
	SHARE_SERVERS_MAX = SITE_SERVERS_MAX, ///< of a service
};

/// A server and its assignment.
struct share_row {
	const struct site_server *s;
	int owner; ///< index of the model it is assigned to, -1 for none
};

/// Assign the usable servers of a service to the models.
///
/// @param[out] rows  SHARE_SERVERS_MAX rows, sorted by server id
/// @return number of rows
int share_assign(const struct rollplan *p, const struct site_servers *t,
		 const char *service, struct share_row *rows);

/// @return index of a model, -1 if the plan has none of that name
int share_model_index(const struct rollplan *p, const char *model);

/// Whether the demand of a model is known and not older than 1.5 s.
bool share_demand_known(const struct rollplan_model *m, int64_t now);
