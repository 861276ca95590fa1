// Types and helpers that the files of the simulation share.
#pragma once

#include <stdlib.h>
#include <string.h>

#include "attempt/attempt.h"
#include "claim/ask.h"
#include "claim/shard.h"
#include "sim.h"
#include "sim_kv.h"

enum {
	NODES = 3,
	CALLS = 6,
	REPEATS = 4, ///< requests of one call, at most
	REQUESTS = CALLS * REPEATS,
	END_MS = 20000,
	DEADLINE_MS = 2000, ///< of a request
	KV_TIMEOUT_MS = 300,
	SHARD_WAIT_MS = 1000,
	TICK_MS = 20,
	DESK_FAULTS = 8, ///< of 12 draws, the rest run well
};

/// What meets an attempt at the desk.
enum desk_fault {
	DESK_REFUSE, ///< not sent
	DESK_RESET_BEFORE, ///< sent, no run
	DESK_RESET_AFTER, ///< run, no answer
	DESK_HANG, ///< run, silence
	DESK_SILENT, ///< sent into nothing, no run
	DESK_LATE_RUN, ///< runs after the deadline
	DESK_LATE_ANSWER, ///< answers after the deadline
	DESK_SLOW, ///< runs after a while, answers
	DESK_OK,
};

struct node {
	struct sim *sim;
	struct claim_shard *shard;
	struct attempt_budget budget;
	bool dead;
	int64_t cut_from; ///< from the store and the other nodes
	int64_t cut_to;
	uint64_t kv_wait; ///< call that is out, 0 for none
};

struct request {
	int call;
	int node;
	struct claim_ask ask;
	struct claim_request claim;
	struct attempt att;
	int64_t deadline_ms;
	bool begun;
	bool in_flight;
	uint64_t attempt_id; ///< answers of older attempts are ignored
	bool over; ///< answered or its node died
	bool told;
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
	struct sim_kv kv[NODES]; ///< one is used, but without shared claims
	struct node nodes[NODES];
	struct request reqs[REQUESTS];
	int runs[CALLS];
	uint64_t next_id;
	struct sim_totals *out;
};

struct message {
	struct node *node;
	struct request *req;
	enum claim_verdict verdict;
	struct claim_record note;
	int booking; ///< of an answer
	uint64_t attempt_id;
	enum desk_fault fault;
};

static inline uint64_t draw(struct sim *s, uint64_t n)
{
	return rng_below(&s->clock.rng, n);
}

static inline struct claim_time now(const struct sim *s)
{
	return (struct claim_time){s->clock.now, 1000000 + s->clock.now};
}

static inline bool node_cut(const struct node *n)
{
	int64_t t = n->sim->clock.now;

	return n->dead || (t >= n->cut_from && t < n->cut_to);
}

static inline struct sim_kv *node_kv(struct node *n)
{
	bool shared = n->sim->v != SIM_NO_SHARED_CLAIMS;

	return &n->sim->kv[shared ? 0 : n - n->sim->nodes];
}

// sim_node.c: a node's calls to the store, and messages between nodes
extern const struct claim_ops node_ops;
void kv_call_free(struct kv_call *k);
void kv_arrive(void *ctx, uint64_t arg);
void msg_send(struct node *from, struct node *to, sim_fn fn,
	      const struct message *m);
void on_verdict(void *ctx, uint64_t arg);
void on_verdict_self(void *ctx, uint64_t arg);
void on_ask(void *ctx, uint64_t arg);
void on_note(void *ctx, uint64_t arg);

// sim.c

/// Take the next step of a request's claim.
void req_step(struct sim *s, struct request *r, enum claim_step step,
	      enum claim_verdict v, int booking);
