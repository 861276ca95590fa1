// Reward calls: once an item's text is whole, a service rates it. The item is over
// when that service's answer bears its seal.
#pragma once

#include "job/job.h"

/// Send the calls that are due.
void job_reward_step(struct core *c, struct job *j);

/// End every call of the batch.
void job_reward_cancel(struct core *c, struct job *j);

/// End every call for the batch's next owner: no attempt is counted.
void job_reward_freeze(struct core *c, struct job *j);

/// Calls of this node's batches that are at servers of a service.
int job_reward_in_flight(struct core *c, const struct job *j,
			 const char *service);
