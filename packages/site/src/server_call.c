// Requests at a server: counts of those in flight, and health by their outcomes.
#include "server_table.h"

enum {
	/// After the first failure; doubles with each further failure.
	AVOID_FIRST_MS = 300,
	AVOID_DOUBLINGS = 3,
	REJECTION_PAUSE_MS = 150,
	/// Consecutive pauses that count as a failure.
	REJECTIONS_MAX = 10,
	/// Until a version that was still missing is expected again: a load may take longer
	/// while many servers load.
	EXPECT_RETRY_MS = 300,
	SERVER_BAD_STREAK = 2, ///< consecutive bad calls that eject a server
	/// Consecutive bad calls that eject a failure domain. Its servers are ejected
	/// before, so that the calls went to several.
	DOMAIN_BAD_STREAK = 3,
};

void site_server_begin(struct site_server *s, int64_t now)
{
	s->running++;
	s->sent_in_round++;
	site_limit_use(&s->limit, now);
	server_index_update_load(s);
}

void site_server_reserve(struct site_server *s, int64_t tokens)
{
	s->tokens += tokens;
}

void site_server_release(struct site_server *s)
{
	if (s->running > 0)
		s->running--;
	s->sent_in_round--;
	server_index_update_load(s);
}

int site_server_call_begin(struct site_servers *t, struct site_server *s,
			   int64_t now)
{
	struct site_health *d = site_domains_get(&t->domains, s->entry.domain);
	int probe = 0;

	if (site_health_begin(&s->health, now))
		probe |= SITE_PROBE_SERVER;
	if (d && site_health_begin(d, now))
		probe |= SITE_PROBE_DOMAIN;
	return probe;
}

bool site_server_call_end(struct site_servers *t, struct site_server *s,
			  int64_t now, enum site_outcome outcome, int probe)
{
	struct site_health *d = site_domains_get(&t->domains, s->entry.domain);
	int max_streak = outcome == SITE_CALL_NO_ANSWER ? 1 : SERVER_BAD_STREAK;

	if (d)
		site_health_end(d, now, outcome, DOMAIN_BAD_STREAK,
				probe & SITE_PROBE_DOMAIN);
	site_domains_recount(&t->domains);
	return site_health_end(&s->health, now, outcome, max_streak,
			       probe & SITE_PROBE_SERVER);
}

void site_server_end(struct site_server *s, int64_t now, bool ok)
{
	int shift;

	if (ok) {
		s->failures = 0;
		s->rejections = 0;
		s->avoid_until_ms = 0;
	} else {
		shift = s->failures < AVOID_DOUBLINGS ? s->failures
						      : AVOID_DOUBLINGS;
		s->avoid_until_ms = now + ((int64_t)AVOID_FIRST_MS << shift);
		s->failures++;
	}
	site_server_release(s);
}

void site_server_record_rejection(struct site_server *s, int64_t now,
				  uint64_t expected)
{
	struct site_weight_load *l = &s->load;

	if (expected && l->version == expected && now >= l->expected_from_ms)
		l->expected_from_ms = now + EXPECT_RETRY_MS;
	/* Not counted during a pause: those requests were in flight already. */
	if (now >= s->avoid_until_ms && ++s->rejections >= REJECTIONS_MAX) {
		s->rejections = 0;
		site_server_end(s, now, false);
		return;
	}
	if (s->avoid_until_ms < now + REJECTION_PAUSE_MS)
		s->avoid_until_ms = now + REJECTION_PAUSE_MS;
	site_server_release(s);
}
