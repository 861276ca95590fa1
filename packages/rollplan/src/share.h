// Which model counts on which server, for the files of the plan.
#pragma once

#include "rollplan/rollplan.h"

enum {
	SHARE_SERVERS_MAX = 1024, ///< servers of a service that a plan looks at
};

/// A server and what the plan thinks of it.
struct share_row {
	const struct site_server *s;
	int owner; ///< model that counts on it, -1 for none
};

/// Divide the usable servers of a service among the models.
///
/// @param[out] rows  SHARE_MAX rows, by id
/// @return count
int share_assign(const struct rollplan *p, const struct site_servers *t,
		 const char *service, struct share_row *rows);

/// @return index of a model, -1 if the plan has none of that name
int share_model_index(const struct rollplan *p, const char *model);

/// Whether what a model needs was told lately.
bool share_demand_known(const struct rollplan_model *m, int64_t now);
