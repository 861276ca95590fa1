// Outgoing HTTP requests: one thread carries them all and tells a mailbox.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

struct mbox;
struct upstream;
struct upstream_call;

enum {
	UPSTREAM_HEADERS = 48, ///< header fields kept of an answer
};

struct upstream_opts {
	struct mbox *events; ///< gets struct upstream_event; room for 4 a call
	unsigned int max_calls; ///< a power of two
	/// Bytes of bodies beyond which tagged calls are refused, and their answers
	/// are read no further; 0 for no bound.
	size_t max_held;
	int send_buffer; ///< bytes that the kernel holds of a connection; 0: its choice
	size_t stream_buffer; ///< bytes of a streamed answer that wait; 0: no bound
	/// Local IP address, which outlives it; NULL or "" for any.
	const char *source;
};

/// Everything in it is copied.
struct upstream_call_opts {
	uint32_t id; ///< given back with each event
	/// Given back with each event, also after cancel(); with want_head and a tag
	/// that is not 0 UPSTREAM_HEAD comes for answers of any kind, before the body.
	uint32_t tag;
	const char *method;
	const char *url;
	const char *const *headers; ///< "Name: value", NULL-terminated, or NULL
	const char *body;
	size_t body_len; ///< bytes
	int64_t timeout_ms; ///< whole request; 0 for none
	int64_t connect_timeout_ms; ///< 0 for none
	int64_t idle_timeout_ms; ///< longest silence once sent; 0 for none
	int64_t max_idle_age_ms; ///< of a connection that is used again
	size_t max_body; ///< bytes
	bool fresh; ///< use a new connection
	/// clock_now_ms() time after which the request is not sent, however long
	/// the connection took; 0 for none.
	int64_t send_until_ms;
	bool streamed; ///< UPSTREAM_DATA events instead of a whole body
	bool want_head; ///< UPSTREAM_HEAD before the body, head in the result
};

/// Header fields of an answer, as the server sent them.
struct upstream_head {
	char *names[UPSTREAM_HEADERS];
	char *values[UPSTREAM_HEADERS]; ///< without blanks around them
	size_t n;
};

struct upstream_result {
	enum err err; ///< ERR_OK: a status line came and the body is whole
	bool sent; ///< a byte of the request may have left this process
	bool reused; ///< went by a connection that had carried others
	int status; ///< 0 if none arrived
	char *body; ///< whole body, NULL when it was streamed or is empty
	size_t body_len; ///< bytes
	char ctype[128]; ///< Content-Type, "" if none
	struct upstream_head head; ///< with want_head
	int64_t total_us; ///< microseconds from start to end
};

enum upstream_event_kind {
	UPSTREAM_HEAD, ///< status and header fields; at most once a call
	UPSTREAM_DATA,
	UPSTREAM_DONE, ///< the last one of a call
};

struct upstream_event {
	enum upstream_event_kind kind;
	uint32_t id;
	uint32_t tag;
	struct upstream_call *call; ///< referenced by the event
	int status; ///< with UPSTREAM_HEAD
	const struct upstream_head *head; ///< with UPSTREAM_HEAD
	const struct upstream_result *result; ///< with UPSTREAM_DONE
	const char *data; ///< with UPSTREAM_DATA
	size_t len; ///< bytes of data
};

/// What an implementation offers. All but the events' release belong to the
/// thread that made it.
struct upstream_ops {
	enum err (*start)(const struct upstream_opts *opts,
			  struct upstream **out);

	/// Begin a call.
	///
	/// @param[out] out  reference, given up with cancel() or forget()
	/// @return ERR_OK, or ERR_FULL or ERR_NOMEM: nothing left the process
	enum err (*call)(struct upstream *up,
			 const struct upstream_call_opts *opts,
			 struct upstream_call **out);

	/// Stop a call and give up its reference. Events may still come.
	void (*cancel)(struct upstream *up, struct upstream_call *call);

	/// Give up the reference after UPSTREAM_DONE.
	void (*forget)(struct upstream *up, struct upstream_call *call);

	/// Free an event once it was handled.
	void (*event_free)(struct upstream_event *ev);

	/// Stop the thread; calls in progress end without an event. Events left
	/// in the mailbox must have been freed.
	void (*stop)(struct upstream *up);
};

/// Over libcurl.
extern const struct upstream_ops upstream_curl_ops;
