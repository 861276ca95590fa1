// Tracks whether an external system answers.
#include "base/contact.h"

bool contact_call_succeeded(struct contact *c, int64_t now, int64_t heard_ms)
{
	bool away = !c->answering_since_ms;
	bool blip = c->prev_up_since_ms &&
		    now - c->answered_ms < CONTACT_OUTAGE_MIN_MS;

	if (away)
		c->answering_since_ms = blip ? c->prev_up_since_ms : now;
	c->answered_ms = now;
	c->failures = 0;
	if (heard_ms > c->heard_ms)
		c->heard_ms = heard_ms;
	return away;
}

void contact_peer_report(struct contact *c, int64_t heard_ms)
{
	if (heard_ms > c->heard_ms)
		c->heard_ms = heard_ms;
}

bool contact_is_lost(const struct contact *c)
{
	return c->failures >= CONTACT_LOST_FAILURES;
}

bool contact_call_failed(struct contact *c)
{
	if (c->failures < CONTACT_LOST_FAILURES)
		c->failures++;
	if (!c->answering_since_ms)
		return false;
	c->prev_up_since_ms = c->answering_since_ms;
	c->answering_since_ms = 0;
	return true;
}
