// A growing list of slot indices.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

struct slots {
	uint32_t *v;
	size_t n;
	size_t cap;
};

/// Append an index.
///
/// @return ERR_OK or ERR_NOMEM
enum err slots_add(struct slots *s, uint32_t slot);

/// Append indices from a buffer that need not be aligned.
///
/// @param len  bytes
/// @return ERR_OK or ERR_NOMEM
enum err slots_add_all(struct slots *s, const void *data, size_t len);

/// Free the list and reset it.
void slots_clear(struct slots *s);
