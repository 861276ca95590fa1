// A node's slots on one backend server: permits from the coordinator.
#pragma once

#include "slot/slot_defs.h"

struct slot_holder {
	uint64_t coordinator; ///< hash of the last coordinator's id, 0: none
	uint32_t seq; ///< of the last request
	int64_t sent_ms; ///< of the last request
	bool answered; ///< the last request
	uint32_t permit_seq; ///< of the newest permit
	int slots; ///< of the newest permit
	int64_t expires_ms; ///< of the newest permit
	int in_use;
	uint16_t known; ///< `limit` of the newest permit
	struct slot_sample sample; ///< not yet sent, or sent without an answer
	struct slot_sample sent_sample; ///< part sent with the last request
};

/// How a request on a slot ended.
enum slot_outcome {
	SLOT_OK,
	SLOT_ERROR, ///< refused, reset or timed out by the server
	SLOT_CANCELLED, ///< tells nothing about the server
};

/// Free slots for new requests.
int slot_holder_available(const struct slot_holder *h, int64_t now);

/// Acquires a slot for a new request.
///
/// @return false when none is free; the request must not be sent
bool slot_holder_acquire(struct slot_holder *h, int64_t now);

/// Releases a slot.
///
/// @param ms  duration of the request, 0 if it says nothing, as for streams
void slot_holder_release(struct slot_holder *h, enum slot_outcome o,
			 uint32_t ms);

/// Builds a request to the coordinator if due. A node uses one coordinator at a
/// time: after a change it waits until the former one's permits have expired.
///
/// @param coordinator_hash  hash of its id, 0 for none
/// @param want              slots that could be used, including those in use
/// @param drain_ms          maximum duration of a request to the server
/// @param[out] req          to be sent
/// @return true if `req` must be sent
bool slot_holder_request(struct slot_holder *h, int64_t now,
			 uint64_t coordinator_hash, int want, uint32_t drain_ms,
			 struct slot_request *req);

/// Applies a permit; one for an earlier request is ignored.
void slot_holder_on_permit(struct slot_holder *h, const struct slot_permit *p);
