// Types shared by the simulation's source files.
#pragma once

#include "sim.h"

enum {
	SIM_EVENTS = 65536,
	SIM_RUNS = 4096,
	SIM_KEY_REVS = 8,
};

enum sim_event_kind {
	SIM_TICK,
	SIM_MSG,
	SIM_KV_ARRIVE,
	SIM_KV_ANSWER,
	SIM_RUN,
	SIM_TRAINER,
	SIM_ANSWER,
	SIM_FAULT,
	SIM_SWAP,
};

struct sim_event {
	int64_t at_ms;
	uint64_t order;
	enum sim_event_kind kind;
	int node; ///< receiver
	uint64_t incarnation; ///< of the receiver; older events are dropped
	int from;
	uint64_t from_incarnation;
	struct rollout_action *action; ///< owned
	struct rollout_kv kv;
	char *value; ///< of kv, owned
	int run;
	int conn; ///< of the trainer
	uint64_t call;
};

struct sim_node {
	struct rollout *r;
	uint64_t incarnation;
	int64_t paused_until_ms;
	bool draining;
	int64_t drain_end_ms; ///< stops at this time
	int side; ///< of the partition
	int64_t last_heard_ms[SIM_NODES]; ///< by node
	int64_t restart_ms; ///< restarts at this time, 0 if up
};

struct sim_engine {
	uint64_t version;
	int token_ms;
};

struct sim_run_state {
	bool used;
	int node;
	uint64_t incarnation;
	htab_handle handle;
	int engine;
	uint64_t prompt;
	uint64_t seed;
	size_t pos;
	size_t stop;
	size_t max;
	bool hangs;
	bool refused;
	int lines_to_break; ///< lines until it breaks, -1 for never
};

/// State of a slot at the trainer and for the checks.
struct sim_slot {
	bool received; ///< received in this trainer session
	bool ack_sent;
	bool ack_confirmed; ///< a pull that acknowledged it got a reply
	int64_t ack_confirmed_ms;
	bool delivered; ///< delivered: its content must not change
	bool lost; ///< declared lost by the trainer
	uint64_t content;
	char expired[BATCH_SLOT_NAME_SIZE]; ///< reported if lost, or ""
};

/// One connection of the trainer.
struct sim_conn {
	bool busy;
	uint64_t call;
	int64_t begin_ms;
	uint64_t session;
	uint64_t version;
	bool post;
	bool acks[SIM_SLOTS];
	bool lost_reported[SIM_SLOTS];
	int node;
};

struct sim_trainer {
	uint64_t session;
	uint64_t version;
	int batch; ///< index of the current batch
	bool posted;
	int received;
	int64_t down_until_ms;
	struct sim_conn conns[2];
	struct sim_slot slots[SIM_SLOTS];
};

struct sim_kv {
	bool found;
	char key[RECORD_KEY_SIZE];
	char value[512];
	uint64_t rev;
	int side;
	int64_t down_until_ms;
	int puts; ///< writes in flight
};

struct sim {
	struct sim_opts opts;
	struct rng rng;
	int64_t now_ms;
	uint64_t order;
	struct sim_event *heap[SIM_EVENTS];
	size_t n;
	struct sim_node nodes[SIM_NODES];
	struct sim_engine engines[SIM_ENGINES];
	struct sim_run_state runs[SIM_RUNS];
	struct sim_kv kv;
	struct sim_trainer trainer;
	uint64_t next_call;
	uint64_t ordered_version; ///< weight version ordered
	struct sim_result res;
};

// sim.c
bool sim_paused(const struct sim *s, int node);
struct sim_event *sim_event_add(struct sim *s, int64_t delay_ms,
				enum sim_event_kind kind);
bool sim_chance(struct sim *s, int percent);
void sim_run_actions(struct sim *s, int node);

// sim_net.c
void sim_net_send(struct sim *s, int from, struct rollout_action *a);
void sim_net_deliver(struct sim *s, struct sim_event *ev);
void sim_kv_call(struct sim *s, int from, struct rollout_action *a);
void sim_kv_arrive(struct sim *s, struct sim_event *ev);
void sim_kv_answer(struct sim *s, struct sim_event *ev);
void sim_update_members(struct sim *s, int node);
void sim_fault(struct sim *s);
bool sim_survives_loss(const struct sim *s, int node);
void sim_node_start(struct sim *s, int node);
void sim_node_kill(struct sim *s, int node);

// sim_engine.c
uint32_t sim_token(uint64_t prompt, uint64_t seed, size_t pos,
		   uint64_t version);
uint64_t sim_prompt(int batch, int group);
size_t sim_stop_length(uint64_t prompt, uint64_t seed);
void sim_run_start(struct sim *s, int node, const struct rollout_action *a);
void sim_run_cancel(struct sim *s, int node, htab_handle handle);
void sim_run_step(struct sim *s, const struct sim_event *ev);
void sim_swap_weights(struct sim *s);

// sim_trainer.c
void sim_trainer_step(struct sim *s, int conn);
void sim_trainer_answer(struct sim *s, struct sim_event *ev);
void sim_trainer_reply(struct sim *s, int node, struct rollout_action *a);
