// Internal types and functions of module work. A server's coordinator is the node
// that grants its slots to the nodes of the failure domain, by permits.
#pragma once

#include <msgpack.h>

#include "admit/admit.h"
#include "attempt/attempt.h"
#include "base/rng.h"
#include "claim/acquire.h"
#include "claim/shard.h"
#include "route/route.h"
#include "slot/holder.h"
#include "slot/coordinator.h"
#include "daemon/work_mod.h"
#include "key/key.h"

enum {
	WORK_REQUESTS_MAX = 16384,
	WORK_INBOUND_MAX = 8192, ///< from other failure domains
	WORK_CALLS_MAX = 16384,
	WORK_ARENA_MAX_BYTES = 80 << 20, ///< copied for one request
	WORK_LINE_MAX_BYTES = 512 << 10,
	WORK_CHUNK_BYTES = 256 << 10, ///< of body in a peer message
	WORK_BODY_MAX_BYTES = 64 << 20, ///< forwarded body or answer
	WORK_RETRY_BUDGET = 10, ///< most retries saved
	WORK_PROBE_INTERVAL_MS = 1000, ///< of forwarded requests
	WORK_NAME_LEN = 64, ///< bytes of an id or name
	WORK_STREAM_IDLE_MS = 20000, ///< timeout of an engine's stream
	WORK_CLAIM_SHARDS = 8, ///< of the claim log; part of its format
	WORK_CLAIM_REQUESTS_MAX = 8192, ///< outstanding on this node
	WORK_POOLS_MAX = 16, ///< engines and each service
	WORK_SERVERS_MAX = 512, ///< of this failure domain
	WORK_NO_SERVER_RETRY_AFTER_MS = 1000,
};

/// Where a request's current attempt runs.
enum work_target_kind {
	WORK_TARGET_NONE, ///< no attempt in flight: queued or ending
	WORK_TARGET_SERVER, ///< backend server
	WORK_TARGET_PEER, ///< node in another failure domain
};

struct work_buf {
	char *data;
	size_t len;
	size_t cap;
};

/// Outstanding request on this node.
struct work {
	htab_handle h;
	uint64_t id; ///< unique among this process's requests
	struct arena arena; ///< owns what `opts` points to
	struct work_opts opts;
	struct trace_ctx trace; ///< parent of the attempts' spans
	struct attempt attempts; ///< retry state
	struct span span; ///< of the attempt
	enum work_target_kind target_kind;
	htab_handle fetch; ///< for WORK_TARGET_SERVER
	struct work_server *server; ///< whose slot it holds, or NULL
	int64_t attempt_start_ms;
	struct work_pool *pool; ///< current or last queue
	admit_handle queue_entry; ///< 0 if not queued
	int64_t queued_ms;
	bool spilled; ///< forwarded as no slot was free
	enum err pending_err; ///< reported at the next tick
	char target[WORK_NAME_LEN]; ///< id of the server or node
	char avoid[WORK_NAME_LEN]; ///< server or node that failed before
	bool forwarded; ///< from another domain; not forwarded again
	bool delivered; ///< a line was passed on
	bool end_line_seen;
	uint64_t engine_tokens; ///< count in the end line
	struct work_buf partial; ///< incomplete line, or answer of a peer
	uint64_t next_line_seq; ///< next from the peer
	int64_t last_probe_ms; ///< probe of or line from the peer
	struct work_result peer_result; ///< kept until all chunks arrived
	char *peer_ctype; ///< in the arena
	size_t peer_body_len; ///< complete length, bytes
};

/// API call that is not answered yet.
struct work_call {
	htab_handle h;
	htab_handle req; ///< 0 after the caller disconnected
	htab_handle work; ///< 0 before it is submitted
	struct work_opts opts; ///< strings belong to `req`
	char team[WORK_NAME_LEN];
	char route[WORK_NAME_LEN];
	char key_id[KEY_ID_LEN + 1]; ///< API key; "" if an open route had none
	bool cancel_on_abort; ///< if the caller disconnects
	bool streaming; ///< first line was sent
	bool stream_failed; ///< no memory, or slow caller
	uint64_t tokens; ///< sent to the caller
	bool keyed; ///< has an idempotency key
	struct claim_acquire ask;
	struct claim_request claim;
};

/// Load report of a backend server, shared within its failure domain.
struct work_load {
	int running;
	int queued;
	int slots; ///< 0: never reported
	uint64_t version; ///< of the weights; a change empties the cache
	int64_t as_of_ms; ///< clock_now_ms() time of the figures
};

/// Backend server of this failure domain.
struct work_server {
	uint64_t hash; ///< of its id; 0: unused entry
	char id[WORK_NAME_LEN];
	char addr[WORK_NAME_LEN];
	struct work_pool *pool;
	bool cheap; ///< may be reclaimed at short notice
	bool live; ///< listed as live, and has a pool
	bool listed; ///< in the platform's current list
	int64_t backoff_until_ms; ///< after a refused connection
	int64_t backoff_ms; ///< 0 after a connection
	struct slot_holder holder; ///< slots granted to this node
	struct slot_coordinator *coordinator; ///< NULL on other nodes
	struct work_load load;
	int64_t last_poll_ms;
	bool polling;
};

/// Interchangeable servers with their admission queue.
struct work_pool {
	enum vm_kind kind;
	char service[WORK_NAME_LEN]; ///< for VM_SERVICE, else ""
	struct admit *queue;
	struct route *route; ///< load balancer, by server index
	int n_live; ///< usable servers
	int64_t last_request_ms; ///< 0: never
};

struct work_claims;

struct work_state {
	struct htab *requests; ///< struct work
	struct htab *inbound_requests; ///< struct work_inbound
	/// Heads of hash chains, by node and id.
	htab_handle inbound_buckets[WORK_INBOUND_MAX];
	struct htab *calls; ///< struct work_call
	struct attempt_budget retry_budget;
	struct rng rng;
	struct work_claims *claims;
	struct work_pool pools[WORK_POOLS_MAX];
	size_t n_pools;
	struct work_server *servers; ///< WORK_SERVERS_MAX entries
	size_t n_servers; ///< entries up to the last used one
	int n_spilled; ///< requests with `spilled` set
	uint64_t fleet_gen; ///< generation of the VM list
	int64_t started_ms;
	bool ready; ///< stays true once set
	uint64_t incarnation_hash;
	uint64_t next_id;
};

static inline struct work_state *work_state(const struct core *c)
{
	return core_mod_state(c, MOD_WORK);
}

// work_mod_buf.c

/// Append bytes, up to a total length of max.
enum err work_buf_add(struct work_buf *b, const void *data, size_t len,
		      size_t max);
void work_buf_free(struct work_buf *b);

// work_mod_key.c

/// Store a call's route and API key id.
void work_key_record(struct work_call *call, const struct core_req *r,
		     const char *route);

/// Check that a call's API key is still valid.
enum err work_key_check(struct core *c, const struct work_call *call);

/// Check all calls' keys whenever the configuration changes.
enum err work_key_start(struct core *c);

// work_mod_submit.c

/// Submit; a `forwarded` request is not forwarded again.
enum err work_submit_from(struct core *c, const struct work_opts *opts,
			  bool forwarded, htab_handle *h,
			  int64_t *retry_after_ms);

/// Finish a request: calls on_done and frees it.
void work_finish(struct core *c, struct work *w, const struct work_result *res);

/// Cancel a request's attempt and finish it with an error.
void work_give_up(struct core *c, struct work *w, enum err e);

// work_mod_attempt.c

/// Start an attempt at a backend server whose slot was taken.
///
/// @return ERR_OK; on an error nothing was sent
enum err work_attempt_send(struct core *c, struct work *w,
			   struct work_server *srv);

/// Start an attempt at a node of another failure domain.
enum err work_attempt_forward(struct core *c, struct work *w);

/// Handle the end of the current attempt: retry or finish.
///
/// @param res  answer if there is no retry
void work_attempt_end(struct core *c, struct work *w,
		      const struct attempt_outcome *out,
		      struct work_result *res);

/// Cancel the current attempt, without work_attempt_end().
void work_attempt_cancel(struct core *c, struct work *w);

// work_mod_pool.c

/// Get a pool, created at its first use.
///
/// @return pool, NULL when there are too many or memory ran out
struct work_pool *work_pool_get(struct work_state *s, enum vm_kind kind,
				const char *service);

/// Queue a request in its pool, or forward it if this failure domain has no
/// usable server for it.
///
/// @return ERR_OK, or why it was rejected
enum err work_place(struct core *c, struct work *w, int64_t *retry_after_ms);

void work_dequeue(struct work *w);

/// Next request of a pool's queue, not removed.
///
/// @return request, NULL if the queue is empty
struct work *work_pool_peek(struct core *c, const struct work_pool *p);

/// Remove and return the next request, NULL if there is none.
struct work *work_pool_pop(struct core *c, struct work_pool *p);

/// Send a pool's queued requests while slots are free.
void work_pool_dispatch(struct core *c, struct work_pool *p);
void work_pool_tick(struct core *c, int64_t now);
void work_pool_stop(struct work_state *s);

/// Replace the expected cost charged to the team by the actual one.
void work_pool_adjust_cost(struct core *c, const struct work *w,
			   uint64_t served);

// work_mod_server.c

/// Update the server table from the platform's list.
void work_server_sync(struct core *c);

/// Find by the hash of an id; 0 finds an unused entry.
struct work_server *work_server_find(struct work_state *s, uint64_t hash);

/// Start or end a server's connection backoff, which doubles per failure.
void work_server_connect_result(struct core *c, struct work_server *srv,
				bool ok);

/// Update a server's free slots in the load balancer.
void work_server_update_route(struct core *c, struct work_server *srv);

/// Apply a newer load report, polled or received with a permit.
void work_server_set_load(struct core *c, struct work_server *srv,
			  const struct work_load *load);

// work_mod_slot.c: requests for slots, and grants
enum err work_slot_start(struct core *c);
void work_slot_tick(struct core *c, int64_t now);

/// Request slots from the coordinators, if due.
void work_slot_request(struct core *c);

// work_mod_load.c
void work_load_tick(struct core *c, int64_t now);

// work_mod_spill.c: forwards engine requests to domains with free slots

/// Publish this node's free slots; forward one request that waited too long.
void work_spill_tick(struct core *c, struct work_pool *p);

/// Whether a failure domain has a free slot for one more request.
bool work_spill_allowed(struct core *c, const char *domain);

// work_mod_pick.c

/// Choose a server with a free slot, by load and cached prompt prefix.
///
/// @return server, NULL if no slot is free
struct work_server *work_pick_server(struct core *c, const struct work *w);

/// Choose a node in another failure domain that has a server for it.
///
/// @return node id, NULL if there is none
const char *work_pick_peer(struct core *c, const struct work *w);

// work_mod_peer_out.c

/// Send a request to a node of another failure domain.
enum err work_peer_open(struct core *c, struct work *w, const char *node);
void work_peer_cancel(struct core *c, struct work *w);
void work_peer_tick(struct core *c, int64_t now);
enum err work_peer_out_start(struct core *c);

// work_mod_peer_in.c
enum err work_peer_in_start(struct core *c, struct work_state *s);
void work_peer_in_stop(struct work_state *s);
void work_peer_in_tick(struct core *c, int64_t now);

// work_mod_claim.c: claims of idempotency keys, in the sharded claim log

enum err work_claim_start(struct core *c, struct work_state *s);
void work_claim_stop(struct work_state *s);
void work_claim_tick(struct core *c, int64_t now);

/// Whether this node is the preferred writer of a key's shard.
bool work_claim_is_writer(struct core *c, struct claim_u128 key);

/// Claim a key at its shard's writer, or on this node if `self`. Calls
/// work_keyed_verdict().
void work_claim_ask(struct core *c, const struct claim_request *req,
		    htab_handle call, bool self);

/// Send the outcome of a claimed request to the shard's writer.
void work_claim_note(struct core *c, const struct claim_record *r);

// work_mod_keyed.c: API calls with an idempotency key

/// Claim the key, then submit if granted.
void work_keyed_begin(struct core *c, struct work_call *call,
		      const char *route);

/// Release the claim of a caller who disconnected before its verdict.
void work_keyed_abort(struct core *c, struct work_call *call);

/// Record a keyed call's outcome.
void work_keyed_end(struct core *c, const struct work_call *call,
		    const struct work_result *res);
void work_keyed_tick(struct core *c, int64_t now);

/// Handle a claim's verdict.
///
/// @param self  from this node's own shard
void work_keyed_verdict(struct core *c, htab_handle call, enum claim_verdict v,
			const struct claim_answer *a, bool self);

// work_mod_call.c

/// Submit an API call, or answer it with an error.
///
/// @return false if rejected; `call` is freed then
bool work_call_submit(struct core *c, struct work_call *call);

void work_call_free(struct core *c, struct work_call *call);
enum err work_call_start(struct core *c, struct work_state *s);
