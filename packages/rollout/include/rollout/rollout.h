// Rollout decisions of one node: events in, actions out.
//
// Each trainer's batches have one owner, which generates and delivers samples,
// and one backup with a complete copy of the state. A record in the key-value
// store names both. Nothing is delivered before the backup has acknowledged it,
// so the backup can take over from its copy alone, and a replaced owner can't
// deliver any more.
#pragma once

#include "base/rng.h"
#include "rollout/pull.h"
#include "rollout/record.h"
#include "rollout/sched.h"

struct rollout;

enum rollout_msg {
	ROLLOUT_MSG_OP, ///< chunk of a replication stream
	ROLLOUT_MSG_ACK, ///< its acknowledgement
	ROLLOUT_MSG_REQUEST, ///< part of a forwarded request
	ROLLOUT_MSG_REPLY, ///< part of its reply
	ROLLOUT_MSG_OWNER_QUERY, ///< owner query
	ROLLOUT_MSG_OWNER_REPLY, ///< owner's reply to it
	ROLLOUT_MSG_COUNT
};

/// Deliberate flaws for tests that show that the checks detect them.
enum rollout_flaw {
	ROLLOUT_FLAW_NONE,
	ROLLOUT_FLAW_EARLY_REPLY, ///< replies before the copies acknowledged
	ROLLOUT_FLAW_NO_FENCE, ///< still acknowledges to a replaced owner
	ROLLOUT_FLAW_NO_RECORD, ///< takes over without updating the record
	ROLLOUT_FLAW_KEEP_STALE, ///< checks staleness at generation only
	ROLLOUT_FLAW_ORDERED_VERSION, ///< not the engine's version
};

struct rollout_opts {
	char node[BATCH_NAME_SIZE];
	char domain[BATCH_NAME_SIZE];
	char inc[RECORD_INC_SIZE]; ///< incarnation of this process
	struct rng rng;
	struct sched_opts sched; ///< ops and ctx are set by rollout_new()
	int64_t request_timeout_ms; ///< without a pull's wait_ms
	enum rollout_flaw flaw; ///< ROLLOUT_FLAW_NONE outside tests
};

/// Another node as the membership reports it.
struct rollout_member {
	char id[BATCH_NAME_SIZE];
	char domain[BATCH_NAME_SIZE];
	bool alive; ///< true while suspected, false once declared dead
	bool draining;
};

enum rollout_action_kind {
	ROLLOUT_SEND,
	ROLLOUT_KV_GET,
	ROLLOUT_KV_PUT,
	ROLLOUT_ACCEPTED, ///< reply to a POST
	ROLLOUT_PULL_REPLY, ///< reply to a pull
	ROLLOUT_REFUSED, ///< error reply to either
	ROLLOUT_START_RUN,
	ROLLOUT_CANCEL_RUN,
	ROLLOUT_ADD_USAGE, ///< usage of a team
};

struct rollout_action {
	enum rollout_action_kind kind;
	char node[BATCH_NAME_SIZE]; ///< SEND
	uint64_t to_run; ///< SEND: process of the node that asked, 0 for any
	enum rollout_msg msg; ///< SEND
	void *buf; ///< SEND: owned
	size_t len; ///< bytes
	uint32_t call; ///< KV_GET, KV_PUT: for rollout_kv_done()
	char key[RECORD_KEY_SIZE]; ///< KV_GET, KV_PUT
	char *value; ///< KV_PUT; START_RUN: request body; owned
	uint64_t prev_rev; ///< KV_PUT: 0 if the key must be absent
	uint64_t caller; ///< ACCEPTED, PULL_REPLY, REFUSED
	uint64_t slots; ///< ACCEPTED
	bool known; ///< ACCEPTED: the batch was accepted before
	struct pull_reply pull; ///< PULL_REPLY: owned
	enum err err; ///< REFUSED
	int64_t retry_after_ms; ///< REFUSED
	htab_handle run; ///< START_RUN, CANCEL_RUN
	char team[BATCH_NAME_SIZE]; ///< START_RUN, ADD_USAGE
	char route[BATCH_NAME_SIZE]; ///< START_RUN
	char avoid[SAMPLE_SERVER_SIZE]; ///< START_RUN: server, "" for none
	uint64_t cost; ///< START_RUN: expected tokens
	uint64_t prefix; ///< START_RUN: hash of the prompt's prefix
	uint64_t samples; ///< ADD_USAGE
	uint64_t tokens; ///< ADD_USAGE
	struct rollout_action *next;
};

/// Result of a key-value store call.
struct rollout_kv {
	uint32_t call;
	enum err err; ///< ERR_OK, ERR_NOT_FOUND or ERR_KV_CONFLICT;
		///< others: outcome unknown
	const char *value; ///< of a GET
	size_t len; ///< bytes
	uint64_t rev;
};

/// @return NULL when out of memory
struct rollout *rollout_new(const struct rollout_opts *opts);

/// Free everything; sends nothing.
///
/// @param r  may be NULL
void rollout_free(struct rollout *r);

/// Take the next action from the queue.
///
/// @return action for rollout_action_free(), NULL for none
struct rollout_action *rollout_next(struct rollout *r);

/// @param a  action or NULL
void rollout_action_free(struct rollout_action *a);

/// A trainer submitted a batch.
///
/// @param caller  id of the call in its reply action
/// @param batch   taken over
void rollout_post(struct rollout *r, uint64_t caller, struct batch *batch,
		  int64_t now_ms);

/// A trainer pulls samples.
///
/// @param pull  its content is taken over
void rollout_pull(struct rollout *r, uint64_t caller, struct pull *pull,
		  int64_t now_ms);

/// A caller disconnected before its reply.
void rollout_caller_closed(struct rollout *r, uint64_t caller);

/// A message from another node arrived.
///
/// @param run  sender's process: its requests are numbered anew by the next one
/// @return ERR_OK, ERR_PARSE for a malformed message, ERR_INVALID for an
///         operation that does not fit the copy, ERR_FULL or ERR_NOMEM
enum err rollout_recv(struct rollout *r, const char *from, uint64_t run,
		      enum rollout_msg type, const void *buf, size_t len,
		      int64_t now_ms);

/// A key-value store call completed.
void rollout_kv_done(struct rollout *r, const struct rollout_kv *res,
		     int64_t now_ms);

/// Replace the list of other nodes.
void rollout_set_members(struct rollout *r,
			 const struct rollout_member *members, size_t n);

/// A generation produced tokens; see sched_tokens().
enum err rollout_tokens(struct rollout *r, htab_handle run, uint64_t version,
			const uint32_t *tokens, size_t n, int64_t now_ms);

/// A generation ended; see sched_ended().
void rollout_ended(struct rollout *r, htab_handle run, enum sched_end end,
		   enum sample_finish finish, const char *server,
		   int64_t retry_after_ms, int64_t now_ms);

/// Set the share of a batch's slots that may be hedged.
///
/// @param percent  0 disables hedging
void rollout_set_hedge_percent(struct rollout *r, int percent);

/// Timer tick.
void rollout_tick(struct rollout *r, int64_t now_ms);

/// Reply to waiting pulls at once, as the node stops soon. It stays owner of
/// its trainers until it stops; then the backups take over.
void rollout_drain(struct rollout *r);

/// Whether the node may stop: no request is in flight, and a backup has a
/// complete copy of each open batch.
bool rollout_may_stop(const struct rollout *r);

enum rollout_role {
	ROLLOUT_ROLE_NONE,
	ROLLOUT_ROLE_CLAIMING,
	ROLLOUT_ROLE_OWNER,
	ROLLOUT_ROLE_BACKUP, ///< holds a complete copy
};

/// Role of this node for a trainer.
///
/// @param epoch  of the record
enum rollout_role rollout_role(struct rollout *r, const char *team,
			       const char *trainer, uint64_t epoch);

struct rollout_stats {
	struct sched_stats sched;
	uint64_t takeovers;
	uint64_t ownerships_lost; ///< ownerships lost
	uint64_t delivered; ///< redeliveries included
	uint64_t acked; ///< samples
	uint64_t copy_bytes; ///< sent to backups
	size_t owned; ///< trainers
	size_t copies; ///< of other nodes' trainers
	size_t open_batches;
	size_t running; ///< generations
};

void rollout_stats(const struct rollout *r, struct rollout_stats *out);
