// Batches whose items need rewards, for the tests of their second stage.
#pragma once

#include "job/job_run.h"

enum {
	REWARD_GIVE_UP_MS = 100000,
};

/// Items "i0", "i1", ... in groups of some; each needs a reward.
struct job_spec *reward_spec_new(int items, int group);

struct job_run *reward_run_new(const struct job_spec *s, bool one_version);

/// Send an item that waits and give it all its events.
void reward_generate_item(struct job_run *r, int item, int events, int64_t now);
