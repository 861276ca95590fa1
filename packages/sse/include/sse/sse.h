// Reads a stream of server-sent events (text/event-stream) piece by piece.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	SSE_EVENT_MAX = 1048576, ///< bytes of one event
};

/// A whole event, valid during the call.
struct sse_event {
	uint64_t id; ///< 0 if it has none
	const char *data; ///< lines joined by line feeds
	size_t len; ///< bytes
	uint64_t extra; ///< value of sse_opts.extra_field, 0 if absent
};

struct sse_opts {
	const char *extra_field; ///< field beside id and data, NULL for none
	/// @return false to ignore the rest of the stream
	bool (*on_event)(void *ctx, const struct sse_event *ev);
	void *ctx;
};

struct sse {
	struct sse_opts opts;
	char *buf; ///< bytes of a line that is not whole yet, then data
	size_t len;
	size_t cap;
	char *data;
	size_t data_len;
	size_t data_cap;
	bool has_data;
	uint64_t id;
	uint64_t extra;
	bool stopped;
};

void sse_init(struct sse *s, const struct sse_opts *opts);
void sse_free(struct sse *s);

/// Take bytes; calls on_event for each event that became whole.
///
/// @return ERR_OK, ERR_TOO_LARGE or ERR_NOMEM
enum err sse_feed(struct sse *s, const char *bytes, size_t len);

/// Whether the stream stands between two events: nothing is left over.
bool sse_clean(const struct sse *s);
