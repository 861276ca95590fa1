// Table of backend servers, for the files that decide on them.
#pragma once

#include "base/htab.h"
#include "base/rng.h"
#include "domains.h"
#include "server_index.h"

enum {
	DOMAINS_OUT_MAX = 64, ///< failure domains out at once
	REMOVED_MAX = 256, ///< servers remembered whose entry went
	SITE_SMALL_SERVICE =
		64, ///< services up to here are compared as a whole
};

/// A start of a server whose entry went, while something of it was left to know.
struct removed {
	htab_handle self;
	char id[SITE_NAME];
	int64_t started_ms;
	bool outage; ///< it went as all entries do while the store is away
	bool leaving;
};

struct site_servers {
	struct htab *tab;
	struct server_index index;
	struct rng rng; ///< draws among candidates
	uint32_t list_round; ///< of the list that is being read
	char domains_out[DOMAINS_OUT_MAX][SITE_NAME];
	int n_domains_out;
	struct removed removed[REMOVED_MAX];
	uint32_t n_removed; ///< so far
	struct site_domains domains;
};

/// Draw among candidates. Nodes must not draw the same servers: their clocks differ.
static inline uint64_t site_servers_draw(struct site_servers *t, int64_t now)
{
	t->rng.state += (uint64_t)now;
	return rng_next(&t->rng);
}

/// @return server of an id, NULL if it is not known
struct site_server *site_servers_find(const struct site_servers *t,
				      const char *id);
