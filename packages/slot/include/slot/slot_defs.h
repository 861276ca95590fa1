// Types shared by the coordinator of slots and the nodes that hold permits.
#pragma once

#include "slot/limit.h"

enum {
	SLOT_PERMIT_TTL_MS = 2000, ///< of a permit
	SLOT_RENEW_MS = 700, ///< renewal interval
	SLOT_RENEW_MIN_MS = 60, ///< if more slots are wanted
	SLOT_MAX_NODES = 64, ///< entry VMs of a failure domain
};

/// A node's request for slots of one server.
struct slot_request {
	uint32_t seq; ///< increases with each request
	uint32_t acked; ///< `seq` of the newest permit received
	uint16_t want; ///< could be used, including those in use
	uint16_t in_use;
	uint32_t drain_ms; ///< maximum duration of its requests
	uint16_t known; ///< `limit` of the newest permit, 0 if none
	struct slot_sample sample; ///< since the last request that was answered
};

/// Response: slots that the node may have in use.
struct slot_permit {
	uint32_t seq; ///< of the request
	uint16_t slots;
	uint16_t limit; ///< of the server, over all nodes
};
