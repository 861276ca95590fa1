// HTTP client: one thread sends all requests and posts events to a mailbox.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

struct mbox;
struct upstream;
struct upstream_call;

enum {
	UPSTREAM_MAX_HEADERS = 48, ///< most header fields of an answer
};

struct upstream_opts {
	struct mbox *events; ///< struct upstream_event; 4 entries per call
	unsigned int max_calls; ///< most calls not yet released; a power of two
	/// Bytes of bodies in memory beyond which calls with a tag are refused and
	/// reading of their answers pauses; 0 for no limit.
	size_t max_held;
	int send_buffer; ///< bytes, SO_SNDBUF; 0: the kernel's default
	size_t stream_buffer; ///< bytes of a streamed answer queued at most; 0: no limit
	/// Local IP address; the string must outlive the client; NULL or "" for any.
	const char *source;
};

/// Options of one call. All strings and the body are copied.
struct upstream_call_opts {
	uint32_t id; ///< copied to each event
	/// Copied to each event, also after cancel(). If it is not 0, want_head posts
	/// UPSTREAM_HEAD before the body for answers that are not streamed, too.
	uint32_t tag;
	const char *method;
	const char *url;
	const char *const *headers; ///< "Name: value", NULL-terminated, or NULL
	const char *body;
	size_t body_len; ///< bytes
	int64_t timeout_ms; ///< for the entire call; 0 for none
	int64_t connect_timeout_ms; ///< 0 for none
	int64_t idle_timeout_ms; ///< longest time without progress once sent; 0 for none
	int64_t max_idle_age_ms; ///< connections idle for longer are not reused
	size_t max_body; ///< bytes of an answer that is not streamed
	bool fresh; ///< open a new connection
	/// clock_now_ms() time after which the request is not sent, even if
	/// connecting took that long; 0 for none.
	int64_t send_until_ms;
	/// Field of the request that a server repeats in the head of its answer, NULL if
	/// none: tells answers apart that come on one connection.
	const char *id_field;
	bool streamed; ///< post UPSTREAM_DATA events instead of collecting the body
	bool want_head; ///< post UPSTREAM_HEAD before the body; fill in result.head
};

/// Header fields of an answer, as the server sent them.
struct upstream_head {
	char *names[UPSTREAM_MAX_HEADERS];
	char *values[UPSTREAM_MAX_HEADERS]; ///< without surrounding blanks
	size_t n;
};

/// What says where an answer's body ends.
enum upstream_framing {
	UPSTREAM_NO_BODY, ///< there is none, or no whole head arrived
	UPSTREAM_BY_LENGTH,
	UPSTREAM_BY_CHUNKS,
	UPSTREAM_BY_CLOSE, ///< the end of its connection
};

const char *upstream_framing_name(enum upstream_framing f);

struct upstream_result {
	enum err err; ///< ERR_OK: status and complete body arrived
	bool sent; ///< at least one byte of the request may have been sent
	bool reused; ///< used a connection that had carried other requests
	enum upstream_framing framing;
	uint64_t received; ///< bytes of the body that arrived
	size_t surplus; ///< bytes that were read behind the body
	int status; ///< 0 unless a whole head arrived
	char *body; ///< NULL if it was streamed or is empty, or did not arrive
	size_t body_len; ///< bytes
	char ctype[128]; ///< Content-Type, "" if none
	struct upstream_head head; ///< with want_head
	int64_t total_us; ///< microseconds from start to end
};

enum upstream_event_kind {
	UPSTREAM_HEAD, ///< status and header fields; at most once per call
	UPSTREAM_DATA,
	UPSTREAM_DONE, ///< the last event of a call
};

struct upstream_event {
	enum upstream_event_kind kind;
	uint32_t id;
	uint32_t tag;
	struct upstream_call *call; ///< the event holds a reference
	int status; ///< with UPSTREAM_HEAD
	const struct upstream_head *head; ///< with UPSTREAM_HEAD
	const struct upstream_result *result; ///< with UPSTREAM_DONE
	const char *data; ///< with UPSTREAM_DATA
	size_t len; ///< bytes of data
};

/// Interface of an HTTP client. Only the thread that called start() may use it;
/// event_free() may be called from any thread.
struct upstream_ops {
	enum err (*start)(const struct upstream_opts *opts,
			  struct upstream **out);

	/// Begin a call.
	///
	/// @param[out] out  reference, released with cancel() or forget()
	/// @return ERR_OK, or ERR_FULL or ERR_NOMEM: nothing was sent
	enum err (*call)(struct upstream *up,
			 const struct upstream_call_opts *opts,
			 struct upstream_call **out);

	/// Abort a call and release its reference. Events may still arrive.
	void (*cancel)(struct upstream *up, struct upstream_call *call);

	/// Release the reference after UPSTREAM_DONE.
	void (*forget)(struct upstream *up, struct upstream_call *call);

	/// Free an event after it was handled.
	void (*event_free)(struct upstream_event *ev);

	/// Stop the thread; calls in flight end without an event. Frees the events
	/// left in the mailbox; those taken out of it must have been freed before.
	void (*stop)(struct upstream *up);
};

/// Implementation with libcurl.
extern const struct upstream_ops upstream_curl_ops;
