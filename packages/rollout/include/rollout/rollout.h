// The rollout decisions of one node: events in, actions out.
//
// Each trainer's batches have one owner, which generates and hands out, and a
// backup with a whole copy. A record in the key-value store names both.
// Nothing is handed out before the backup has acknowledged it, so the backup
// can take over alone, and an owner that was replaced can't hand out.
#pragma once

#include "base/rng.h"
#include "rollout/pull.h"
#include "rollout/record.h"
#include "rollout/sched.h"

struct rollout;

enum rollout_msg {
	ROLLOUT_MSG_OP,
	ROLLOUT_MSG_ACK,
	ROLLOUT_MSG_REQUEST,
	ROLLOUT_MSG_REPLY,
	ROLLOUT_MSG_WHO,
	ROLLOUT_MSG_HERE,
	ROLLOUT_MSG_COUNT
};

/// Flaws for tests that show that a proof can fail.
enum rollout_flaw {
	ROLLOUT_SOUND,
	ROLLOUT_ANSWERS_EARLY, ///< hands out before the copies have it
	ROLLOUT_NO_FENCE, ///< goes on acknowledging to an owner it replaces
	ROLLOUT_NO_RECORD, ///< takes over without changing the record
	ROLLOUT_STALE_KEPT, ///< checks staleness when made, not when handed out
	ROLLOUT_ORDERED_VERSION, ///< names the trainer's version, not the engine's
};

struct rollout_opts {
	char node[BATCH_NAME];
	char domain[BATCH_NAME];
	char inc[RECORD_INC]; ///< incarnation of this process
	struct rng rng;
	struct sched_opts sched; ///< but for ops and ctx
	int64_t answer_ms; ///< longest time to answer, waits of pulls apart
	enum rollout_flaw flaw; ///< ROLLOUT_SOUND outside tests
};

/// Another node, as the membership shows it.
struct rollout_member {
	char id[BATCH_NAME];
	char domain[BATCH_NAME];
	bool alive; ///< false once it is dead, not when it is suspected
	bool draining;
};

enum rollout_action_kind {
	ROLLOUT_SEND, ///< message to a node
	ROLLOUT_KV_GET,
	ROLLOUT_KV_PUT,
	ROLLOUT_TAKEN, ///< answer of a POST
	ROLLOUT_PULLED, ///< answer of a pull
	ROLLOUT_REFUSED, ///< answer of either
	ROLLOUT_RUN, ///< start a generation
	ROLLOUT_CANCEL, ///< cancel it
	ROLLOUT_USED, ///< count use of a team
};

struct rollout_action {
	enum rollout_action_kind kind;
	char node[BATCH_NAME]; ///< SEND
	enum rollout_msg msg; ///< SEND
	void *buf; ///< SEND: owned
	size_t len; ///< bytes
	uint32_t call; ///< KV_GET, KV_PUT: for rollout_kv()
	char key[RECORD_KEY]; ///< KV_GET, KV_PUT
	char *value; ///< KV_PUT, RUN (request): owned
	uint64_t prev_rev; ///< KV_PUT; 0: must not exist
	uint64_t caller; ///< TAKEN, PULLED, REFUSED
	uint64_t slots; ///< TAKEN
	bool known; ///< TAKEN: it was taken before
	struct pull_reply pull; ///< PULLED: owned
	enum err err; ///< REFUSED
	int64_t retry_after_ms; ///< REFUSED
	htab_handle run; ///< RUN, CANCEL
	char team[BATCH_NAME]; ///< RUN, USED
	char route[BATCH_NAME]; ///< RUN
	char avoid[SAMPLE_SERVER]; ///< RUN
	uint64_t cost; ///< RUN: expected tokens
	uint64_t prefix; ///< RUN: hash of the prompt's prefix
	uint64_t samples; ///< USED
	uint64_t tokens; ///< USED
	struct rollout_action *next;
};

/// Answer of the key-value store.
struct rollout_kv {
	uint32_t call;
	enum err err; ///< ERR_OK, ERR_NOT_FOUND, ERR_KV_CONFLICT, others:
		///< unknown
	const char *value; ///< of a GET
	size_t len; ///< bytes
	uint64_t rev;
};

/// @return node's decisions, NULL when out of memory
struct rollout *rollout_new(const struct rollout_opts *opts);

/// Free everything; nothing is sent.
///
/// @param r  decisions or NULL
void rollout_free(struct rollout *r);

/// Next action to carry out.
///
/// @return action for rollout_action_free(), NULL when there is none
struct rollout_action *rollout_next(struct rollout *r);

/// @param a  action or NULL
void rollout_action_free(struct rollout_action *a);

/// A trainer sent a batch.
///
/// @param caller  names the call in actions
/// @param batch   taken over
void rollout_post(struct rollout *r, uint64_t caller, struct batch *batch,
		  int64_t now_ms);

/// A trainer pulls.
///
/// @param pull  what it holds is taken over
void rollout_pull(struct rollout *r, uint64_t caller, struct pull *pull,
		  int64_t now_ms);

/// A caller went away before it was answered.
void rollout_abort(struct rollout *r, uint64_t caller);

/// A message of another node came.
///
/// @return ERR_OK or ERR_PARSE
enum err rollout_recv(struct rollout *r, const char *from,
		      enum rollout_msg type, const void *buf, size_t len,
		      int64_t now_ms);

/// The key-value store answered.
void rollout_kv_done(struct rollout *r, const struct rollout_kv *res,
		     int64_t now_ms);

/// Who is there; replaces what was known.
void rollout_members(struct rollout *r, const struct rollout_member *members,
		     size_t n);

/// Tokens of a generation; see sched_tokens().
enum err rollout_tokens(struct rollout *r, htab_handle run, uint64_t version,
			const uint32_t *tokens, size_t n, int64_t now_ms);

/// A generation ended; see sched_ended().
void rollout_ended(struct rollout *r, htab_handle run, enum sched_end end,
		   enum sample_finish finish, const char *server,
		   int64_t retry_after_ms, int64_t now_ms);

/// Set the share of a batch's slots that may be hedged.
///
/// @param percent  0 for none
void rollout_set_hedges(struct rollout *r, int percent);

/// Time passed.
void rollout_tick(struct rollout *r, int64_t now_ms);

/// Answer waiting pulls at once: the node ends soon. What it owns stays here
/// until it is gone; then the backups take over.
void rollout_drain(struct rollout *r);

/// Whether the node may end: no call waits, and a backup has a whole copy of
/// each open batch.
bool rollout_idle(const struct rollout *r);

enum rollout_role {
	ROLLOUT_NONE,
	ROLLOUT_CLAIMS, ///< becoming the owner
	ROLLOUT_OWNS,
	ROLLOUT_COPIES, ///< holds a whole copy
};

/// What a node is for a trainer.
///
/// @param epoch  of the record
enum rollout_role rollout_role(struct rollout *r, const char *team,
			       const char *trainer, uint64_t epoch);

struct rollout_stats {
	struct sched_stats sched;
	uint64_t takeovers; ///< of another node's trainers
	uint64_t deposed; ///< trainers that another node took over
	uint64_t handed; ///< samples handed out, again ones included
	uint64_t acked; ///< samples
	uint64_t copy_bytes; ///< sent to backups
	size_t owned; ///< trainers
	size_t copies; ///< of other nodes' trainers
	size_t open_batches;
	size_t running; ///< generations
};

void rollout_stats(const struct rollout *r, struct rollout_stats *out);
