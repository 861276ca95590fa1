// Fake trainer: posts one batch and pulls all samples.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	TRAINER_NODES_MAX = 16,
	TRAINER_PROMPT_TOKENS = 48, ///< per prompt
};

struct trainer_opts {
	const char *nodes[TRAINER_NODES_MAX]; ///< URLs
	int n_nodes;
	const char *key; ///< API key, "" for none
	const char *route;
	const char *trainer;
	const char *batch;
	int step;
	int groups;
	int group_size; ///< slots per group
	int max_tokens;
	int version; ///< initial
	int max_staleness; ///< most weight versions that a sample lags
	int session;
	int max_samples; ///< samples per pull
	int wait_ms; ///< of a pull
	int bump_every; ///< samples per version increment, 0: none
	int run_timeout_ms;
	uint64_t seed;
	const char *earlier_file; ///< output file of an earlier session or ""
};

struct trainer_slot {
	bool received;
	bool ack_sent; ///< in the pull in flight
	bool acked; ///< a pull that carried it succeeded
	uint64_t content; ///< hash of tokens and segments
	char expired[96]; ///< name to report if lost, "" for none
};

struct trainer {
	struct trainer_opts opts;
	int node; ///< current index
	int version; ///< current weight version
	int n_received;
	bool done; ///< daemon reported all samples as acknowledged
	int violations;
	int failovers; ///< to the next node
	int redeliveries;
	struct trainer_slot *slots;
};

/// Run the batch and print a JSON summary.
///
/// @return true if complete and without violations
bool trainer_run(struct trainer *t);

/// Prompt of a group.
///
/// @param[out] prompt  TRAINER_PROMPT_TOKENS tokens
void trainer_prompt(const struct trainer *t, int group, uint32_t *prompt);

/// Parse a slot name.
///
/// @return index, -1 if invalid
int trainer_slot(const struct trainer *t, const char *name);

/// Count a violated guarantee; prints a JSON line.
void trainer_violation(struct trainer *t, const char *slot, const char *what);
