// State of the stand-in platform; one lock over all of it.
#pragma once

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "fault.h"
#include "kv.h"
#include "orders.h"
#include "stats.h"
#include "vms.h"

struct fake_opts {
	int64_t vm_lag_ms; ///< age of the VM list that is shown
	int64_t boot_ms; ///< from a start order to live
	int64_t leave_ms; ///< from a stop order to gone
	bool fence; ///< refuse orders of an older epoch
};

struct fake {
	struct fake_opts opts;
	pthread_mutex_t lock;
	pthread_cond_t changed; ///< something that a call may wait for
	struct kv kv;
	struct vms vms;
	struct orders orders;
	struct faults faults;
	struct stats stats;
};

/// Wait for a change; the lock is held before and after.
///
/// @param f      state
/// @param until  clock_now_ms() time
/// @return false once that time has passed
bool fake_wait(struct fake *f, int64_t until);
