// Types shared by the source files of the rollout state machine.
#pragma once

#include "msg.h"
#include "replica.h"
#include "rollout/batch_json.h"
#include "rollout/rollout.h"
#include "stream.h"

enum {
	ROLLOUT_MAX_TRAINERS = 256,
	ROLLOUT_MAX_REQUESTS = 512,
	ROLLOUT_MAX_KV_CALLS = 1024,
	ROLLOUT_MAX_REASSEMBLIES = 64,
	ROLLOUT_PART_BYTES = 256 * 1024, ///< of a message
	ROLLOUT_REASSEMBLY_MS = 5000, ///< since the last part: message dropped
	ROLLOUT_RETRY_MS = 500, ///< Retry-After of refused callers
	KV_RETRY_MS = 300, ///< after a failed key-value call
	COPY_STALL_MS = 1500, ///< no progress: replace the backup
	COPY_SLOW_NODE_MS = 3000, ///< before a slow node is tried again
	NO_BACKUP_AFTER_MS = 2000, ///< no candidate: go without backup
};

/// Cached ownership record of a trainer.
struct rcache_entry {
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
	bool valid; ///< else read it again
	bool exists; ///< in the store
	struct record rec;
	uint64_t rev; ///< 0: reported by a peer
	uint64_t stateless_epoch; ///< the owner of this epoch lost its state
	uint32_t pending_call; ///< read in flight, 0 for none
	int64_t read_ms; ///< last result
	int64_t retry_ms; ///< no read before this time
};

enum request_state {
	REQUEST_ROUTING, ///< serving node unknown
	REQUEST_FORWARDED,
	REQUEST_WAITING, ///< pull waiting for samples
	REQUEST_COMMITTING, ///< waits for the copies' acks
};

/// Chunk that a copy must acknowledge before a reply is sent.
struct commit_point {
	uint64_t stream; ///< 0 for none
	uint64_t seq;
};

struct request {
	htab_handle h;
	uint64_t caller; ///< if it came from a caller of this node
	char from[BATCH_NAME_SIZE]; ///< node that forwarded it, "" for none
	uint64_t from_run; ///< its process
	uint64_t from_id; ///< request id there
	bool take_over; ///< see struct msg_request
	struct batch *batch; ///< of a POST, else NULL
	struct pull pull;
	enum request_state state;
	int64_t arrived_ms;
	int64_t deadline_ms; ///< refused then
	int64_t wait_end_ms; ///< pull: an empty reply is sent then
	char forwarded_to[BATCH_NAME_SIZE];
	int tries;
	int64_t not_before_ms;
	struct owner *owner; ///< WAITING and COMMITTING
	struct commit_point commit_points[2];
	uint64_t max_staleness; ///< of the pulled batch
	struct msg_reply reply; ///< COMMITTING
};

/// A trainer whose batches this node owns or claims.
struct owner {
	struct rollout *r;
	struct home *home;
	bool active; ///< the record names this node as owner
	struct record rec; ///< in force; while claiming: the previous one
	uint64_t rev; ///< of rec, 0 for none
	struct stream *backup; ///< copy at rec.backup
	struct stream *next_backup; ///< copy at proposed.backup
	bool proposing; ///< changing the record to "proposed"
	bool write_sent; ///< write of "proposed", outcome unknown
	struct record proposed;
	uint32_t kv_call; ///< handle of the call in flight, 0 for none
	int64_t retry_ms; ///< no call before this time
	int64_t change_since_ms; ///< record needs a change, 0 if not
	uint64_t usage_samples; ///< acknowledged, not reported as usage yet
	uint64_t usage_tokens;
	struct commit_point usage_commit[2]; ///< reported once acknowledged
	char slow_node[BATCH_NAME_SIZE]; ///< its copy made no progress
	int64_t slow_until_ms;
};

enum kv_purpose {
	KV_READ_RCACHE,
	KV_PUT_OWNER,
	KV_READ_OWNER,
};

struct kv_call {
	enum kv_purpose purpose;
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
};

/// A message whose parts are being reassembled.
struct reassembly {
	char from[BATCH_NAME_SIZE];
	uint64_t run; ///< sender's process
	enum rollout_msg type;
	uint64_t id;
	uint64_t next_part;
	char *buf;
	size_t len; ///< bytes
	int64_t last_part_ms;
};

struct rollout {
	struct rollout_opts opts;
	int64_t now_ms;
	uint64_t sender_run; ///< process whose message is being handled
	bool draining;
	struct rollout_action *head;
	struct rollout_action *tail;
	struct rollout_member *members;
	size_t n_members;
	struct rcache_entry *rcache[ROLLOUT_MAX_TRAINERS];
	size_t n_rcache;
	struct owner *owners[ROLLOUT_MAX_TRAINERS];
	size_t n_owners;
	struct replica *replicas[ROLLOUT_MAX_TRAINERS];
	size_t n_replicas;
	struct htab *requests;
	struct htab *kv_calls;
	struct reassembly reassemblies[ROLLOUT_MAX_REASSEMBLIES];
	size_t n_reassemblies;
	uint64_t last_stream_id;
	struct sched *sched;
	struct rollout_stats stats;
};

// rollout.c
struct rollout_action *rollout_add_action(struct rollout *r,
					  enum rollout_action_kind kind);
void rollout_send(struct rollout *r, const char *node, enum rollout_msg msg,
		  void *buf, size_t len);
void rollout_reply(struct rollout *r, const char *node, uint64_t run,
		   enum rollout_msg msg, void *buf, size_t len);
const struct rollout_member *rollout_member(const struct rollout *r,
					    const char *id);
bool rollout_alive(const struct rollout *r, const char *id);

// kv.c
uint32_t kv_read(struct rollout *r, enum kv_purpose purpose, const char *team,
		 const char *trainer);
uint32_t kv_write(struct rollout *r, const struct owner *o);

// record_cache.c
struct rcache_entry *rcache_get(struct rollout *r, const char *team,
				const char *trainer);
void rcache_read(struct rollout *r, struct rcache_entry *p);
void rcache_read_done(struct rollout *r, const struct kv_call *call,
		      const struct rollout_kv *res);
void rcache_set(struct rollout *r, const char *team, const char *trainer,
		const struct record *rec, uint64_t rev);
void rcache_invalidate(struct rcache_entry *p);
enum err rcache_recv_owner_query(struct rollout *r, const char *from,
				 const void *buf, size_t len);
enum err rcache_recv_owner_reply(struct rollout *r, const void *buf,
				 size_t len);

// owner.c
struct owner *owner_find(struct rollout *r, const char *team,
			 const char *trainer);
struct owner *owner_new(struct rollout *r, struct home *home,
			const struct record *rec, uint64_t rev);
void owner_activate(struct owner *o);
void owner_drop(struct owner *o);
enum err owner_apply(struct owner *o, struct op *op);
void owner_report_usage(struct owner *o);
bool owner_take_sample(void *ctx, struct home_batch *b, uint32_t slot,
		       struct sample *sample);

// serve.c
void serve_request(struct owner *o, struct request *q);
void serve_wake_pulls(struct owner *o, const struct home_batch *b);
void serve_send_committed(struct rollout *r);
bool serve_is_replicated(const struct owner *o,
			 const struct commit_point *points);
void serve_set_commit_points(const struct owner *o,
			     struct commit_point *points);
void serve_expire_waiting(struct rollout *r);

// claim.c
void claim_step(struct owner *o);
void claim_kv_done(struct rollout *r, const struct kv_call *call,
		   const struct rollout_kv *res);

// copy.c
void copy_send_pending(struct owner *o);
struct stream *copy_start_stream(struct owner *o, const char *node,
				 uint64_t epoch);
enum err copy_recv_op(struct rollout *r, const char *from, const void *buf,
		      size_t len);
enum err copy_recv_ack(struct rollout *r, const char *from, const void *buf,
		       size_t len);
struct replica *copy_find(struct rollout *r, const char *team,
			  const char *trainer, const char *owner);
void copy_drop(struct rollout *r, struct replica *rep);
void copy_drop_outdated(struct rollout *r);

// route.c
struct request *request_new(struct rollout *r, int64_t wait_ms);
void request_del(struct rollout *r, struct request *q);
void request_refuse(struct rollout *r, struct request *q, enum err e,
		    int64_t retry_after_ms);
void request_answer(struct rollout *r, struct request *q);
void request_route(struct rollout *r, struct request *q);
void request_tick(struct rollout *r);
void request_route_all(struct rollout *r);

// forward.c
void forward_request(struct rollout *r, struct request *q, const char *node,
		     bool take_over);
void forward_reply(struct rollout *r, const struct request *q,
		   const struct msg_reply *reply);
enum err forward_recv_request(struct rollout *r, const char *from,
			      const void *buf, size_t len);
enum err forward_recv_reply(struct rollout *r, const char *from,
			    const void *buf, size_t len);
void forward_expire(struct rollout *r);
