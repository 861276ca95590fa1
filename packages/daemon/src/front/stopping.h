// Which requests a node that is stopping takes. No I/O and no clock.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	STOPPING_MARGIN_MS = 500, ///< for the answer to reach the caller
	/// Before its end a node answers what is still at a server: a request that is cut off
	/// leaves its caller waiting.
	STOPPING_ANSWER_MS = 300,
};

struct stopping {
	int64_t begun_ms; ///< when the node was told to stop
	int64_t end_ms; ///< when its process ends, INT64_MAX: not known, or not stopping
};

/// Whether a node takes a request that came now.
///
/// Load pattern: clients call a node until their balancer has noticed that it stops, and
/// those with open connections until they are closed. A request that must not be repeated
/// is taken only if all of its time is left; of one that may be, half of the grace is
/// enough, as it seldom needs its deadline.
///
/// @param need_ms  time that the request may need
bool stopping_takes(const struct stopping *s, int64_t now, int64_t need_ms,
		    bool at_most_once);

/// Whether requests at servers are to be answered now, whatever becomes of them.
bool stopping_answers_all(const struct stopping *s, int64_t now);
