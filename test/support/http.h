// Blocking HTTP calls for tests.
#pragma once

#include <stddef.h>
#include <stdint.h>

struct json_t;

struct http_res {
	int curl; ///< CURLcode
	int status; ///< 0 if no status line came
	char *body; ///< owned, NUL-terminated
	size_t len; ///< bytes
	char run[16]; ///< Catkin-Run header, "" if none
	int retry_after; ///< seconds, -1 if none
};

struct http_opts {
	const char *method;
	const char *url;
	const char *bearer; ///< key or NULL
	const char *const *headers; ///< NULL-terminated or NULL
	const char *body; ///< or NULL
	int timeout_ms; ///< 0 for 10 s
};

/// Make one call on a new connection.
///
/// @param opts      call
/// @param[out] res  result, free with http_free()
/// @return status, 0 if none came
int http_call(const struct http_opts *opts, struct http_res *res);

/// Free what a call returned.
void http_free(struct http_res *res);

/// GET or POST JSON and return the answer's JSON.
///
/// @param[out] status  HTTP status, may be NULL
/// @return new reference, NULL if the answer is not JSON
struct json_t *http_json(const char *method, const char *url,
			 const char *bearer, const char *body, int *status);
