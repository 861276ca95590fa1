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
	int64_t boot_ms; ///< time from a start order until the VM is live
	int64_t leave_ms; ///< time from a stop order until the VM is gone
	bool fence; ///< reject orders of an older epoch
};

struct fake {
	struct fake_opts opts;
	pthread_mutex_t lock;
	pthread_cond_t
		changed; ///< signalled after each request and lease expiry
	struct kv kv;
	struct vms vms;
	struct orders orders;
	struct faults faults;
	struct stats stats;
};

/// Wait for a change or a deadline. The caller holds the lock, which is released
/// while waiting.
///
/// @param f      state
/// @param until  deadline, clock_now_ms() time
/// @return false, without waiting, if the deadline has already passed
bool fake_wait(struct fake *f, int64_t until);
