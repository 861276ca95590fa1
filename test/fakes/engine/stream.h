// Generations: admission, token streaming, resume and cancellation.
#pragma once

#include <sys/types.h>

#include "engine.h"

struct json_t;

/// Start a generation.
///
/// @param body      request body
/// @param fd        socket of the caller's connection
/// @param[out] out  stream, owned by the engine
/// @return HTTP status: 200, 400, or 0 during an overload failure
int stream_open(struct engine *e, const struct json_t *body, int fd,
		struct stream **out);

/// Wait for and copy the next response bytes.
///
/// @return bytes, 0 at the end, -1 if aborted
ssize_t stream_read(struct engine *e, struct stream *s, char *buf, size_t max);

/// Free the stream and its slot.
void stream_close(struct engine *e, struct stream *s);

/// Cancel by request id.
///
/// @return HTTP status
int stream_cancel(struct engine *e, const char *id);
