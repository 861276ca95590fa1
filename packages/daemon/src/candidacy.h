// A lease with the keys of the store that it is about.
#pragma once

#include "core/core.h"
#include "lease/lease.h"
#include "store_keys.h"

struct candidacy {
	struct lease lease;
	char key[STORE_KEY]; ///< stands while somebody holds the lease
	char epoch_key[STORE_KEY]; ///< fencing number
};

/// Make the store call that the lease wants next, if it wants one.
///
/// @param cand  stays in place until the process ends: its answer comes later
void candidacy_drive(struct core *c, struct candidacy *cand);
