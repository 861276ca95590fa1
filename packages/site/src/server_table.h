// Table of backend servers, for the files that decide on them.
#pragma once

#include "base/htab.h"
#include "base/rng.h"
#include "server_index.h"

enum {
	DOMAINS_OUT = 64, ///< failure domains out at once
};

struct site_servers {
	struct htab *tab;
	struct server_index index;
	struct rng rng; ///< draws among candidates
	uint32_t round; ///< of the list that is being read
	char out[DOMAINS_OUT][SITE_NAME];
	int n_out;
};
