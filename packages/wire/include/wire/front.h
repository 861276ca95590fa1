// Decodes callers' requests and servers' answers; encodes forwarded requests and
// results.
#pragma once

#include "base/arena.h"
#include "http/http.h"
#include "job/job_defs.h"
#include "upstream/upstream.h"

enum front_kind {
	FRONT_FORWARD, ///< forward it, routed by host and path
	FRONT_RESULTS, ///< read the results of a batch
	FRONT_ITEM_BODY, ///< read the body of a batch's item
	FRONT_END_BATCH, ///< end a batch
};

enum {
	FRONT_ID_BYTES =
		128, ///< bytes of a request, batch or item id, with NUL
};

/// Decoded method, path and query of a caller's request.
struct front_call {
	enum front_kind kind;
	char job[FRONT_ID_BYTES]; ///< batch of RESULTS, BODY and END
	char item[FRONT_ID_BYTES]; ///< item of BODY
	uint64_t after; ///< cursor of RESULTS: last position already read
};

/// Decoded header fields of a caller's request.
struct front_fields {
	const char *id; ///< request id, NULL if none
	const char *host; ///< without a port, "" if none
	int64_t budget_ms; ///< timeout of the caller, 0 if not given
	int64_t wait_ms; ///< longest wait of a read for new results
};

/// A request to be forwarded to a backend server.
struct front_forward {
	const struct http_pair *headers; ///< the caller's
	size_t n_headers;
	const char *server; ///< expected id of the server
	const char *team; ///< "" on an open route without a key
	int64_t budget_ms; ///< remaining time, 0 if the caller gave no timeout
};

/// Decoded header fields of a backend server's answer.
struct front_response {
	const char *id; ///< request that it answers, NULL if not given
	const char *seal; ///< confirms the answer, NULL if none
	bool not_run; ///< the request definitely did not run
	bool other_server; ///< the address now belongs to another server
	bool leaving; ///< the server accepts no new requests from now on
	/// requests/s that the server takes from all nodes together, 0 if not given
	double limit_per_s;
};

struct front_wire_ops {
	const char *ready_path; ///< of the load balancer's check
	const char *id_field; ///< of requests, which their answers repeat

	/// @return ERR_OK, ERR_HTTP_ROUTE for an unknown path under the system's
	///         own prefix, ERR_INVALID for a malformed parameter
	enum err (*call)(const char *method, const char *path,
			 const char *query, struct front_call *out);

	/// @param a  owns what out points to
	void (*fields)(const struct http_pair *headers, size_t n,
		       struct arena *a, struct front_fields *out);

	/// Encode the header lines of the request to a backend server.
	///
	/// @return NULL-terminated lines in the arena, NULL when out of memory
	const char **(*forward)(const struct front_forward *f, struct arena *a);

	/// Decode a backend server's answer.
	void (*verdict)(int status, const struct upstream_head *head,
			struct front_response *out);

	/// Whether a header field of a server's answer is passed to the caller.
	bool (*passes_to_caller)(const char *name);

	/// @param[out] out  batch, all in its own arena; free with job_spec_free()
	/// @return ERR_OK; ERR_BATCH_INVALID, ERR_BATCH_ID, ERR_BATCH_FIELD or
	///         ERR_BATCH_TARGET for a malformed one; ERR_NOMEM
	enum err (*batch)(const char *body, size_t len, struct job_spec **out);

	/// Page of results.
	///
	/// @return JSON text, free with free(); NULL when out of memory
	char *(*results)(const struct job_page *page);
};
