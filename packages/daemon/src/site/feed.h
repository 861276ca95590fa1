// Keeps up with all keys of a prefix: lists them, then watches for changes, and
// lists anew when the store has forgotten the changes in between.
//
// Each answer confirms what is known as of a time. A feed whose knowledge is overdue
// gives up on a watch that hangs, and makes a call of its own even where a relay is
// followed.
#pragma once

#include "daemon/platform_mod.h"
#include "relay/copy.h"

struct feed_ops {
	/// All items are about to come.
	void (*begin)(struct core *c, void *ctx);
	void (*item)(struct core *c, void *ctx, const struct kv_item *item);
	void (*gone)(struct core *c, void *ctx, const char *key);
	/// Every item that stands has come.
	void (*listed)(struct core *c, void *ctx);
};

struct feed_opts {
	const char *prefix;
	int64_t refresh_ms; ///< what is known is confirmed this often
	int64_t told_ms; ///< older knowledge is of no use to followers
	int64_t overdue_ms; ///< age at which a call is made anyway
	int64_t pause_ms; ///< least time from a watch that saw changes to the next
	bool keep; ///< keep a copy of the items, for followers
	const struct feed_ops *ops;
	void *ctx;
};

enum {
	FEED_CALLS = 3, ///< two that hang, and the one in their place
};

/// A call to the store.
struct feed_call {
	struct feed *feed;
	bool busy; ///< outstanding, also once it was given up on
	bool urgent; ///< ends soon by itself
	int64_t start_ms;
	int64_t wait_ms; ///< of a watch, 0 for a list
	uint64_t after; ///< revision from which a watch was asked
	uint32_t taken; ///< feed.taken at its start
};

struct feed {
	struct feed_opts opts;
	bool listed; ///< the list was read and rev is known
	struct feed_call calls[FEED_CALLS];
	struct feed_call *call; ///< the one that is waited for, NULL for none
	uint32_t taken; ///< times that a relay told all there is
	bool quiet; ///< a relay is followed: no call is begun unless it is overdue
	bool hush; ///< no call is begun at all
	uint64_t rev; ///< changes after it are to come
	uint64_t list_rev; ///< store's revision at the start of the list
	int64_t list_ms; ///< start of the list
	int64_t next_ms; ///< earliest next call
	int failures; ///< of calls in a row
	char from[256]; ///< last key of the list's page, "" at its start
	bool hurry; ///< the next watch is to confirm soon what is known
	int64_t confirmed_ms; ///< what is known was true then, 0 for never
	const char *source; ///< node or "store" that tells what is being taken
	uint64_t taken_rev; ///< revision of the store that is being taken
	int64_t source_as_of_ms; ///< time at which that was true
	struct relay_copy copy; ///< with opts.keep
};

/// @param opts  prefix and ops outlive the feed
void feed_init(struct feed *f, const struct feed_opts *opts);

void feed_free(struct feed *f);

/// Make the next call if it is due; call from the tick.
void feed_step(struct core *c, struct feed *f);

/// The store can be reached again: give up on calls that may hang, and confirm soon
/// what is known.
void feed_renew(struct feed *f);

/// What a relay says of the prefix.
struct feed_news {
	const char *from; ///< relay's node id
	uint64_t after; ///< revision that this node had when it asked
	bool full; ///< all items: those that are absent are gone
	uint64_t rev;
	int64_t as_of_ms; ///< clock_now_ms() time at which it was true
	const struct kv_item *items;
	size_t n_items;
	const char *const *deleted;
	size_t n_deleted;
};

/// Take what a relay says. What this node learned more of meanwhile is not undone.
void feed_take(struct core *c, struct feed *f, const struct feed_news *news);

/// Whether a call is outstanding that only looks whether the store answers.
bool feed_is_urgent(const struct feed *f);

/// Revision after which a relay is asked, 0 for all there is.
uint64_t feed_asks_after(const struct feed *f);

/// Milliseconds since what is known was true, INT64_MAX for never.
int64_t feed_age(struct core *c, const struct feed *f);
