// Types that the files of module rollout share.
#pragma once

#include "core/core.h"
#include "rollout/rollout.h"
#include "weights/weights.h"

enum {
	ROLLOUT_RUNS = 4096, ///< generations at once
	ROLLOUT_AHEAD = 64, ///< of them, without a token yet
	ROLLOUT_MEMBERS = 512,
	ROLLOUT_RETRY_AFTER_MS = 500,
};

/// A generation at the work module.
struct rollout_run {
	htab_handle run; ///< of the decisions, 0 when free
	htab_handle work;
	char team[BATCH_NAME_SIZE];
	char route[BATCH_NAME_SIZE];
	enum sample_finish finish;
};

/// Weight orders of this node's failure domain.
struct weights_state {
	struct weights *plan; ///< NULL unless the duty is held
	uint64_t epoch; ///< of the holding
	int64_t read_ms; ///< next read of the target
	int64_t look_ms; ///< next look at the engines
};

struct rollout_mod {
	struct core *c;
	struct rollout *r;
	struct rollout_run runs[ROLLOUT_RUNS];
	struct rollout_stats seen; ///< already in the metrics
	struct weights_state weights;
};

/// Module's state.
struct rollout_mod *rollout_mod_state(struct core *c);

/// Carry out what was decided.
void rollout_mod_act(struct rollout_mod *m);

// rollout_mod_http.c
enum err rollout_mod_http_start(struct core *c);
void rollout_mod_taken(struct core *c, const struct rollout_action *a);
void rollout_mod_pulled(struct core *c, const struct rollout_action *a);
void rollout_mod_refused(struct core *c, const struct rollout_action *a);

// rollout_mod_run.c
void rollout_mod_run(struct rollout_mod *m, const struct rollout_action *a);
enum err rollout_mod_run_start(struct core *c);
void rollout_mod_cancel(struct rollout_mod *m, const struct rollout_action *a);

// rollout_mod_kv.c
void rollout_mod_kv(struct rollout_mod *m, const struct rollout_action *a);

// rollout_mod_peer.c
enum err rollout_mod_peer_start(struct core *c);
void rollout_mod_send(struct core *c, const struct rollout_action *a);
void rollout_mod_members(struct rollout_mod *m);
