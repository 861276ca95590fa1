// Readers of a batch's results share the store's lists of its records. Pure.
//
// Load pattern: a node that ran batches is lost or restarts, and within a second their
// readers ask its successors. A list of all records is up to 2 MB and keeps the loop of a
// small VM for 0.1 to 0.3 s, just when the batches are to go on. So readers that come while
// a list is in flight wait for it. It may lack what was written after it began: a reader
// without news gets an answer from a list that began after it came only.
#pragma once

#include <stdbool.h>
#include <stdint.h>

/// Lists of one batch's records. All zero at first.
struct list_share {
	bool in_flight;
	uint64_t begun; ///< lists so far
};

/// Number of the first list that begins from now on.
uint64_t list_share_next(const struct list_share *s);

/// Begin a list.
///
/// @return false if one is in flight: wait for its end
bool list_share_begin(struct list_share *s);

/// End the list in flight.
void list_share_end(struct list_share *s);

/// Whether the last list that ended is the given one or a later one.
bool list_share_covers(const struct list_share *s, uint64_t list);

/// Whether a reader waits for records after those that are known, rather than listing
/// them.
///
/// Load pattern: a caller reads a batch from its first position each time, at a node that
/// knows a part of the results. What is known is news to it, but may not be all: if it
/// were answered with that, it would never get the others.
///
/// @param rev       store revision of what is known, 0 for none
/// @param wait_ms   that the reader may still wait
/// @param has_news  what is known has results that the reader asked for
bool list_share_should_watch(uint64_t rev, int64_t wait_ms, bool has_news);

/// What a reader does when a list has ended.
enum list_share_step {
	LIST_SHARE_ANSWER, ///< with what is known
	LIST_SHARE_REFUSE,
	LIST_SHARE_READ_ON,
};

/// What a reader that waited for a list does when it has ended.
///
/// Load pattern: a home is lost and the store goes away, and callers read its batches from
/// nodes that know a part of the results. What is known is final and is delivered, whether
/// or not the store says if there is more.
///
/// @param listed    the store answered
/// @param has_news  what is known has results that the reader asked for
/// @param over      the reader waits no longer, and the list began after it came
enum list_share_step list_share_after_list(bool listed, bool has_news,
					   bool over);
