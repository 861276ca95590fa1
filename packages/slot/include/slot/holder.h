// A node's slots on one backend server: permits that its steward granted.
#pragma once

#include "slot/slot_defs.h"

struct slot_holder {
	uint64_t steward; ///< hash of the steward that was asked last, 0: none
	uint32_t seq; ///< of the last ask
	int64_t sent_ms; ///< of the last ask
	bool answered; ///< the last ask was
	uint32_t permit_seq; ///< ask of the newest permit
	int slots; ///< of the newest permit
	int64_t expires_ms; ///< that it holds
	int in_use;
	uint16_t known; ///< limit that the last permit told
	struct slot_sample sample; ///< not yet told, or told without an answer
	struct slot_sample sent_sample;
};

/// How a request on a slot ended.
enum slot_outcome {
	SLOT_OK,
	SLOT_ERROR, ///< the server refused, broke off or kept silent
	SLOT_CANCELLED, ///< says nothing of the server
};

/// Slots that new work may take now.
int slot_holder_free(const struct slot_holder *h, int64_t now);

/// Take a slot for new work.
///
/// @return false when none is free; the request must not be sent
bool slot_holder_take(struct slot_holder *h, int64_t now);

/// Give a slot back.
///
/// @param ms  duration of the request
void slot_holder_put(struct slot_holder *h, enum slot_outcome o, uint32_t ms);

/// Whether to ask now, and what. A node asks one steward at a time: after a
/// change it waits until what the former one granted can't be used any more.
///
/// @param steward  hash of the steward's run, 0 for none
/// @param want     slots that could be used, those in use included
/// @param drain_ms longest time that a request takes
/// @param[out] ask  to be sent if true is returned
bool slot_holder_ask(struct slot_holder *h, int64_t now, uint64_t steward,
		     int want, uint32_t drain_ms, struct slot_ask *req);

/// Take a permit; one for an older ask is ignored.
void slot_holder_permit(struct slot_holder *h, const struct slot_permit *p);
