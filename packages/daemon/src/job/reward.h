// Reward calls: once an item's text is complete, a service rates it. The item is
// complete when the service's answer carries its seal.
#pragma once

#include "job/job.h"

/// Send the reward calls that are due.
void job_reward_step(struct core *c, struct job *j);

/// Cancel every reward call of the batch.
void job_reward_cancel(struct core *c, struct job *j);

/// Cancel every reward call for a handover; no failure is counted.
void job_reward_freeze(struct core *c, struct job *j);

/// Number of the batch's reward calls in flight at a service.
int job_reward_in_flight(struct core *c, const struct job *j,
			 const char *service);
