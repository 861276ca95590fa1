// Test steps that submit and read batches; on an error the test fails.
#pragma once

#include "nodes.h"

enum {
	BATCH_ITEMS = 24, ///< of each batch
};

/// Submit a batch at a node, which must accept it (202).
void batch_submit(struct nodes *ns, const char *id, int node, int min_version);

/// Submit batches until a home node owns one: entry nodes that have just started
/// run batches themselves, without connections to homes.
void batch_wait_home_owner(struct nodes *ns, int64_t until_ms);

/// Read all results of a batch, each page from the next entry node.
///
/// @return array of results
json_t *batch_read_all(struct nodes *ns, const char *id, int64_t until_ms);

/// Assert that all entry nodes return the same results.
void batch_assert_same_results(struct nodes *ns, const char *id, json_t *seen);

/// Node that owns a batch according to its key in the store.
///
/// @return index, -1 if there is none
int batch_owner(struct nodes *ns, const char *batch);
