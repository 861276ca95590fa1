// The engine stand-in: its state, guarded by one mutex.
#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"

enum {
	ENGINE_ID = 128, ///< bytes of a request id
	ENGINE_STREAMS = 1024,
	ENGINE_CACHE = 64, ///< prefixes
	ENGINE_EVENTS = 1024, ///< cache events kept
	ENGINE_HISTORY = 256, ///< load snapshots kept
	ENGINE_ORDERS = 256, ///< weight orders kept for /fake/stats
	ENGINE_TICK_MS = 20,
	ENGINE_SWAP_MS = 50,
	ENGINE_FALL_MS = 2000, ///< how long it refuses connections
	ENGINE_WARM_TOKENS = 64, ///< work done that brings one more slot
};

enum fault_mode {
	FAULT_HANG, ///< a stream stops without an end
	FAULT_RESET_MID, ///< a stream breaks after its first segment
	FAULT_SLOW, ///< each segment of a stream comes late
	FAULT_SWAP_FAIL, ///< a weight order is accepted and never done
	FAULT_SWAP_LATE, ///< a weight order is done late
	FAULT_MODES
};

struct fault {
	int left; ///< streams or orders that it still strikes
	int64_t delay_ms;
};

struct engine_opts {
	const char *listen; ///< "IP:port"
	const char *id;
	const char *domain;
	const char *platform; ///< URL, "" for none
	int slots;
	int token_us; ///< microseconds a token
	bool cold;
	int load_lag_ms;
	bool checks_epoch;
	bool cheap;
	bool spare;
	uint64_t seed;
};

/// One running or waiting generation.
struct stream {
	bool used;
	char id[ENGINE_ID];
	int priority;
	uint64_t order; ///< of arrival
	bool running; ///< false while it waits for a slot
	bool cancelled;
	bool dropped; ///< the engine fell over
	bool hang;
	bool reset_mid;
	int64_t delay_ms; ///< added to each segment
	uint64_t prompt; ///< hash
	uint64_t seed;
	size_t prompt_len;
	bool cached; ///< the prefix was in the cache
	size_t pos; ///< tokens made, resumed ones included
	size_t made; ///< tokens made by this request
	size_t stop_at;
	size_t max_tokens;
	bool ended; ///< the end line was written
	int fd; ///< of the caller's connection
	char *line; ///< bytes not yet taken by the connection
	size_t line_len;
	size_t line_off;
};

struct load_snap {
	int64_t at_ms;
	int running;
	int queued;
	int slots;
	uint64_t version;
	bool cold;
	int cached;
};

struct cache_entry {
	uint64_t prefix;
	uint64_t used; ///< clock of the last use
};

struct cache_event {
	uint64_t seq;
	int64_t at_ms;
	bool add;
	bool lost; ///< never shown: a gap
	uint64_t prefix;
};

struct weight_order {
	uint64_t version;
	uint64_t epoch;
	int64_t at_ms; ///< wall clock
	int status;
};

struct engine {
	struct engine_opts opts;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct rng rng;

	struct stream streams[ENGINE_STREAMS];
	int running;
	int queued;
	uint64_t arrivals;
	int capacity; ///< streams that it bears now
	uint64_t work; ///< tokens made
	int64_t fallen_until; ///< refuses connections before this time

	uint64_t version;
	uint64_t next_version; ///< of a swap that is under way, 0 for none
	int64_t swap_at;
	uint64_t epoch; ///< highest seen
	struct weight_order orders[ENGINE_ORDERS];
	size_t n_orders;
	int orders_stale; ///< orders with an epoch older than one seen

	struct cache_entry cache[ENGINE_CACHE];
	size_t n_cache;
	uint64_t cache_clock;
	struct cache_event events[ENGINE_EVENTS];
	uint64_t next_seq;

	struct load_snap history[ENGINE_HISTORY];
	uint64_t n_history;

	struct fault faults[FAULT_MODES];
	bool poisoned; ///< saw a caller's key: refuses everything

	uint64_t started; ///< generations
	uint64_t finished;
	uint64_t resumed;
	uint64_t cancels;
	uint64_t falls;
	uint64_t key_leaks;
	uint64_t cache_hits;
	int peak; ///< most streams at once
	int peak_cold; ///< most streams at once while cold
};

/// Set up the state.
void engine_init(struct engine *e, const struct engine_opts *opts);

/// Housekeeping every ENGINE_TICK_MS: swaps and load snapshots.
void engine_tick(struct engine *e, int64_t now_ms);

/// Drop all streams and refuse connections for ENGINE_FALL_MS. Lock held.
void engine_fall(struct engine *e, int64_t now_ms);

/// Count work done and warm up. Lock held.
void engine_worked(struct engine *e, size_t tokens);
