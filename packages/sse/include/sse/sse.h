// Incremental parser for server-sent events (text/event-stream).
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	SSE_EVENT_MAX_BYTES =
		1048576, ///< bytes of a line or of an event's data
};

/// A complete event, valid during the callback.
struct sse_event {
	uint64_t id; ///< 0 if it has none
	const char *data; ///< data lines joined by line feeds
	size_t len; ///< bytes
	uint64_t extra; ///< value of sse_opts.extra_field, 0 if absent
};

struct sse_opts {
	const char *extra_field; ///< another numeric field, NULL for none
	/// @return false to ignore the rest of the stream
	bool (*on_event)(void *ctx, const struct sse_event *ev);
	void *ctx;
};

struct sse {
	struct sse_opts opts;
	char *line; ///< the current, incomplete line
	size_t line_len;
	size_t line_cap;
	char *data; ///< data lines of the current event
	size_t data_len;
	size_t data_cap;
	bool has_data;
	uint64_t id;
	uint64_t extra;
	bool stopped;
};

void sse_init(struct sse *s, const struct sse_opts *opts);
void sse_free(struct sse *s);

/// Parse more bytes of the stream; calls on_event for each complete event.
///
/// @return ERR_OK, ERR_TOO_LARGE (beyond SSE_EVENT_MAX_BYTES) or ERR_NOMEM
enum err sse_feed(struct sse *s, const char *bytes, size_t len);

/// Whether the bytes so far end with a complete event.
bool sse_at_event_end(const struct sse *s);
