// Types and calls that the files of module work share.
#pragma once

#include <msgpack.h>

#include "admit/admit.h"
#include "attempt/attempt.h"
#include "base/rng.h"
#include "claim/ask.h"
#include "claim/shard.h"
#include "route/route.h"
#include "slot/holder.h"
#include "slot/steward.h"
#include "daemon/work_mod.h"
#include "key/key.h"

enum {
	WORK_REQUESTS_MAX = 16384, ///< requests held at once
	WORK_INBOUND_MAX = 8192, ///< requests held for other failure domains
	WORK_CALLS_MAX = 16384, ///< callers' requests held at once
	WORK_ARENA_MAX_BYTES = 80 << 20, ///< bytes copied for one request
	WORK_LINE_MAX_BYTES = 512 << 10, ///< bytes of a streamed line
	WORK_CHUNK_BYTES = 256 << 10, ///< bytes of a body in one peer message
	WORK_BODY_MAX_BYTES = 64 << 20, ///< bytes of a forwarded body or answer
	WORK_RETRY_BUDGET = 10, ///< retries saved up
	WORK_PROBE_INTERVAL_MS =
		1000, ///< interval of probes of a forwarded request
	WORK_NAME_LEN = 64, ///< bytes of a server's, node's or team's name
	WORK_STREAM_IDLE_MS = 20000, ///< longest silence inside a stream
	WORK_CLAIM_SHARDS = 8, ///< of the claim log; part of its format
	WORK_CLAIM_REQUESTS_MAX = 8192, ///< claims asked of this node at once
	WORK_POOLS_MAX = 16, ///< the engines and each service
	WORK_SERVERS_MAX = 512, ///< backend servers of the own failure domain
	WORK_NO_SERVER_RETRY_AFTER_MS = 1000, ///< told when no server is known
};

enum work_target_kind {
	WORK_TARGET_NONE, ///< no attempt is running: queued, or about to end
	WORK_TARGET_SERVER, ///< at a backend server
	WORK_TARGET_PEER, ///< at a node in another failure domain
};

/// Bytes gathered from several pieces.
struct work_buf {
	char *data;
	size_t len;
	size_t cap;
};

/// One request on this node.
struct work {
	htab_handle h;
	uint64_t id; ///< unique among this process's requests
	struct arena arena; ///< holds what `o` points to
	struct work_opts opts;
	struct trace_ctx trace; ///< parent of the attempts' spans
	struct attempt attempts;
	struct span span; ///< of the attempt that runs
	enum work_target_kind target_kind;
	htab_handle fetch; ///< with WORK_TARGET_SERVER
	struct work_server *server; ///< whose slot it holds, NULL for none
	int64_t attempt_start_ms; ///< of the attempt
	struct work_pool *pool; ///< that it waits in or was taken from
	admit_handle queue_entry; ///< 0 when it doesn't wait
	int64_t queued_ms; ///< since when it waits
	bool spilled; ///< sent to another failure domain for want of slots
	enum err pending_err; ///< ends with this at the next tick
	char target[WORK_NAME_LEN]; ///< server or node of the attempt
	char avoid[WORK_NAME_LEN]; ///< server that failed before
	bool forwarded; ///< came from another failure domain: stays in this one
	bool delivered; ///< a line went to the submitter
	bool end_line_seen; ///< the stream's end line came
	uint64_t engine_tokens; ///< that the end line tells
	struct work_buf partial; ///< incomplete line, or answer from a peer
	uint64_t next_line_seq; ///< expected number of a peer's line
	int64_t last_probe_ms; ///< last probe of the peer
	struct work_result peer_result; ///< of an answer that comes in chunks
	char *peer_ctype; ///< in the arena
	size_t peer_body_len; ///< bytes of that answer
};

/// What a caller's request needs until it is answered.
struct work_call {
	htab_handle h;
	htab_handle req; ///< 0 once the caller is gone
	htab_handle work; ///< 0 before it is submitted
	struct work_opts opts; ///< strings live with the caller's request
	char team[WORK_NAME_LEN];
	char route[WORK_NAME_LEN];
	char key_id[KEY_ID_LEN + 1]; ///< "" on an open route without a key
	bool cancel_on_abort; ///< nobody needs the outcome once the caller is gone
	bool streaming; ///< an answer's first line went out
	bool stream_failed; ///< the caller reads too slowly
	uint64_t tokens; ///< delivered
	bool keyed; ///< holds an idempotency key
	struct claim_ask ask;
	struct claim_request claim;
};

/// What a backend server reports, shared within the failure domain.
struct work_load {
	int running;
	int queued;
	int slots; ///< 0 if it was never reported
	uint64_t version; ///< weight version; a new one empties the cache
	int64_t as_of_ms; ///< clock_now_ms() time that it speaks of
};

/// A backend server of the own failure domain.
struct work_server {
	uint64_t hash; ///< of its id; 0: unused entry
	char id[WORK_NAME_LEN];
	char addr[WORK_NAME_LEN];
	struct work_pool *pool;
	bool cheap;
	bool live; ///< listed as live, and its failure domain is in service
	bool listed; ///< listed at all
	int64_t backoff_until_ms; ///< took no connection: not used until then
	int64_t backoff_ms; ///< length of that pause, 0 after a connection
	struct slot_holder holder;
	struct slot_steward *steward; ///< while this node is its steward
	struct work_load load;
	int64_t last_poll_ms;
	bool polling;
};

/// Servers that can stand in for one another, and the queue for them.
struct work_pool {
	enum vm_kind kind;
	char service[WORK_NAME_LEN]; ///< of VM_SERVICE
	struct admit *queue;
	struct route *route; ///< servers by their index in the table
	int n_live;
	int64_t last_request_ms; ///< last request
};

struct work_claims;

struct work_state {
	struct htab *requests; ///< struct work
	struct htab *inbound_requests; ///< struct work_inbound
	htab_handle
		inbound_buckets[WORK_INBOUND_MAX]; ///< heads of chains, by name
	struct htab *calls; ///< struct work_call
	struct attempt_budget retry_budget;
	struct rng rng;
	struct work_claims *claims;
	struct work_pool pools[WORK_POOLS_MAX];
	size_t n_pools;
	struct work_server *servers; ///< WORK_SERVERS_MAX entries
	size_t n_servers; ///< entries up to the last used one
	int n_spilled; ///< requests that run elsewhere for want of slots
	uint64_t fleet_gen; ///< of the list that `servers` shows
	int64_t started_ms;
	bool ready; ///< was ready once
	uint64_t incarnation_hash; ///< of this process's run
	uint64_t next_id;
};

static inline struct work_state *work_state(const struct core *c)
{
	return core_mod_state(c, MOD_WORK);
}

// work_mod_buf.c
enum err work_buf_add(struct work_buf *b, const void *data, size_t len,
		      size_t max);
void work_buf_free(struct work_buf *b);

// work_mod_key.c

/// Note which route and key a call came by.
void work_key_record(struct work_call *call, const struct core_req *r,
		     const char *route);

/// Whether a call's key is still good.
enum err work_key_check(struct core *c, const struct work_call *call);

/// Check the keys of all calls whenever the configuration changes.
enum err work_key_start(struct core *c);

// work_mod_submit.c

/// Submit; `forwarded` work is not forwarded again.
enum err work_submit_from(struct core *c, const struct work_opts *opts,
			  bool forwarded, htab_handle *h,
			  int64_t *retry_after_ms);

/// End a request: calls on_done and frees it.
void work_finish(struct core *c, struct work *w, const struct work_result *res);

/// Give up at once with the answer that is true now.
void work_give_up(struct core *c, struct work *w, enum err e);

// work_mod_attempt.c

/// Send to a backend server, on a slot that the request holds.
///
/// @return ERR_OK, or why not; nothing left this process
enum err work_attempt_send(struct core *c, struct work *w,
			   struct work_server *srv);

/// Send to a node of another failure domain.
enum err work_attempt_forward(struct core *c, struct work *w);

/// Take the end of the running attempt: try again or finish.
///
/// @param res  what to answer if this was the last attempt
void work_attempt_end(struct core *c, struct work *w,
		      const struct attempt_outcome *out,
		      struct work_result *res);

/// Stop the running attempt; no end follows.
void work_attempt_cancel(struct core *c, struct work *w);

// work_mod_pool.c

/// Pool of a kind of servers; made at its first use.
///
/// @return pool, NULL when there are too many
struct work_pool *work_pool_get(struct work_state *s, enum vm_kind kind,
				const char *service);

/// Queue a request in its pool, or forward it if the own failure domain has no
/// server for it.
///
/// @return ERR_OK, or a refusal
enum err work_place(struct core *c, struct work *w, int64_t *retry_after_ms);

/// Take a request out of its queue.
void work_dequeue(struct work *w);

/// The request of a pool that runs next; it stays in the queue.
///
/// @return request, NULL if none waits
struct work *work_pool_peek(struct core *c, const struct work_pool *p);

/// Take that request out of the queue.
struct work *work_pool_pop(struct core *c, struct work_pool *p);

/// Send what waits in a pool while slots are free.
void work_pool_dispatch(struct core *c, struct work_pool *p);
void work_pool_tick(struct core *c, int64_t now);
void work_pool_stop(struct work_state *s);

/// Correct the team's charge now that the cost is known.
void work_pool_adjust_cost(struct core *c, const struct work *w,
			   uint64_t served);

// work_mod_server.c

/// Bring the table of servers up to date with the platform's list.
void work_server_sync(struct core *c);
struct work_server *work_server_find(struct work_state *s, uint64_t hash);

/// Note whether a server took a connection: one that did not is paused.
void work_server_connect_result(struct core *c, struct work_server *srv,
				bool ok);

/// Tell the pool's chooser what this node may send to a server now.
void work_server_update_route(struct core *c, struct work_server *srv);

/// Take a load report, the server's own or one that came with a permit.
void work_server_set_load(struct core *c, struct work_server *srv,
			  const struct work_load *load);

// work_mod_slot.c: permits for slots, between holders and stewards
enum err work_slot_start(struct core *c);
void work_slot_tick(struct core *c, int64_t now);

/// Ask for slots now if it is time to.
void work_slot_request(struct core *c);

// work_mod_load.c
void work_load_tick(struct core *c, int64_t now);

// work_mod_spill.c: requests for engines to failure domains with free slots

/// Tell this node's free slots, and send one waiting request elsewhere if it
/// waited too long.
void work_spill_tick(struct core *c, struct work_pool *p);

/// Whether a failure domain has room for another request that spills over.
bool work_spill_allowed(struct core *c, const char *domain);

// work_mod_pick.c

/// Server with a free slot for a request: by load and prefix.
///
/// @return server, NULL if there is none now
struct work_server *work_pick_server(struct core *c, const struct work *w);

/// Node in another failure domain that has a backend server for it.
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

// work_mod_claim.c: the shards of the claim log that this node writes

enum err work_claim_start(struct core *c, struct work_state *s);
void work_claim_stop(struct work_state *s);
void work_claim_tick(struct core *c, int64_t now);

/// Whether this node is the writer of a key's shard.
bool work_claim_is_writer(struct core *c, struct claim_name key);

/// Ask the shard's writer, or this node's own shard. The verdict comes by
/// work_call_verdict().
void work_claim_ask(struct core *c, const struct claim_request *req,
		    htab_handle call, bool self);

/// Tell the shard's writer how a claimed request ended.
void work_claim_note(struct core *c, const struct claim_record *r);

// work_mod_keyed.c: callers' requests that carry an idempotency key

/// Claim the key, then submit.
void work_keyed_begin(struct core *c, struct work_call *call,
		      const char *route);

/// The caller went away before the claim was settled.
void work_keyed_abort(struct core *c, struct work_call *call);

/// Note how a keyed request ended.
void work_keyed_end(struct core *c, const struct work_call *call,
		    const struct work_result *res);
void work_keyed_tick(struct core *c, int64_t now);

/// Take a verdict from a shard.
///
/// @param self  from this node's own shard
void work_keyed_verdict(struct core *c, htab_handle call, enum claim_verdict v,
			const struct claim_answer *a, bool self);

// work_mod_call.c

/// Submit a caller's request; answers it if it is refused.
///
/// @return false if it was refused; `call` is gone then
bool work_call_submit(struct core *c, struct work_call *call);

/// Forget a caller's request.
void work_call_free(struct core *c, struct work_call *call);
enum err work_call_start(struct core *c, struct work_state *s);
