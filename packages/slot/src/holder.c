// A node's slots on one backend server.
#include "slot/holder.h"

int slot_holder_available(const struct slot_holder *h, int64_t now)
{
	if (now >= h->expires_ms || h->in_use >= h->slots)
		return 0;
	return h->slots - h->in_use;
}

bool slot_holder_acquire(struct slot_holder *h, int64_t now)
{
	if (slot_holder_available(h, now) == 0)
		return false;
	h->in_use++;
	return true;
}

void slot_holder_release(struct slot_holder *h, enum slot_outcome o,
			 uint32_t ms)
{
	h->in_use--;
	if (o == SLOT_OK) {
		h->sample.ok_count++;
		h->sample.ok_sum_ms += ms;
	} else if (o == SLOT_ERROR) {
		h->sample.errors++;
	}
}

static bool holder_request_due(const struct slot_holder *h, int64_t now,
			       int want)
{
	int64_t elapsed_ms = now - h->sent_ms;

	if (h->seq == 0 || elapsed_ms >= SLOT_RENEW_MS)
		return true;
	return want > h->slots && elapsed_ms >= SLOT_RENEW_MIN_MS;
}

bool slot_holder_request(struct slot_holder *h, int64_t now,
			 uint64_t coordinator_hash, int want, uint32_t drain_ms,
			 struct slot_request *req)
{
	bool idle = want == 0 && h->in_use == 0 && h->slots == 0;

	if (coordinator_hash == 0 || idle)
		return false;
	if (coordinator_hash != h->coordinator) {
		if (h->coordinator && now - h->sent_ms < SLOT_PERMIT_TTL_MS)
			return false;
		h->coordinator = coordinator_hash;
		h->slots = 0;
	} else if (!holder_request_due(h, now, want)) {
		return false;
	}
	h->sent_ms = now;
	h->answered = false;
	h->sent_sample = h->sample;
	*req = (struct slot_request){
		.seq = ++h->seq,
		.acked = h->permit_seq,
		.want = (uint16_t)want,
		.in_use = (uint16_t)h->in_use,
		.drain_ms = drain_ms,
		.known = h->known,
		.sample = h->sample,
	};
	return true;
}

void slot_holder_on_permit(struct slot_holder *h, const struct slot_permit *p)
{
	if (p->seq != h->seq || h->answered)
		return;
	h->answered = true;
	h->permit_seq = p->seq;
	h->slots = p->slots;
	h->expires_ms = h->sent_ms + SLOT_PERMIT_TTL_MS;
	h->known = p->limit;
	h->sample.ok_count -= h->sent_sample.ok_count;
	h->sample.errors -= h->sent_sample.errors;
	h->sample.ok_sum_ms -= h->sent_sample.ok_sum_ms;
}
