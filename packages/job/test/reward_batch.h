// Fixtures for tests of reward calls: batches whose items need rewards.
#pragma once

#include "job/job_run.h"

enum {
	REWARD_GIVE_UP_MS = 100000,
};

/// Batch of items "i0", "i1", ... in groups of `group` items; each needs a reward.
struct job_spec *reward_spec_new(int items, int group);

struct job_run *reward_run_new(const struct job_spec *s, bool one_version);

/// Send a waiting item and complete its text with that many events.
void reward_generate_item(struct job_run *r, int item, int events, int64_t now);
