// A lease and the store keys that it is about.
#pragma once

#include "core/core.h"
#include "lease/lease.h"
#include "store_keys.h"

struct candidacy {
	struct lease lease;
	char key[STORE_KEY_SIZE]; ///< exists while the lease is held
	char epoch_key[STORE_KEY_SIZE]; ///< key of the epoch (fencing number)
};

/// Make the next store call of the lease, if there is one now.
///
/// @param cand  must stay valid until the process ends, as answers arrive later
void candidacy_step(struct core *c, struct candidacy *cand);
