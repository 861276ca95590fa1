// State of the fake engine, guarded by one mutex.
#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/rng.h"

enum {
	ENGINE_ID_MAX = 128, ///< bytes of a request id
	ENGINE_STREAMS_MAX = 1024,
	ENGINE_CACHE_MAX = 64, ///< prefixes
	ENGINE_EVENTS_MAX = 1024, ///< cache events kept
	ENGINE_SNAPSHOTS_MAX = 256, ///< load snapshots kept
	ENGINE_ORDERS_MAX = 256, ///< weight orders kept for /fake/stats
	ENGINE_TICK_MS = 20,
	ENGINE_SWAP_MS = 50,
	ENGINE_OUTAGE_MS = 2000, ///< connections refused after an overload
	ENGINE_TOKENS_PER_SLOT = 64, ///< tokens per slot gained while cold
};

enum fault_mode {
	FAULT_HANG, ///< a stream stalls without ending
	FAULT_RESET_MID, ///< a stream breaks after one segment
	FAULT_SLOW, ///< each segment is delayed
	FAULT_SWAP_FAIL, ///< weight order accepted, not executed
	FAULT_SWAP_LATE, ///< weight order executed late
	FAULT_MODES
};

struct fault {
	int remaining; ///< streams or orders still affected
	int64_t delay_ms;
};

struct engine_opts {
	const char *listen; ///< "IP:port"
	const char *id;
	const char *domain;
	const char *platform; ///< URL, "" for none
	int slots; ///< when warm
	int token_us; ///< per token
	bool cold; ///< start with one slot
	int load_lag_ms; ///< of load reports and cache events
	bool checks_epoch; ///< reject orders of an older epoch
	bool cheap; ///< preemptible VM
	bool spare;
	uint64_t seed;
};

/// One running or queued generation.
struct stream {
	bool in_use;
	char id[ENGINE_ID_MAX];
	int priority;
	uint64_t arrival; ///< sequence number
	bool running; ///< false while queued for a slot
	bool cancelled;
	bool aborted; ///< by overload
	bool hang;
	bool reset_mid;
	int64_t delay_ms; ///< per segment
	uint64_t prompt; ///< hash
	uint64_t seed;
	size_t prompt_len;
	bool cache_hit; ///< of the prefix
	size_t pos; ///< tokens, resumed ones included
	size_t generated; ///< tokens made by this request
	size_t stop_at;
	size_t max_tokens;
	bool ended; ///< the end line was written
	int fd; ///< caller's connection
	char *line; ///< being sent
	size_t line_len;
	size_t line_off; ///< bytes sent
};

struct load_snapshot {
	int64_t at_ms;
	int running;
	int queued;
	int slots;
	uint64_t version;
	bool cold;
	int n_cached;
};

struct cache_entry {
	uint64_t prefix;
	uint64_t last_used; ///< clock of the last use
};

struct cache_event {
	uint64_t seq;
	int64_t at_ms;
	bool add;
	bool hidden; ///< never reported: a gap
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

	struct stream streams[ENGINE_STREAMS_MAX];
	int running;
	int queued;
	uint64_t arrivals;
	int capacity; ///< current slots
	uint64_t tokens_made;
	int64_t outage_end_ms; ///< connections refused until then

	uint64_t version;
	uint64_t pending_version; ///< 0: none
	int64_t swap_at_ms;
	uint64_t epoch; ///< highest seen
	struct weight_order orders[ENGINE_ORDERS_MAX];
	size_t n_orders;
	int orders_stale; ///< orders of older epochs

	struct cache_entry cache[ENGINE_CACHE_MAX];
	size_t n_cache;
	uint64_t cache_clock;
	struct cache_event events[ENGINE_EVENTS_MAX];
	uint64_t next_seq;

	struct load_snapshot snapshots[ENGINE_SNAPSHOTS_MAX];
	uint64_t n_snapshots;

	struct fault faults[FAULT_MODES];
	bool key_received; ///< got a caller's key: fails all requests

	uint64_t started; ///< generations
	uint64_t finished;
	uint64_t resumed;
	uint64_t cancels;
	uint64_t overloads;
	uint64_t key_leaks;
	uint64_t cache_hits;
	int peak; ///< most streams, queued ones included
	int peak_cold; ///< same while cold
};

void engine_init(struct engine *e, const struct engine_opts *opts);

/// Every ENGINE_TICK_MS: finish a due swap, record a load snapshot.
void engine_tick(struct engine *e, int64_t now_ms);

/// Abort all streams and refuse connections for ENGINE_OUTAGE_MS. Lock held.
void engine_overload(struct engine *e, int64_t now_ms);

/// Count generated tokens; grows a cold engine's capacity. Lock held.
void engine_add_tokens(struct engine *e, size_t tokens);
