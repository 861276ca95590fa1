// Fake trainer: posts one batch and pulls until it has received every sample.
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
	const char *key; ///< API key, "" for none
	const char *route;
	const char *trainer;
	const char *batch;
	int step;
	int groups;
	int n; ///< slots per group
	int max_tokens;
	int version; ///< initial weight version
	int staleness; ///< largest allowed weight version lag of a sample
	int session;
	int max; ///< samples per pull
	int wait_ms; ///< long-poll time of a pull
	int bump_every; ///< samples per version increment, 0: never
	int limit_ms; ///< deadline of the whole run
	uint64_t seed;
	const char
		*kept; ///< file with an earlier session's output, "" for none
};

struct trainer_slot {
	bool have; ///< received
	bool ack_sent; ///< acknowledged in the pull in flight
	bool acked; ///< a pull with the acknowledgement succeeded
	uint64_t content; ///< hash of tokens and segments
	char expired[96]; ///< name to report as lost, "" for none
};

struct trainer {
	struct trainer_opts opts;
	int node; ///< index of the current node
	int version; ///< current weight version
	int have; ///< samples received
	bool done; ///< the daemon reported all samples as acknowledged
	int faults; ///< violated guarantees
	int moves; ///< failovers to the next node
	int repeats; ///< redelivered samples
	struct trainer_slot *slots;
};

/// Post the batch, pull all samples and print a summary as a JSON line.
///
/// @return true if all samples arrived and no guarantee was violated
bool trainer_run(struct trainer *t);

/// Prompt of a group, derived from the seed.
///
/// @param[out] prompt  TRAINER_PROMPT tokens
void trainer_prompt(const struct trainer *t, int group, uint32_t *prompt);

/// Parse a slot name, "gGROUP/SLOT".
///
/// @return slot index, -1 if invalid
int trainer_slot(const struct trainer *t, const char *name);

/// Count a violated guarantee and print it as a JSON line.
void trainer_fault(struct trainer *t, const char *slot, const char *what);
