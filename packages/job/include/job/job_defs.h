// Types of batches that are kept in the platform's store.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"

enum {
	JOB_ID = 128, ///< bytes of an id with its NUL
	JOB_VERSIONS_MAX = 16, ///< weight versions of one sample
};

struct job_header {
	const char *name;
	const char *value;
};

/// Request whose answer rates an item's text.
struct job_reward {
	const char *id; ///< NULL: the item's text needs no reward
	const char *host;
	const char *path;
	const char *body;
	size_t body_len; ///< bytes
};

/// One generation of a batch.
struct job_item {
	const char *id;
	const char *path; ///< at the engine
	const char *group; ///< items of a group share their prompt
	const struct job_header *headers;
	size_t n_headers;
	const char *body;
	size_t body_len; ///< bytes
	int64_t tokens; ///< prompt and longest output
	int64_t length_hint; ///< the caller's guess of the output, 0 for none
	struct job_reward reward;
	/// An earlier batch of the team and model had it; set by the node that runs
	/// the batch.
	bool carried;
};

/// A batch as its trainer handed it in.
struct job_spec {
	struct arena arena; ///< owns all of it but id, host and team
	int64_t step;
	const char *model;
	uint64_t min_version; ///< oldest weights that may generate
	int target_groups; ///< complete groups that the trainer waits for
	struct job_item *items;
	size_t n_items;
	/* Filled in by the node that takes or loads the batch. */
	char id[JOB_ID];
	char host[JOB_ID]; ///< of its route
	char path[JOB_ID]; ///< at which it was handed in
	char team[JOB_ID];
	int64_t at_ms; ///< wall clock of its submission
};

enum job_state {
	JOB_COMPLETED,
	JOB_ABANDONED, ///< given up; has no text
};

/// What became of an item, at a position of its batch for good.
struct job_result {
	const char *id;
	enum job_state state;
	const char *text;
	size_t text_len; ///< bytes
	uint64_t versions[JOB_VERSIONS_MAX]; ///< weights that made it, in order
	int n_versions;
	const char *score; ///< seal of the reward's answer, NULL for none
};

/// A page of results for a reader.
struct job_page {
	uint64_t total; ///< items of the batch
	uint64_t next; ///< position after the page
	const struct job_result *results;
	size_t n;
};

/// Tokens that an item is expected to make, by its hint where it has one.
int64_t job_item_length(const struct job_item *it);

/// Tokens that an item is expected to hold in an engine's memory.
int64_t job_item_memory(const struct job_item *it);

/// Tokens that the items of a batch are expected to make, by their hints where
/// there are some.
int64_t job_spec_work(const struct job_spec *s);

/// Expected length from which items belong to a part of the batch that are its longest.
///
/// @param part  0 to 1
/// @return tokens; more than any item has for a part of none
int64_t job_spec_longest(const struct job_spec *s, double share);

/// Free a batch.
///
/// @param s  batch or NULL
void job_spec_free(struct job_spec *s);
