// Types that the granting and the holding side of permits share.
#pragma once

#include "slot/limit.h"

enum {
	SLOT_LIFETIME_MS = 2000, ///< of a permit
	SLOT_RENEW_MS = 700, ///< interval of asking again
	SLOT_RENEW_MIN_MS = 60, ///< least interval when more is wanted
	SLOT_MAX_NODES = 64, ///< entry VMs of a failure domain
};

/// A node asks for slots of one server.
struct slot_ask {
	uint32_t seq; ///< grows with each ask
	uint32_t acked; ///< ask whose permit the node goes by
	uint16_t want; ///< slots that it could use, those in use included
	uint16_t in_use;
	uint32_t drain_ms; ///< longest time that a request of the node takes
	uint16_t known; ///< limit that the last permit told, 0 if none
	struct slot_sample sample; ///< since the last ask that was answered
};

/// The answer: slots that the node may have in use.
struct slot_permit {
	uint32_t seq; ///< of the ask
	uint16_t slots;
	uint16_t limit; ///< of the server, over all nodes
};
