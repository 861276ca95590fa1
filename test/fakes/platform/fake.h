// State of the fake platform, guarded by one lock.
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
	int64_t vm_lag_ms; ///< age of the reported VM list
	int64_t boot_ms; ///< from a start order to live
	int64_t leave_ms; ///< from a stop order to gone
	bool fence; ///< reject orders of an older epoch
};

struct fake {
	struct fake_opts opts;
	pthread_mutex_t lock;
	pthread_cond_t changed; ///< signalled by requests and lease expiry
	struct kv kv;
	struct vms vms;
	struct orders orders;
	struct faults faults;
	struct stats stats;
};

/// Wait for a change; the lock is held before and after.
///
/// @param f         state
/// @param until_ms  deadline, clock_now_ms() time
/// @return false once the deadline has passed
bool fake_wait_change(struct fake *f, int64_t until_ms);
