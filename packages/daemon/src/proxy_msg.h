// Messages of store calls through a peer, in msgpack.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "base/htab.h"
#include "wire/store.h"

struct proxy_request {
	uint64_t seq;
	const char *addr; ///< "IP:port" of the requesting node
	struct kv_call call;
};

void proxy_request_pack(msgpack_sbuffer *buf,
			const struct proxy_request *request);

/// Unpack a request.
///
/// @param a  owns what the request points to
/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
enum err proxy_request_unpack(const void *data, size_t len, struct arena *a,
			      struct proxy_request *request);

void proxy_reply_pack(msgpack_sbuffer *buf, uint64_t seq,
		      const struct kv_result *res);

enum err proxy_reply_unpack(const void *data, size_t len, struct arena *a,
			    uint64_t *seq, struct kv_result *res);
