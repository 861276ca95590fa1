// Requests to home nodes and their replies, as msgpack messages.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "job/home.h"

void job_home_request_pack(msgpack_sbuffer *buf,
			   const struct home_request *request);

/// @param a  owns what request points to
/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
enum err job_home_request_read(const void *data, size_t len, struct arena *a,
			       struct home_request *request);

void job_home_reply_pack(msgpack_sbuffer *buf, const struct home_reply *reply);

enum err job_home_reply_read(const void *data, size_t len, struct arena *a,
			     struct home_reply *reply);
