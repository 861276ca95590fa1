// Blocking HTTP calls for tests.
#pragma once

#include <stddef.h>
#include <stdint.h>

struct json_t;

struct http_res {
	int curl; ///< CURLcode
	int status; ///< 0 if none was received
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
/// @param opts      request
/// @param[out] res  result, free with http_free()
/// @return HTTP status, 0 if none was received
int http_call(const struct http_opts *opts, struct http_res *res);

/// Free the body of a result.
void http_free(struct http_res *res);

/// Make a call and parse the JSON response.
///
/// @param[out] status  HTTP status, may be NULL
/// @return new reference, NULL if the response is not JSON
struct json_t *http_json(const char *method, const char *url,
			 const char *bearer, const char *body, int *status);
