// Generations: admission, token streaming, resume and cancellation.
#pragma once

#include <sys/types.h>

#include "engine.h"

struct json_t;

/// Start a generation.
///
/// @param body      request body
/// @param fd        socket of the caller's connection
/// @param[out] out  stream, owned by the engine; NULL with status 0
/// @return HTTP status: 200, 400, or 0 when the engine is down after an overload
int stream_open(struct engine *e, const struct json_t *body, int fd,
		struct stream **out);

/// Wait for the next bytes of the response and copy them.
///
/// @return number of bytes, 0 at the end, -1 when the stream is aborted
ssize_t stream_read(struct engine *e, struct stream *s, char *buf, size_t max);

/// Free the stream and its slot.
void stream_close(struct engine *e, struct stream *s);

/// Cancel the generations with a request id, if any.
///
/// @return HTTP status: 200, or 400 if id is NULL
int stream_cancel(struct engine *e, const char *id);
