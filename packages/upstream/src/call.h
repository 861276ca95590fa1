// A call: copied options, libcurl transfer and result. Reference-counted.
#pragma once

#include <curl/curl.h>
#include <stdatomic.h>

#include "base/arena.h"
#include "chunk_check.h"
#include "second_answer.h"
#include "upstream/head_check.h"
#include "upstream/upstream.h"

enum call_cmd_kind {
	CALL_START,
	CALL_CANCEL,
	CALL_QUIT,
};

enum {
	/// Most bytes behind a body that are looked at.
	UPSTREAM_SURPLUS_MAX_BYTES = 4096,
};

/// Command to the client's thread.
struct call_cmd {
	enum call_cmd_kind kind;
	struct upstream_call *call;
};

struct upstream_call {
	atomic_int refs;
	struct upstream *up;
	struct arena arena;
	struct upstream_call_opts opts; ///< copies in the arena
	struct call_cmd start_cmd; ///< preallocated, as is cancel_cmd
	struct call_cmd cancel_cmd;
	struct upstream_event done; ///< preallocated: posting can't fail
	CURL *easy; ///< NULL before the transfer starts and after it ends
	struct curl_slist *headers;
	struct upstream_call *prev, *next; ///< list of running calls
	bool running;
	bool paused; ///< reading is paused until the receiver catches up
	bool too_large;
	bool head_posted;
	size_t head_len; ///< bytes of header lines so far
	struct head_check head_check;
	struct own_head own_head;
	struct chunk_check chunk_check;
	struct id_carry
		*id_carry; ///< of a streamed body, NULL if there is no id
	curl_socket_t fd; ///< of the connection in use
	uint64_t body_seen; ///< bytes of the body that were accepted
	uint64_t wire_body; ///< of the body and behind it, as read
	char *surplus; ///< UPSTREAM_SURPLUS_MAX_BYTES behind the body, NULL if none
	size_t surplus_len; ///< of those that libcurl read
	int64_t surplus_until_ms; ///< end of the wait for more, 0 before it began
	bool body_begun; ///< the head was complete
	bool piece_checked; ///< the streamed piece that is delivered again
	bool garbled; ///< a line is not part of a head
	bool spliced; ///< the body is filled up with a second answer
	bool head_overflow; ///< more header fields than UPSTREAM_MAX_HEADERS
	bool idle_expired;
	bool send_expired; ///< the connection was ready only after send_until_ms
	int attempts; ///< how often libcurl was about to write the request
	int64_t start_us;
	int64_t last_progress_ms; ///< last progress, clock_now_ms(); 0 before the request is sent
	size_t body_cap; ///< bytes of result.body
	atomic_size_t
		queued_bytes; ///< bytes of UPSTREAM_DATA events not freed yet
	struct upstream_result result;
};

/// Copy the options into a new call with one reference.
///
/// @return call, NULL when out of memory
struct upstream_call *call_new(struct upstream *up,
			       const struct upstream_call_opts *opts);

void call_ref(struct upstream_call *c);
void call_unref(struct upstream_call *c);

/// Create the call's libcurl transfer.
///
/// @return false when out of memory or if the URL is invalid
bool call_setup(struct upstream_call *c);

/// Free the transfer and fill in the result.
///
/// @param code  libcurl's result of the transfer
void call_finish(struct upstream_call *c, CURLcode code);

/// Begin to count the bytes that are read behind the body.
void surplus_watch(struct upstream_call *c);

enum body_end {
	BODY_END_WHOLE,
	BODY_END_WAIT, ///< call again once more may have arrived
	BODY_END_SPLICED,
};

/// What the end of a body is, at its last bytes.
///
/// @param body  all of it, or the last piece if it is streamed
enum body_end surplus_check(struct upstream_call *c, const char *body,
			    size_t len);

/// CURLOPT_DEBUGFUNCTION
int surplus_on_debug(CURL *easy, curl_infotype type, char *data, size_t len,
		     void *ctx);

/// Free the transfer without a result.
void call_free_transfer(struct upstream_call *c);

/// Post bytes of a streamed body to the receiver, as a copy.
///
/// @return false if it could not: libcurl must deliver the same bytes again
bool upstream_post_data(struct upstream_call *c, const char *data, size_t len);

/// Post the status and the header fields to the receiver.
///
/// @return false if it could not: libcurl must deliver the body's bytes again
bool upstream_post_head(struct upstream_call *c);

/// Add to or subtract from the bytes that all calls hold.
void upstream_add_held(struct upstream *up, size_t more);
void upstream_sub_held(struct upstream *up, size_t less);

/// Whether reading of a call's answer must pause: a limit is reached.
///
/// @param more  bytes that the next part of the answer takes
bool upstream_call_must_pause(const struct upstream_call *c, size_t more);

/// Whether a call's answer is to be given up: memory is short, and it has more than its
/// share.
///
/// Load pattern: all servers of a service answer without end, and other clients' requests
/// are refused for want of memory until the answers time out.
///
/// @param more  bytes that the next part of the body takes
bool upstream_call_is_greedy(const struct upstream_call *c, size_t more);

/// The same for an answer's head.
bool upstream_head_is_greedy(const struct upstream_call *c);

/// Stop counting a freed call towards max_calls.
void upstream_call_freed(struct upstream *up);
