// Takeover decision and choice of the home node.
#include "job/takeover.h"

#include <string.h>
#include <xxhash.h>

bool job_takeover_allowed(const struct job_takeover *t)
{
	if (t->own)
		return true;
	if (t->watched && t->owner_rev <= t->lost_rev &&
	    t->store_ms >= JOB_STORE_SETTLE_MS)
		return true;
	return t->settled && t->suspected;
}

int job_home_choose(const char *team, const struct job_home *homes, size_t n)
{
	uint64_t seed = XXH64(team, strlen(team), 0);
	uint64_t best_score = 0;
	int best = -1;

	for (size_t i = 0; i < n; i++) {
		uint64_t score =
			XXH64(homes[i].node, strlen(homes[i].node), seed);

		if (!homes[i].usable || (best >= 0 && score <= best_score))
			continue;
		best = (int)i;
		best_score = score;
	}
	return best;
}
