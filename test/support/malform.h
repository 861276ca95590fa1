// Malformed HTTP requests from a seeded generator.
#pragma once

#include <stddef.h>

#include "base/rng.h"

enum {
	MALFORM_MAX = 200000, ///< bytes of a request
	MALFORM_MAX_BODY = 65536, ///< larger bodies are too large
};

enum malform_kind {
	MALFORM_BYTES, ///< random bytes
	MALFORM_REQUEST_LINE, ///< bad request lines
	MALFORM_PATH, ///< paths too long or with bytes invalid in a URL
	MALFORM_HEADERS, ///< no colon, too long, too many, conflicting lengths
	MALFORM_FRAMING, ///< invalid chunks or transfer encodings
	MALFORM_SHORT_BODY, ///< body ends early
	MALFORM_LARGE_BODY, ///< body too large
	MALFORM_METHOD, ///< unsupported methods
	MALFORM_JSON, ///< bodies that handlers reject
	MALFORM_KINDS
};

struct malform {
	char buf[MALFORM_MAX];
	size_t len; ///< bytes
};

/// Generate a request.
void malform_make(struct malform *w, enum malform_kind kind, struct rng *rng);
