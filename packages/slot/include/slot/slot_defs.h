// Types of slot permits, shared by the coordinator that grants them and the
// nodes that hold them.
#pragma once

#include "slot/limit.h"

enum {
	SLOT_LIFETIME_MS = 2000, ///< lifetime of a permit without renewal
	SLOT_RENEW_MS = 700, ///< renewal interval
	SLOT_RENEW_MIN_MS = 60, ///< minimum interval when more slots are wanted
	SLOT_MAX_NODES = 64, ///< entry VMs of a failure domain
};

/// A node's request for slots of one server.
struct slot_ask {
	uint32_t seq; ///< increases with each request
	uint32_t acked; ///< `seq` of the newest permit that the node received
	uint16_t want; ///< slots that it could use, including those in use
	uint16_t in_use;
	uint32_t drain_ms; ///< maximum duration of its requests to the server
	uint16_t known; ///< `limit` of the newest permit, 0 if none
	struct slot_sample sample; ///< since the last request that was answered
};

/// Response: slots that the node may have in use.
struct slot_permit {
	uint32_t seq; ///< of the request
	uint16_t slots;
	uint16_t limit; ///< concurrency limit of the server, over all nodes
};
