// Identity of a request: what stays the same when a caller sends it again.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Hash of method, host, path, query, team and body; 0 in both halves for none.
struct suspect_id {
	uint64_t high, low;
};

/// Parts of a request, texts that are not NULL.
struct suspect_parts {
	const char *method;
	const char *host;
	const char *path;
	const char *query;
	const char *team; ///< "" without a key
	const char *body; ///< NULL if empty
	size_t body_len; ///< bytes
};

/// Identity of a request, never 0.
struct suspect_id suspect_identify(const struct suspect_parts *p);

static inline bool suspect_same(struct suspect_id a, struct suspect_id b)
{
	return a.high == b.high && a.low == b.low;
}
