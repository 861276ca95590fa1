// Counts the lists of a batch's records.
#include "job/list_share.h"

uint64_t list_share_next(const struct list_share *s)
{
	return s->begun + 1;
}

bool list_share_begin(struct list_share *s)
{
	if (s->in_flight)
		return false;
	s->in_flight = true;
	s->begun++;
	return true;
}

void list_share_end(struct list_share *s)
{
	s->in_flight = false;
}

bool list_share_covers(const struct list_share *s, uint64_t list)
{
	return s->begun - s->in_flight >= list;
}

bool list_share_should_watch(uint64_t rev, int64_t wait_ms, bool has_news)
{
	return rev && wait_ms > 0 && !has_news;
}

enum list_share_step list_share_after_list(bool listed, bool has_news,
					   bool over)
{
	if (has_news)
		return LIST_SHARE_ANSWER;
	if (!listed)
		return LIST_SHARE_REFUSE;
	return over ? LIST_SHARE_ANSWER : LIST_SHARE_READ_ON;
}
