// Generations: admission, the token stream, resume and cancel.
#pragma once

#include <sys/types.h>

#include "engine.h"

struct json_t;

/// Take a generation in.
///
/// @param body      the request
/// @param fd        socket of the caller's connection
/// @param[out] out  stream, owned by the engine
/// @return HTTP status: 200, 400, or 0 when the engine fell over
int stream_open(struct engine *e, const struct json_t *body, int fd,
		struct stream **out);

/// Wait for and copy the next bytes of the answer.
///
/// @return bytes, 0 at the end, -1 when the stream breaks
ssize_t stream_read(struct engine *e, struct stream *s, char *buf, size_t max);

/// Give the stream's slot back.
void stream_close(struct engine *e, struct stream *s);

/// Cancel by request id.
///
/// @return HTTP status
int stream_cancel(struct engine *e, const char *id);
