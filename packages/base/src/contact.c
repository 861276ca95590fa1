// Tracks whether an external system answers.
#include "base/contact.h"

bool contact_good(struct contact *c, int64_t now, int64_t heard_ms)
{
	bool away = !c->back_ms;
	bool blip =
		c->prev_up_since_ms && now - c->answered_ms < CONTACT_BLIP_MS;

	if (away)
		c->back_ms = blip ? c->prev_up_since_ms : now;
	c->answered_ms = now;
	c->failures = 0;
	if (heard_ms > c->heard_ms)
		c->heard_ms = heard_ms;
	return away;
}

void contact_told(struct contact *c, int64_t heard_ms)
{
	if (heard_ms > c->heard_ms)
		c->heard_ms = heard_ms;
}

bool contact_away(const struct contact *c)
{
	return c->failures >= CONTACT_AWAY_CALLS;
}

bool contact_bad(struct contact *c)
{
	if (c->failures < CONTACT_AWAY_CALLS)
		c->failures++;
	if (!c->back_ms)
		return false;
	c->prev_up_since_ms = c->back_ms;
	c->back_ms = 0;
	return true;
}
