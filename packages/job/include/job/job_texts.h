// Unfinished texts of a batch as a value in the store, for the node that resumes the
// batch when its owner is lost.
//
// Load pattern: nodes are killed while long generations run. Without their texts those
// start over, and the whole step waits for them.
#pragma once

#include "base/err.h"
#include "job/job_run.h"

/// Encode texts that are not listed and either complete or so long that generating
/// them again would cost more than storing them.
///
/// @param max_bytes  limit on the texts' bytes; longer ones are stored first
/// @return JSON text, free with free(); NULL when there is none to save, or out of
///         memory
char *job_texts_encode(const struct job_run *r, const struct job_spec *spec,
		       size_t max_bytes);

/// Restore the texts of such a value into a run.
///
/// @param[out] n  items that got a text
/// @return ERR_OK, or ERR_PARSE for a value that is not a JSON array
enum err job_texts_decode(struct job_run *r, const char *value, size_t len,
			  int *n);
