// Steps of the tests with batches; they fail the test that calls them.
#pragma once

#include "nodes.h"

enum {
	BATCH_ITEMS = 24, ///< of each batch
};

/// Hand a batch in; it is taken.
void batch_submit(struct nodes *ns, const char *id, int at, int min_version);

/// Hand batches in until a home runs one: nodes that have just started run theirs
/// themselves, for want of connections to homes.
void batch_wait_homes(struct nodes *ns, int64_t until_ms);

/// Read a batch to its end, at one node after the other; every position stays as
/// it was read first.
///
/// @return array of results
json_t *batch_read_all(struct nodes *ns, const char *id, int64_t until_ms);

/// All nodes give the same results.
void batch_same_everywhere(struct nodes *ns, const char *id, json_t *seen);

/// Node that runs a batch, as its key in the store says.
///
/// @return index, -1 if there is none
int batch_owner(struct nodes *ns, const char *batch);
