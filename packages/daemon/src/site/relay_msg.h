// Messages between a relay and its followers, in msgpack.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "site/relay.h"

/// Part of a response that belongs to no prefix.
struct relay_status {
	uint64_t seq; ///< of the request
	int64_t held_ms; ///< time for which the relay held it
	bool store_answers; ///< the store answers the relay
	int64_t store_answers_ms; ///< for how long
};

/// Follower's request.
struct relay_request {
	uint64_t seq;
	char addr[FOLLOW_ID_MAX]; ///< of the follower, for messages
	uint64_t revs[RELAY_FEEDS];
};

/// Update of one prefix in a response.
struct relay_prefix_update {
	bool known; ///< the relay has read the prefix
	int64_t age_ms; ///< of its data
	struct feed_update news;
};

void relay_request_pack(msgpack_sbuffer *buf, const struct relay_request *q);

/// @return ERR_OK or ERR_PARSE
enum err relay_request_read(const void *data, size_t len,
			    struct relay_request *q);

/// Encode the response to a request.
void relay_response_pack(struct core *c, msgpack_sbuffer *buf,
			 const struct relay *r,
			 const struct relay_follower *follower);

/// Decode a response.
///
/// @param a              owns what prefixes point to
/// @param[out] prefixes  RELAY_FEEDS entries
/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
enum err relay_response_read(const void *data, size_t len, struct arena *a,
			     struct relay_status *status,
			     struct relay_prefix_update *prefixes);
