// Internals of the server table.
#pragma once

#include "base/htab.h"
#include "base/rng.h"
#include "domains.h"
#include "server_index.h"

enum {
	REMOVED_MAX = 256, ///< removed servers remembered
	/// Up to this size a choice compares all servers.
	SITE_SMALL_SERVICE = 64,
};

/// Removed incarnation of a server that was leaving, or may still say so in a response.
struct removed {
	htab_handle self;
	char id[SITE_NAME_SIZE];
	int64_t started_ms;
	bool outage; ///< its entry vanished in a store outage
	bool leaving;
};

/// A failure domain out of service.
struct domain_out {
	char name[SITE_NAME_SIZE];
	uint32_t list_round; ///< last list that had it
};

struct site_servers {
	struct htab *tab;
	struct server_index index;
	struct rng rng;
	uint32_t list_round; ///< of the full list being read
	struct domain_out *domains_out;
	int n_domains_out;
	uint32_t domains_round; ///< of the list of them being read
	struct removed removed[REMOVED_MAX];
	uint32_t n_removed; ///< total so far; the oldest are overwritten
	struct site_domains domains;
	htab_handle limited[SITE_SERVERS_MAX]; ///< a limit was observed
	int n_limited;
};

/// Random number; the clock is mixed in so that nodes choose different servers.
static inline uint64_t site_servers_draw(struct site_servers *t, int64_t now)
{
	t->rng.state += (uint64_t)now;
	return rng_next(&t->rng);
}

/// @return server with an id, NULL if there is none
struct site_server *site_servers_find(const struct site_servers *t,
				      const char *id);
