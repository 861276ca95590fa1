// Messages between a relay and its followers, in msgpack.
#pragma once

#include <msgpack.h>

#include "base/arena.h"
#include "site/relay.h"

/// What a relay says beside the prefixes.
struct relay_word {
	uint64_t seq; ///< of the question
	int64_t held_ms; ///< time for which the relay held it
	bool store_there; ///< the store answers the relay
	int64_t store_there_ms; ///< for so long
};

/// Question of a follower.
struct relay_question {
	uint64_t seq;
	char addr[FOLLOW_NODE]; ///< where it takes messages
	uint64_t revs[RELAY_FEEDS];
};

/// What a relay knows of one prefix.
struct relay_part {
	bool known; ///< the relay has read the prefix
	int64_t age_ms; ///< of what it knows
	struct feed_news news;
};

void relay_ask_pack(msgpack_sbuffer *buf, const struct relay_question *q);

/// @return ERR_OK or ERR_PARSE
enum err relay_ask_read(const void *data, size_t len, struct relay_question *q);

/// Answer to a question.
void relay_news_pack(struct core *c, msgpack_sbuffer *buf,
		     const struct relay *r, const struct relay_ask *ask);

/// @param a           owns what parts point to
/// @param[out] parts  RELAY_FEEDS entries
/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
enum err relay_news_read(const void *data, size_t len, struct arena *a,
			 struct relay_word *word, struct relay_part *parts);
