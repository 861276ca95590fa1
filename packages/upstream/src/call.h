// A call: its copied options, its transfer and its result. Counted references.
#pragma once

#include <curl/curl.h>
#include <stdatomic.h>

#include "base/arena.h"
#include "upstream/upstream.h"

enum call_cmd_kind {
	CALL_START,
	CALL_CANCEL,
	CALL_QUIT,
};

struct call_cmd {
	enum call_cmd_kind kind;
	struct upstream_call *call;
};

struct upstream_call {
	atomic_int refs;
	struct upstream *up;
	struct arena arena;
	struct upstream_call_opts opts; ///< copies in the arena
	struct call_cmd start_cmd; ///< of the ring: each call has one of each
	struct call_cmd cancel_cmd;
	struct upstream_event done; ///< the last event, so that it can't fail
	CURL *easy; ///< NULL before the start and after the end
	struct curl_slist *headers;
	struct upstream_call *prev, *next; ///< running calls
	bool running;
	bool paused; ///< reading waits until the receiver catches up
	bool too_large;
	bool head_posted; ///< UPSTREAM_HEAD went to the receiver
	size_t head_len; ///< bytes of head lines so far
	bool head_full; ///< more header fields than UPSTREAM_HEADERS
	bool idle; ///< ended by the idle timeout
	bool too_late; ///< a connection came after send_until_ms
	int attempts; ///< times that the request was about to be written
	int64_t start_us;
	int64_t heard_ms; ///< last sign of the other side, 0 before the first
	size_t body_cap; ///< bytes of result.body
	atomic_size_t
		waiting; ///< bytes of data events that wait for the receiver
	struct upstream_result result;
};

/// Copy options into a new call with one reference.
///
/// @return call, NULL when out of memory
struct upstream_call *call_new(struct upstream *up,
			       const struct upstream_call_opts *opts);

void call_ref(struct upstream_call *c);
void call_unref(struct upstream_call *c);

/// Make the call's transfer.
///
/// @return false when out of memory or for an unusable URL
bool call_setup(struct upstream_call *c);

/// Free the transfer and fill in the result.
///
/// @param code  how the transfer ended
void call_finish(struct upstream_call *c, CURLcode code);

/// Free the transfer without a result.
void call_drop(struct upstream_call *c);

/// Hand bytes of a streamed body to the receiver.
///
/// @return false when it is behind: the bytes must come again
bool upstream_post_data(struct upstream_call *c, const char *data, size_t len);

/// Tell the receiver the status and the header fields.
///
/// @return false when it is behind: the bytes of the body must come again
bool upstream_post_head(struct upstream_call *c);

/// Count bytes that calls hold, or give them up.
void upstream_hold(struct upstream *up, size_t more);
void upstream_unhold(struct upstream *up, size_t less);

/// Whether a call's answer must wait for room.
bool upstream_call_behind(const struct upstream_call *c);

/// Tell that a call was freed.
void upstream_call_freed(struct upstream *up);
