// Outlier ejection of failure domains by the outcomes of calls to their servers.
#pragma once

#include "site/conf.h"
#include "site/health.h"

enum {
	SITE_DOMAINS_MAX = 64, ///< table capacity
};

struct site_domains {
	char names[SITE_DOMAINS_MAX][SITE_NAME_SIZE];
	struct site_health health[SITE_DOMAINS_MAX];
	int n;
	int n_ejected; ///< ejected, or not yet confirmed healthy by a probe
};

/// Get the health of a domain; a new domain is added.
///
/// @return health, NULL if the domain is new and the table is full
struct site_health *site_domains_get(struct site_domains *d, const char *name);

/// Update n_ejected after a change of a domain.
void site_domains_recount(struct site_domains *d);

/// Whether a domain is ejected, as by site_health_ejected().
bool site_domains_ejected(const struct site_domains *d, const char *name,
			  int64_t now);
