// Generates malformed HTTP requests from a seeded random generator.
#pragma once

#include <stddef.h>

#include "base/rng.h"

enum {
	MALFORM_MAX = 200000, ///< bytes of a request
	MALFORM_MAX_BODY =
		65536, ///< body size above which a request is too large
};

enum malform_kind {
	MALFORM_BYTES, ///< random bytes
	MALFORM_LINE, ///< bad request lines
	MALFORM_PATH, ///< paths too long or with bytes invalid in a URL
	MALFORM_HEADERS, ///< no colon, too long, too many, conflicting lengths
	MALFORM_FRAMING, ///< invalid chunks or transfer encodings
	MALFORM_CUT, ///< body shorter than its Content-Length
	MALFORM_LARGE, ///< body larger than MALFORM_MAX_BODY
	MALFORM_METHOD, ///< methods that no route supports
	MALFORM_JSON, ///< JSON bodies that the handlers reject
	MALFORM_KINDS
};

struct malform {
	char buf[MALFORM_MAX];
	size_t len; ///< bytes
};

/// Generate a request, replacing the buffer's content.
void malform_make(struct malform *w, enum malform_kind kind, struct rng *rng);
