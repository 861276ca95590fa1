// Bounded admission queue of one pool of backend servers (the engines, or one
// service): booking calls first, then weighted fair queueing of teams by served
// cost, then by deadline. Nothing is allocated after admit_new().
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

struct admit;

enum {
	ADMIT_MAX_TEAMS = 128, ///< whose served cost is remembered
	ADMIT_STALL_MS = 5000, ///< without progress: requests are refused
};

enum admit_level {
	ADMIT_PRIORITY, ///< booking calls: strict priority
	ADMIT_FAIR_SHARE, ///< fair among teams
	ADMIT_LEVELS
};

struct admit_request {
	enum admit_level level;
	uint8_t rank; ///< within a team: lower first, then by deadline
	uint64_t team; ///< hash of its name
	uint32_t weight; ///< relative share of the team, at least 1
	uint64_t cost; ///< expected, in the caller's unit
	int64_t deadline_ms;
	uint32_t user; ///< opaque to the queue
};

/// Queued request; 0 is none.
typedef uint32_t admit_handle;

/// Limits of queued requests; may change between calls.
struct admit_bounds {
	size_t total; ///< of the whole pool
	size_t team; ///< of one team
};

struct admit_result {
	enum err err; ///< ERR_OK, ERR_ADMIT_FULL, ERR_ADMIT_TEAM_FULL,
		///< ERR_ADMIT_STALLED
	admit_handle h;
	bool evicted; ///< a queued one was: refuse `evicted_user`
	uint32_t evicted_user;
	int64_t retry_after_ms; ///< of a refused or evicted request
};

/// Creates a pool's queue.
///
/// @param cap  below 2^20 - 1; at most `cap` - 1 requests are queued
/// @return queue, NULL when out of memory or for a bad `cap`
struct admit *admit_new(size_t cap);
void admit_free(struct admit *a);

/// Queues a request. When the pool is full, a request of the team with the most
/// queued ones is evicted if it has at least two more than the request's team.
struct admit_result admit_push(struct admit *a, int64_t now,
			       const struct admit_request *r,
			       const struct admit_bounds *bounds);

/// Returns the request that runs next.
///
/// @param[out] user  its `user` value
/// @return false when the queue is empty
bool admit_peek(struct admit *a, uint32_t *user);

/// Removes the request that runs next and charges its team the expected cost.
///
/// @param[out] user  its `user` value
/// @return false when the queue is empty
bool admit_pop(struct admit *a, uint32_t *user);

/// Removes a cancelled request.
///
/// @return false when it is no longer queued
bool admit_cancel(struct admit *a, admit_handle h);

/// Corrects a team's charge once the actual cost is known.
///
/// @param expected  cost given to admit_push()
/// @param served    actual cost
void admit_settle(struct admit *a, uint64_t team, uint32_t weight,
		  uint64_t expected, uint64_t served);

/// Records that a request ended or got part of its response.
///
/// @param cost  served since the last call
void admit_progress(struct admit *a, int64_t now, uint64_t cost);

/// Whether requests are queued without progress for ADMIT_STALL_MS.
bool admit_stalled(const struct admit *a, int64_t now);

/// Number of queued requests.
size_t admit_count(const struct admit *a);
