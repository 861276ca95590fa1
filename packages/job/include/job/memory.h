// Whether a node has the memory for a submitted batch. Pure.
//
// Load pattern: trainers submit batches far larger than usual at once, or ones of the same
// size with far more items. Each is parsed, kept with its submission's data, encoded for the
// store and sent there, all of which takes several times its size. A node that runs out of
// memory is ended, and what others have under way at it is lost.
#pragma once

#include <stddef.h>

#include "base/err.h"

struct job_memory {
	size_t limit; ///< bytes that all batches may take
	size_t value_max; ///< bytes of the store's largest value
};

/// Bytes that a submission takes until it is accepted, of which the larger part is given back
/// then. Depends on its text only, so that it is known before any of it is copied.
size_t job_memory_of_submission(const char *body, size_t len);

/// Bytes that the tables of a running batch take, beside its items as submitted.
size_t job_memory_of_run(size_t n_items);

/// Whether the store can keep a submission at all.
///
/// @return ERR_OK or ERR_TOO_LARGE
enum err job_memory_check_size(const struct job_memory *m, size_t len);

/// Decide whether there is room for a submission now.
///
/// @param used   bytes that batches take now
/// @param bytes  that it takes
/// @return ERR_OK or ERR_FULL
enum err job_memory_admit(const struct job_memory *m, size_t used,
			  size_t bytes);
