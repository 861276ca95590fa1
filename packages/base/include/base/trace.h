// W3C trace context and spans (one for each hop), written as JSON lines.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	TRACE_PARENT_LEN = 55, ///< bytes of a traceparent without the NUL
};

struct trace_ctx {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	bool sampled;
};

struct span {
	struct trace_ctx ctx; ///< context of this span
	uint8_t parent[8]; ///< parent's span id, zero for a root
	const char *name; ///< static lifetime
	int64_t start_us; ///< wall clock, microseconds
};

/// Start a thread that writes spans to a file; spans are dropped until then.
///
/// @param path  file to append to, "-" for standard error
/// @return false when the file can't be opened
bool trace_open(const char *path);

/// Write the queued spans and stop the thread.
void trace_close(void);

/// Parse a traceparent header.
///
/// @param[out] ctx  context
/// @param value     header value, may be NULL
/// @return false when it is missing or malformed; ctx is then a new sampled root
bool trace_parse(struct trace_ctx *ctx, const char *value);

/// Format a traceparent header value.
///
/// @param ctx       context
/// @param[out] buf  TRACE_PARENT_LEN + 1 bytes
void trace_format(const struct trace_ctx *ctx, char *buf);

/// Begin a span as a child of a parent.
///
/// @param parent  parent's context
/// @param name    name of the hop, static lifetime
void span_begin(struct span *s, const struct trace_ctx *parent,
		const char *name);

/// End a span and queue its line. Never blocks; a full queue drops the span.
///
/// @param status  outcome, such as an err_code()
/// @param detail  `key=value` text without secrets, may be NULL
void span_end(const struct span *s, const char *status, const char *detail);
