// Admission of one pool of backend servers (the engines, or one service):
// bounded queues, booking calls first, then teams by served cost, then
// deadline. Nothing is allocated after admit_new().
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

struct admit;

enum {
	ADMIT_MAX_TEAMS = 128, ///< teams with requests or a recent past
	ADMIT_STALL_MS = 5000, ///< without progress: nothing more is queued
};

enum admit_level {
	ADMIT_FIRST, ///< booking calls: before all others
	ADMIT_SHARED, ///< fair among teams
	ADMIT_LEVELS
};

struct admit_request {
	enum admit_level level;
	uint8_t rank; ///< within a team: lower first, then by deadline
	uint64_t team; ///< hash of its name
	uint32_t weight; ///< share of the team against the others, at least 1
	uint64_t cost; ///< expected
	int64_t deadline_ms;
	uint32_t user; ///< the caller's handle
};

/// Handle of a queued request; 0 is none.
typedef uint32_t admit_handle;

/// How many may wait; may differ from call to call.
struct admit_bounds {
	size_t total; ///< in the pool
	size_t team; ///< of one team
};

struct admit_result {
	enum err err; ///< ERR_OK, ERR_ADMIT_FULL, ERR_ADMIT_TEAM_FULL,
		///< ERR_ADMIT_STALLED
	admit_handle h;
	bool evicted; ///< another request made room: refuse `evicted_user`
	uint32_t evicted_user;
	int64_t retry_after_ms; ///< with a refusal
};

/// Create a pool's queue.
///
/// @param cap  most requests that it can ever hold
/// @return queue, NULL when out of memory
struct admit *admit_new(size_t cap);
void admit_free(struct admit *a);

/// Take a request in. When the pool is full, a team with more waiting than the
/// newcomer's gives one up.
struct admit_result admit_push(struct admit *a, int64_t now,
			       const struct admit_request *r,
			       const struct admit_bounds *bounds);

/// The request that runs next.
///
/// @param[out] user  the caller's handle
/// @return false when nothing waits
bool admit_peek(struct admit *a, uint32_t *user);

/// Take out the request that runs next and charge its team.
///
/// @param[out] user  the caller's handle
/// @return false when nothing waits
bool admit_pop(struct admit *a, uint32_t *user);

/// Take out a request that is given up on.
///
/// @return false when it isn't queued any more
bool admit_cancel(struct admit *a, admit_handle h);

/// Correct a team's charge once the cost is known.
///
/// @param expected  as pushed
/// @param served    in truth
void admit_settle(struct admit *a, uint64_t team, uint32_t weight,
		  uint64_t expected, uint64_t served);

/// A request ended or got some of its answer.
///
/// @param cost  served since the last call
void admit_progress(struct admit *a, int64_t now, uint64_t cost);

/// Whether the pool stands still: what waits is better refused at once.
bool admit_stalled(const struct admit *a, int64_t now);

/// Requests waiting.
size_t admit_count(const struct admit *a);
