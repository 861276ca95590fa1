// Recent outcomes of calls to the servers of each failure domain.
#pragma once

#include "site/conf.h"
#include "site/health.h"

enum {
	SITE_DOMAINS_MAX = 64, ///< failure domains whose outcomes are kept
};

struct site_domains {
	char names[SITE_DOMAINS_MAX][SITE_NAME];
	struct site_health health[SITE_DOMAINS_MAX];
	int n;
	int n_ejected; ///< that are left or have not been seen back since
};

/// Health of a domain.
///
/// @return health, NULL if it is not known and there is no room
struct site_health *site_domains_get(struct site_domains *d, const char *name);

/// Count those that are left, after a change of one.
void site_domains_recount(struct site_domains *d);

/// Whether a domain's servers get no calls while there are others.
bool site_domains_ejected(const struct site_domains *d, const char *name,
			  int64_t now);
