// Table of backend servers, for the files that decide on them.
#pragma once

#include "base/htab.h"
#include "base/rng.h"
#include "domains.h"
#include "server_index.h"

enum {
	DOMAINS_OUT = 64, ///< failure domains out at once
	GONE = 256, ///< servers remembered whose entry went
};

/// A start of a server whose entry went, while something of it was left to know.
struct gone {
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
	uint32_t round; ///< of the list that is being read
	char out[DOMAINS_OUT][SITE_NAME];
	int n_out;
	struct gone gone[GONE];
	uint32_t n_gone; ///< so far
	struct site_domains domains;
};
