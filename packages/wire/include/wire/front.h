// Table that decodes callers' requests and encodes what is answered to them.
#pragma once

#include "base/arena.h"
#include "http/http.h"
#include "job/job_defs.h"
#include "upstream/upstream.h"

enum front_kind {
	FRONT_FORWARD, ///< to be routed by host and path
	FRONT_RESULTS, ///< read the results of a batch
	FRONT_BODY, ///< read the body of a batch's item
	FRONT_END, ///< end a batch
};

enum {
	FRONT_ID = 128, ///< bytes of a request's, batch's or item's id
};

/// What a caller asks for.
struct front_call {
	enum front_kind kind;
	char job[FRONT_ID]; ///< batch of RESULTS, BODY and END
	char item[FRONT_ID]; ///< item of BODY
	uint64_t after; ///< position of RESULTS
};

/// What a caller's header fields say.
struct front_fields {
	const char *id; ///< request id, NULL if none
	const char *host; ///< without a port, "" if none
	int64_t budget_ms; ///< time that the caller will wait, 0 if not said
	int64_t wait_ms; ///< time that a read may wait for results
};

/// A request on its way to a backend server.
struct front_forward {
	const struct http_pair *headers; ///< the caller's
	size_t n_headers;
	const char *server; ///< id that the server must have
	const char *team; ///< "" on an open route without a key
	int64_t budget_ms; ///< time left, 0 if the caller said none
};

/// What a backend server says of a request, beside status and body.
struct front_verdict {
	const char *id; ///< request that it answers, NULL if not said
	const char *seal; ///< the server vouches for the answer, NULL if not
	bool not_run; ///< it surely did not run the request
	bool other_server; ///< another server has that address now
	bool leaving; ///< it takes nothing new from now on
};

struct front_wire_ops {
	const char *ready_path; ///< of the balancer's question

	/// @param query  as sent
	/// @return ERR_OK, or ERR_HTTP_ROUTE for a path of the system's own that
	///         does not exist, ERR_INVALID for a bad parameter
	enum err (*call)(const char *method, const char *path,
			 const char *query, struct front_call *out);

	/// @param a  owns what out points to
	void (*fields)(const struct http_pair *headers, size_t n,
		       struct arena *a, struct front_fields *out);

	/// Header lines of the request for a backend server.
	///
	/// @return NULL-terminated lines in the arena, NULL when out of memory
	const char **(*forward)(const struct front_forward *f, struct arena *a);

	void (*verdict)(int status, const struct upstream_head *head,
			struct front_verdict *out);

	/// Whether a header field of a server's answer goes to the caller.
	bool (*passes_back)(const char *name);

	/// @param[out] out  its arena owns all of it; free with job_spec_free()
	/// @return ERR_OK, ERR_BATCH_INVALID, ERR_NOMEM
	enum err (*batch)(const char *body, size_t len, struct job_spec **out);

	/// Page of results.
	///
	/// @return JSON text, free with free(); NULL when out of memory
	char *(*results)(const struct job_page *page);
};
