// The trainer stand-in: one batch, pulled until every sample came.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	TRAINER_NODES = 16,
	TRAINER_PROMPT = 48, ///< tokens of each prompt
};

struct trainer_opts {
	const char *nodes[TRAINER_NODES]; ///< URLs
	int n_nodes;
	const char *key; ///< "" for none
	const char *route;
	const char *trainer;
	const char *batch;
	int step;
	int groups;
	int n; ///< slots a group
	int max_tokens;
	int version;
	int staleness;
	int session;
	int max; ///< samples a pull
	int wait_ms;
	int bump_every; ///< samples after which the version grows, 0 for never
	int limit_ms; ///< gives up after this
	uint64_t seed;
	const char *kept; ///< output of an earlier session, "" for none
};

struct trainer_slot {
	bool have;
	bool ack_sent; ///< in the pull that is under way
	bool acked; ///< a pull that carried the acknowledgement was answered
	uint64_t content; ///< hash of tokens and segments
	char expired[96]; ///< to be named when it is lost, "" for none
};

struct trainer {
	struct trainer_opts opts;
	int node; ///< index of the node in use
	int version; ///< weight version now
	int have; ///< samples
	bool done; ///< the daemon says that all is acknowledged
	int faults; ///< what was not as promised
	int moves; ///< changes of node
	int repeats; ///< samples that came again before their acknowledgement
	struct trainer_slot *slots;
};

/// Run the batch.
///
/// @return true when all is right
bool trainer_run(struct trainer *t);

/// Prompt of a group.
///
/// @param[out] prompt  TRAINER_PROMPT tokens
void trainer_prompt(const struct trainer *t, int group, uint32_t *prompt);

/// Slot of a name.
///
/// @return index, -1 for none
int trainer_slot(const struct trainer *t, const char *name);

/// Report a broken promise as a JSON line.
void trainer_fault(struct trainer *t, const char *slot, const char *what);
