// Virtual time and a key-value store with outages.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/rng.h"
#include "claim/shard.h"

enum {
	SIM_MAX_EVENTS = 4096,
	SIM_MAX_KEYS = 256,
};

typedef void (*sim_event_fn)(void *ctx, uint64_t arg);

struct sim_event {
	int64_t time_ms;
	uint64_t order; ///< breaks ties
	sim_event_fn fn;
	void *ctx;
	uint64_t arg;
};

struct sim_clock {
	int64_t now_ms;
	uint64_t order;
	struct sim_event events[SIM_MAX_EVENTS];
	size_t n;
	struct rng rng;
};

void sim_schedule(struct sim_clock *k, int64_t delay_ms, sim_event_fn fn,
		  void *ctx, uint64_t arg);

/// Handle the next event.
///
/// @return false if no event is due by `end_ms`
bool sim_run_next_event(struct sim_clock *k, int64_t end_ms);

struct sim_item {
	char key[CLAIM_KEY_SIZE];
	char *value;
	size_t len;
	uint64_t rev;
};

struct sim_kv {
	struct sim_clock *clock;
	struct sim_item items[SIM_MAX_KEYS];
	size_t n;
	uint64_t rev;
	int64_t outage_from_ms;
	int64_t outage_to_ms;
	bool ignore_prev_rev;
};

enum sim_kv_op {
	SIM_LIST,
	SIM_GET,
	SIM_PUT,
	SIM_DEL,
};

struct sim_kv_call {
	enum sim_kv_op op;
	char key[CLAIM_KEY_SIZE];
	char *value;
	size_t len;
	uint64_t prev_rev;
};

/// Execute a call at once.
void sim_kv_exec(struct sim_kv *kv, const struct sim_kv_call *call,
		 void (*fn)(void *ctx, const struct claim_kv_result *res),
		 void *ctx);
void sim_kv_free(struct sim_kv *kv);
