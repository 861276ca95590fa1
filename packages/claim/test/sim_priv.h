// Types and helpers of the simulation.
#pragma once

#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"
#include "claim/acquire.h"
#include "claim/shard.h"
#include "sim.h"
#include "sim_kv.h"

enum {
	NODE_COUNT = 3,
	CALL_COUNT = 6,
	REQUESTS_PER_CALL = 4,
	REQUEST_COUNT = CALL_COUNT * REQUESTS_PER_CALL,
	END_MS = 20000,
	DEADLINE_MS = 2000, ///< of a request
	KV_TIMEOUT_MS = 300,
	SHARD_WAIT_MS = 1000,
	TICK_MS = 20,
	BACKEND_FAULT_COUNT = 8, ///< of 12 draws; the others are OK
};

/// How the backend server handles an attempt.
enum backend_fault {
	BACKEND_REFUSE_CONNECTION, ///< nothing was sent
	BACKEND_RESET_BEFORE_RUN,
	BACKEND_RESET_AFTER_RUN,
	BACKEND_HANG_AFTER_RUN,
	BACKEND_HANG_WITHOUT_RUN,
	BACKEND_LATE_RUN, ///< runs after the deadline
	BACKEND_LATE_REPLY, ///< replies after the deadline
	BACKEND_SLOW, ///< runs after a while, replies
	BACKEND_OK,
};

struct node {
	struct sim *sim;
	struct claim_shard *shard;
	struct attempt_budget budget;
	bool crashed;
	int64_t partition_from_ms; ///< from the store and the other nodes
	int64_t partition_to_ms;
	uint64_t kv_call_id; ///< 0 for none
};

struct request {
	int call;
	int node;
	struct claim_acquire acquire;
	struct claim_request claim;
	struct attempt att;
	int64_t deadline_ms;
	bool started;
	bool in_flight;
	uint64_t attempt_id; ///< replies to older attempts are ignored
	bool finished; ///< replied, or its node crashed
	bool replied;
	enum run_state run;
	int runs;
};

struct kv_call {
	struct node *node;
	struct sim_kv_call call;
	uint64_t id;
	bool lose_reply;
};

struct sim {
	enum sim_variant v;
	struct sim_clock clock;
	/// Nodes share the first, except with SIM_NO_SHARED_CLAIMS.
	struct sim_kv kv[NODE_COUNT];
	struct node nodes[NODE_COUNT];
	struct request reqs[REQUEST_COUNT];
	int runs[CALL_COUNT];
	uint64_t next_id;
	struct sim_totals *totals;
};

struct message {
	struct node *node;
	struct request *req;
	enum claim_verdict verdict;
	struct claim_record outcome;
	int answer_call; ///< of an answer
	uint64_t attempt_id;
	enum backend_fault fault;
};

static inline uint64_t sim_random(struct sim *s, uint64_t n)
{
	return rng_below(&s->clock.rng, n);
}

static inline struct claim_time sim_claim_time(const struct sim *s)
{
	return (struct claim_time){s->clock.now_ms, 1000000 + s->clock.now_ms};
}

static inline bool node_is_partitioned(const struct node *n)
{
	int64_t t = n->sim->clock.now_ms;

	return n->crashed ||
	       (t >= n->partition_from_ms && t < n->partition_to_ms);
}

static inline struct sim_kv *node_kv(struct node *n)
{
	bool shared = n->sim->v != SIM_NO_SHARED_CLAIMS;

	return &n->sim->kv[shared ? 0 : n - n->sim->nodes];
}

// sim_node.c: a node's store calls and messages
extern const struct claim_shard_ops node_ops;
void kv_call_free(struct kv_call *k);
void on_kv_call(void *ctx, uint64_t arg);
void msg_send(struct node *from, struct node *to, sim_event_fn fn,
	      const struct message *m);
void on_verdict(void *ctx, uint64_t arg);
void on_verdict_self(void *ctx, uint64_t arg);
void on_claim_request(void *ctx, uint64_t arg);
void on_outcome(void *ctx, uint64_t arg);

// sim.c

/// Carry out a step of a request's claim.
void req_take_step(struct sim *s, struct request *r, enum claim_step step,
		   enum claim_verdict v, int answer_call);
