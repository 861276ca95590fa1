// Sealing and reporting of usage windows, by the holder of the duty.
//
// A window is sealed by creating its record if absent, and reported from that
// record alone. After a failure, a lost reply or a change of holder the state
// is read again from the store, so every step may be interrupted at any point.
#pragma once

#include "usage/counters.h"
#include "usage/collect.h"

enum {
	USAGE_KEY_MAX = 64, ///< bytes of a key, with the NUL
	USAGE_RETAINED_WINDOWS = 1440, ///< records kept after the report
};

/// Names the last reported window.
#define USAGE_HEAD_KEY "usage/head"
/// Stored counters, one key per failure domain.
#define USAGE_NODE_PREFIX "usage/node/"

struct usage_seal_ops {
	void (*get)(void *ctx, const char *key);
	/// Read all values under USAGE_NODE_PREFIX.
	void (*list)(void *ctx);
	void (*put)(void *ctx, const char *key, const char *text, size_t len,
		    uint64_t prev_rev);
	void (*del)(void *ctx, const char *key);
	/// Send a report through the duty's gate.
	void (*send)(void *ctx, const char *body, size_t len);
	/// A record or counter is invalid, or a report was refused; retried.
	void (*bad)(void *ctx, const char *key, enum err e);
	/// The platform accepted a report.
	void (*reported)(void *ctx, uint64_t window);
};

enum usage_seal_state {
	USAGE_SEAL_OFF, ///< the duty is not held
	USAGE_SEAL_BACKOFF, ///< restarts with the head later
	USAGE_SEAL_READ_HEAD, ///< reads which window was last reported
	USAGE_SEAL_READ_NEXT, ///< reads the record after the last reported one
	USAGE_SEAL_READ_LAST, ///< reads the last reported record
	USAGE_SEAL_SEND_REPORT, ///< sends a report
	USAGE_SEAL_WRITE_HEAD, ///< writes the head
	USAGE_SEAL_WAIT_WINDOW, ///< until the window ends
	USAGE_SEAL_LIST_COUNTERS, ///< reads the counters
	USAGE_SEAL_CREATE_RECORD, ///< creates the record
};

struct usage_seal {
	const struct usage_seal_ops *ops;
	void *ctx;
	enum usage_seal_state state;
	uint64_t epoch; ///< fencing token of the duty
	int64_t retry_ms; ///< end of USAGE_SEAL_BACKOFF
	int64_t call_start_ms;
	uint64_t call_id; ///< replies to any other call must be dropped
	uint64_t reported; ///< last reported window
	uint64_t head_rev; ///< revision of the head, 0: absent
	uint64_t window; ///< of the record
	struct json_t *record; ///< owned, may be NULL
	struct usage_counters counters; ///< as listed
	int64_t window_end_ms; ///< wall clock
};

/// Start: the duty was acquired. Initially all is zero but ops and ctx.
void usage_seal_begin(struct usage_seal *s, int64_t now, uint64_t epoch);

/// Stop: the duty was lost. Later replies are ignored.
void usage_seal_end(struct usage_seal *s);

/// Start the next step, if due.
///
/// @param wall_ms    wall clock
/// @param window_ms  length of a window
void usage_seal_tick(struct usage_seal *s, int64_t now, int64_t wall_ms,
		     int64_t window_ms);

/// Handle the reply to get or put.
void usage_seal_on_kv(struct usage_seal *s, int64_t now,
		      const struct usage_kv *kv);

/// Handle one value of the list, then the end of the list.
void usage_seal_on_item(struct usage_seal *s, const char *key, const char *text,
			size_t len);
void usage_seal_on_listed(struct usage_seal *s, int64_t now, enum err e);

/// Handle the outcome of send.
///
/// @param status  HTTP status, 0 if the outcome is unknown
void usage_seal_on_sent(struct usage_seal *s, int64_t now, int status);

/// Key of a window's record, in USAGE_KEY_MAX bytes.
void usage_window_key(uint64_t window, char *buf);
