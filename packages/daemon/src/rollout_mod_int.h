// State and functions shared by the files of module rollout.
#pragma once

#include "core/core.h"
#include "rollout/rollout.h"
#include "weights/weights.h"

enum {
	ROLLOUT_MAX_RUNS = 4096, ///< in flight
	ROLLOUT_MAX_QUEUED = 64, ///< limit of those without a first token
	ROLLOUT_MAX_MEMBERS = 512,
	ROLLOUT_RETRY_AFTER_MS = 500, ///< of a 503 reply without one
};

/// A generation in module work.
struct rollout_run {
	htab_handle handle; ///< of package rollout, 0 if free
	htab_handle work_handle; ///< of module work
	char team[BATCH_NAME_SIZE];
	char route[BATCH_NAME_SIZE];
	enum sample_finish finish;
};

/// Weight orders of this node's failure domain.
struct weights_state {
	struct weights *plan; ///< NULL unless the duty is held
	uint64_t epoch; ///< fencing number of the duty
	int64_t next_read_ms; ///< of the target
	int64_t next_poll_ms; ///< of the engines
};

struct rollout_mod {
	struct core *c;
	struct rollout *r;
	struct rollout_run runs[ROLLOUT_MAX_RUNS];
	struct rollout_stats counted; ///< already in the metrics
	struct weights_state weights;
};

/// Get the module's state.
struct rollout_mod *rollout_mod_state(struct core *c);

/// Carry out the queued actions.
void rollout_mod_apply_actions(struct rollout_mod *m);

// rollout_mod_http.c
enum err rollout_mod_http_init(struct core *c);
void rollout_mod_reply_accepted(struct core *c, const struct rollout_action *a);
void rollout_mod_reply_pull(struct core *c, const struct rollout_action *a);
void rollout_mod_reply_refused(struct core *c, const struct rollout_action *a);

// rollout_mod_run.c
void rollout_mod_start_run(struct rollout_mod *m,
			   const struct rollout_action *a);
enum err rollout_mod_run_init(struct core *c);
void rollout_mod_cancel_run(struct rollout_mod *m,
			    const struct rollout_action *a);

// rollout_mod_kv.c
void rollout_mod_start_kv(struct rollout_mod *m,
			  const struct rollout_action *a);

// rollout_mod_peer.c
enum err rollout_mod_peer_init(struct core *c);
void rollout_mod_send_peer(struct core *c, const struct rollout_action *a);
void rollout_mod_update_members(struct rollout_mod *m);
