// Sealing and reporting windows, by the holder of the duty.
//
// A window is sealed by creating its record if it is absent; it is reported
// from the record alone. After any failure, lost answer or change of holder
// the state is read again from the store, so each step may be cut off anywhere.
#pragma once

#include "usage/book.h"
#include "usage/collect.h"

enum {
	USAGE_KEY_MAX = 64, ///< bytes of a key
	USAGE_KEEP_WINDOWS = 1440, ///< records kept after they were reported
};

#define USAGE_HEAD_KEY "usage/head"
#define USAGE_NODE_PREFIX "usage/node/"

struct usage_seal_ops {
	void (*get)(void *ctx, const char *key);
	/// Read all values below USAGE_NODE_PREFIX.
	void (*list)(void *ctx);
	void (*put)(void *ctx, const char *key, const char *text, size_t len,
		    uint64_t prev_rev);
	void (*del)(void *ctx, const char *key);
	/// Send a report through the duty's gate.
	void (*send)(void *ctx, const char *body, size_t len);
	/// A record or counter that can't be right; sealing waits.
	void (*bad)(void *ctx, const char *key, enum err e);
	/// A window was accepted by the platform.
	void (*reported)(void *ctx, uint64_t window);
};

enum usage_seal_state {
	USAGE_SEAL_OFF, ///< the duty is not held
	USAGE_SEAL_PAUSE, ///< begins again from the head later
	USAGE_SEAL_HEAD, ///< reads which window was reported last
	USAGE_SEAL_FIND, ///< reads the record after the last known one
	USAGE_SEAL_LAST, ///< reads the last reported record
	USAGE_SEAL_SEND, ///< sends a report
	USAGE_SEAL_MARK, ///< writes the head
	USAGE_SEAL_WAIT, ///< until the window ends
	USAGE_SEAL_LIST, ///< reads the counters
	USAGE_SEAL_PUT, ///< creates the record
};

struct usage_seal {
	const struct usage_seal_ops *ops;
	void *ctx;
	enum usage_seal_state state;
	uint64_t epoch; ///< fencing number of the duty
	int64_t resume_ms; ///< end of USAGE_SEAL_PAUSE
	int64_t asked_ms; ///< when the call that is out was made
	uint64_t call; ///< number of the call that is out; the answer to any
		///< other one must not be passed on
	uint64_t reported; ///< last window that was reported
	uint64_t head_rev; ///< store's revision of the head
	uint64_t window; ///< of the record in hand
	struct json_t *record; ///< record in hand, owned
	struct usage_book counters; ///< as listed
	int64_t wall_ms; ///< end of the window being sealed
};

/// The duty was taken; a machine that was never used is zeroed but for ops.
void usage_seal_begin(struct usage_seal *s, int64_t now, uint64_t epoch);

/// The duty was lost; answers that come later are ignored.
void usage_seal_end(struct usage_seal *s);

/// Go on when something is due.
///
/// @param wall_ms    wall clock
/// @param window_ms  length of a window
void usage_seal_tick(struct usage_seal *s, int64_t now, int64_t wall_ms,
		     int64_t window_ms);

/// Answer to get and put.
void usage_seal_on_kv(struct usage_seal *s, int64_t now,
		      const struct usage_kv *kv);

/// Answer to list: a value, then the end with key NULL.
void usage_seal_on_item(struct usage_seal *s, const char *key, const char *text,
			size_t len);
void usage_seal_on_listed(struct usage_seal *s, int64_t now, enum err e);

/// Answer to send.
///
/// @param status  HTTP status, 0 if the outcome is unknown
void usage_seal_on_sent(struct usage_seal *s, int64_t now, int status);

/// Key of a window's record.
void usage_window_key(uint64_t window, char *buf);
