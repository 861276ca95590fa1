// Compares the time that a request may need with what is left of the grace.
#include "front/stopping.h"

bool stopping_takes(const struct stopping *s, int64_t now, int64_t need_ms,
		    bool at_most_once)
{
	int64_t half_ms;

	if (s->end_ms == INT64_MAX)
		return true;
	half_ms = (s->end_ms - s->begun_ms) / 2;
	if (!at_most_once && need_ms > half_ms)
		need_ms = half_ms;
	return need_ms <= s->end_ms - now - STOPPING_MARGIN_MS;
}

bool stopping_answers_all(const struct stopping *s, int64_t now)
{
	return s->end_ms != INT64_MAX && now >= s->end_ms - STOPPING_ANSWER_MS;
}
