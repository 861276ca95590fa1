// State of module rollout and functions shared by its files.
#pragma once

#include "core/core.h"
#include "rollout/rollout.h"
#include "weights/weights.h"

enum {
	ROLLOUT_MAX_RUNS = 4096, ///< generations in flight
	ROLLOUT_MAX_QUEUED = 64, ///< limit of those without a first token
	ROLLOUT_MAX_MEMBERS = 512, ///< further members are ignored
	ROLLOUT_RETRY_AFTER_MS = 500, ///< default Retry-After of a 503 reply
};

/// A generation submitted to module work.
struct rollout_run {
	htab_handle handle; ///< of package rollout, 0 if the entry is free
	htab_handle work_handle; ///< of module work
	char team[BATCH_NAME_SIZE];
	char route[BATCH_NAME_SIZE];
	enum sample_finish finish; ///< of the engine's end line
};

/// Weight updates of the engines in this node's failure domain.
struct weights_state {
	struct weights *plan; ///< NULL unless the duty is held
	uint64_t epoch; ///< fencing number of the duty
	int64_t next_read_ms; ///< when to read the target version again
	int64_t next_poll_ms; ///< when to poll the engines again
};

/// State of module rollout.
struct rollout_mod {
	struct core *c;
	struct rollout *r;
	struct rollout_run runs[ROLLOUT_MAX_RUNS];
	struct rollout_stats counted; ///< already added to the metrics
	struct weights_state weights;
};

/// Get the module's state.
struct rollout_mod *rollout_mod_state(struct core *c);

/// Carry out the queued actions of package rollout.
void rollout_mod_apply_actions(struct rollout_mod *m);

// rollout_mod_http.c: register /v1/rollouts, and reply to its calls
enum err rollout_mod_http_init(struct core *c);
void rollout_mod_reply_accepted(struct core *c, const struct rollout_action *a);
void rollout_mod_reply_pull(struct core *c, const struct rollout_action *a);
void rollout_mod_reply_refused(struct core *c, const struct rollout_action *a);

// rollout_mod_run.c: start and cancel generations
void rollout_mod_start_run(struct rollout_mod *m,
			   const struct rollout_action *a);
enum err rollout_mod_run_init(struct core *c);
void rollout_mod_cancel_run(struct rollout_mod *m,
			    const struct rollout_action *a);

// rollout_mod_kv.c: start a store call
void rollout_mod_start_kv(struct rollout_mod *m,
			  const struct rollout_action *a);

// rollout_mod_peer.c: register and send messages, pass on the members
enum err rollout_mod_peer_init(struct core *c);
void rollout_mod_send_peer(struct core *c, const struct rollout_action *a);
void rollout_mod_update_members(struct rollout_mod *m);
