// Malformed HTTP requests, made from a seed.
#pragma once

#include <stddef.h>

#include "base/rng.h"

enum {
	MALFORM_MAX = 200000, ///< bytes of a request
	MALFORM_MAX_BODY = 65536, ///< larger bodies are made as too large
};

enum malform_kind {
	MALFORM_BYTES, ///< random bytes
	MALFORM_LINE, ///< bad request lines
	MALFORM_PATH, ///< paths too long, or with bytes that no URL holds
	MALFORM_HEADERS, ///< no colon, too long, too many, clashing lengths
	MALFORM_FRAMING, ///< bad chunks
	MALFORM_CUT, ///< the body ends early
	MALFORM_LARGE, ///< the body is too large
	MALFORM_METHOD, ///< methods that nobody serves
	MALFORM_JSON, ///< bodies that the modules refuse
	MALFORM_KINDS
};

struct malform {
	char buf[MALFORM_MAX];
	size_t len; ///< bytes
};

/// Make a request.
void malform_make(struct malform *w, enum malform_kind kind, struct rng *rng);
