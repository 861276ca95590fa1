// Data types of a batch: its items as submitted, and the results that are kept in
// the store.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "http/http.h"

enum {
	JOB_ID_BYTES = 128, ///< bytes of an id, including its NUL
	JOB_VERSIONS_MAX = 16, ///< weight versions of one sample
	JOB_ITEM_FIELDS_MAX = 64, ///< header fields of an item, as of a request
};

/// Request to the reward service that scores an item's text.
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
	const struct http_pair *headers; ///< as submitted
	size_t n_headers;
	const char *body;
	size_t body_len; ///< bytes
	int64_t tokens; ///< prompt plus longest output
	int64_t length_hint; ///< caller's estimate of the output tokens, 0: none
	struct job_reward reward;
	/// An earlier batch of the same team and model had this item; set by the
	/// node that runs the batch.
	bool carried;
};

/// A batch as its trainer submitted it.
struct job_spec {
	struct arena arena; ///< owns everything but id, host, path and team
	int64_t step;
	const char *model;
	uint64_t min_version; ///< oldest weight version that may generate
	int target_groups; ///< complete groups that the trainer waits for
	struct job_item *items;
	size_t n_items;
	/* Filled in by the node that accepts or loads the batch. */
	char id[JOB_ID_BYTES];
	char host[JOB_ID_BYTES]; ///< host of its route
	char path[JOB_ID_BYTES]; ///< path that it was submitted to
	char team[JOB_ID_BYTES];
	int64_t at_ms; ///< wall clock time of its submission
};

enum job_state {
	JOB_COMPLETED,
	JOB_ABANDONED, ///< given up; has no text
};

/// Final result of an item. Its position in the batch's list never changes.
struct job_result {
	const char *id;
	enum job_state state;
	const char *text;
	size_t text_len; ///< bytes
	uint64_t versions[JOB_VERSIONS_MAX]; ///< weights that made it, in order
	int n_versions;
	const char *score; ///< seal of the reward's answer, NULL: none
};

/// A page of results for a reader.
struct job_page {
	uint64_t total; ///< items of the batch
	uint64_t next; ///< position after the page
	const struct job_result *results;
	size_t n;
};

/// Whether text can be an id: visible ASCII of less than JOB_ID_BYTES.
bool job_id_valid(const char *text);

/// Whether text can be the id of a batch. It is a part of keys of the store, which are listed
/// by their first parts.
bool job_batch_id_valid(const char *text);

/// Expected output tokens of an item: its hint, or `tokens` without one.
int64_t job_item_expected_tokens(const struct job_item *it);

/// Tokens that an item is expected to hold in an engine's memory.
int64_t job_item_memory_tokens(const struct job_item *it);

/// Sum of job_item_expected_tokens() over the items of a batch.
int64_t job_spec_expected_tokens(const struct job_spec *s);

/// Expected length from which an item is among the longest of its batch.
///
/// @param share  of the items that count as longest, 0 to 1
/// @return tokens; INT64_MAX if the share is less than one item
int64_t job_spec_longest_threshold(const struct job_spec *s, double share);

/// Free a batch.
///
/// @param s  batch or NULL
void job_spec_free(struct job_spec *s);
