// Encodes and decodes news of requests under which servers ended.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "base/err.h"
#include "suspect/identity.h"

enum {
	SUSPECT_MSG_NEWS_MAX = 256, ///< in a message
};

enum suspect_news_kind {
	SUSPECT_NEWS_ENDED, ///< it broke off at a server
	SUSPECT_NEWS_OUTLIVED, ///< the server is up; without a request
	SUSPECT_NEWS_CLEARED, ///< answered, or cleared by an operator
	SUSPECT_NEWS_BARRED,
	/// A server ended once more. Sent in messages of its own: earlier versions refuse
	/// the whole message.
	SUSPECT_NEWS_CONFIRMED,
	SUSPECT_NEWS_KINDS
};

struct suspect_news {
	enum suspect_news_kind kind;
	struct suspect_id id;
	const char *server; ///< id; "" without a server
	uint64_t
		started_ms; ///< incarnation of the server; of CONFIRMED: last trial
	int64_t age_ms; ///< of the event; of ENDED: since it was sent to the server
	int64_t seen_age_ms; ///< since the request came last
};

void suspect_msg_pack(msgpack_sbuffer *buf, const struct suspect_news *list,
		      size_t n);

/// @param a          owns the ids of servers
/// @param[out] list  of SUSPECT_MSG_NEWS_MAX
/// @return ERR_OK or ERR_PARSE
enum err suspect_msg_read(const void *data, size_t len, struct arena *a,
			  struct suspect_news *list, size_t *n);
