// Tracks all keys of a prefix: lists them, watches for changes, and lists again when
// the store no longer has the changes in between.
//
// Each response confirms the data as of a time. An overdue feed abandons a hung watch,
// and calls the store even if a relay is followed.
#pragma once

#include "daemon/platform_mod.h"
#include "relay/copy.h"

struct feed_ops {
	/// A full list starts.
	void (*list_begin)(struct core *c, void *ctx);
	void (*item)(struct core *c, void *ctx, const struct kv_item *item);
	void (*item_deleted)(struct core *c, void *ctx, const char *key);
	/// All items of the list were passed.
	void (*list_end)(struct core *c, void *ctx);
};

struct feed_opts {
	const char *prefix;
	int64_t refresh_ms; ///< the data is confirmed this often
	int64_t relay_max_age_ms; ///< followers reject older data
	int64_t overdue_ms; ///< age at which a call is always made
	int64_t watch_interval_min_ms; ///< after a watch with changes
	bool keep_copy; ///< of the items, for followers
	/// Bytes of an item that followers get; a larger one they get empty, 0: all.
	size_t value_max;
	const struct feed_ops *ops;
	void *ctx;
};

enum {
	FEED_CALLS_MAX = 3, ///< two that hang, and their replacement
};

/// A call to the store.
struct feed_call {
	struct feed *feed;
	bool in_flight; ///< also if abandoned
	bool probe; ///< has its own short timeout
	int64_t start_ms;
	int64_t wait_ms; ///< of a watch, 0 for a list
	uint64_t after; ///< revision after which a watch started
	uint32_t full_updates; ///< feed.full_updates at its start
};

struct feed {
	struct feed_opts opts;
	bool listed; ///< the list was read and rev is known
	struct feed_call calls[FEED_CALLS_MAX];
	struct feed_call *awaited; ///< whose response counts, NULL for none
	uint32_t full_updates; ///< full lists received from relays
	bool overdue_only; ///< a relay is followed: call only if overdue
	bool suspended; ///< start no calls
	uint64_t rev; ///< all changes up to it are known
	uint64_t list_rev; ///< store's revision at the start of the list
	int64_t list_start_ms;
	int64_t next_ms; ///< earliest next call
	int failures; ///< of calls in a row
	char list_cursor[256]; ///< last key of the last page, "" at first
	bool confirm_next; ///< the next watch only confirms the data
	int64_t confirmed_ms; ///< the data was current then, 0 for never
	const char *source; ///< of the current update: node or "store"
	uint64_t source_rev; ///< store's revision in that update
	int64_t source_as_of_ms; ///< that update was current then
	struct relay_copy copy; ///< used if opts.keep
};

/// @param opts  prefix and ops must outlive the feed
void feed_init(struct feed *f, const struct feed_opts *opts);

void feed_free(struct feed *f);

/// Start the next call if it is due; called from the tick.
void feed_step(struct core *c, struct feed *f);

/// The store can be reached again: abandon calls that may hang, and confirm the
/// data soon.
void feed_reconfirm(struct feed *f);

/// A relay's update of the prefix.
struct feed_update {
	const char *from; ///< relay's node id
	uint64_t after; ///< revision that this node had in its request
	bool full; ///< all items: absent ones were deleted
	uint64_t rev;
	int64_t as_of_ms; ///< clock_now_ms() time at which it was current
	const struct kv_item *items;
	size_t n_items;
	const char *const *deleted;
	size_t n_deleted;
};

/// Apply a relay's update, or discard it if this node has newer data.
void feed_apply(struct core *c, struct feed *f, const struct feed_update *news);

/// Whether a call is in flight that only tests whether the store answers.
bool feed_is_probing(const struct feed *f);

/// Revision after which a relay is asked for changes, 0 for all items.
uint64_t feed_known_rev(const struct feed *f);

/// Milliseconds since the data was current, INT64_MAX for never.
int64_t feed_age_ms(struct core *c, const struct feed *f);
