// HTTP server helpers of the fake: request bodies, listening, responses.
#pragma once

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

struct body {
	char *data;
	size_t len;
};

/// Append a chunk of a request's body; for each call of a request handler.
///
/// @param[out] complete  the whole body, NULL while more chunks follow
/// @return false when out of memory
bool body_receive(void **state, const char *data, size_t *len,
		  struct body **complete);

/// Request-completed callback that frees the body.
void body_release(void *ctx, struct MHD_Connection *conn, void **state,
		  enum MHD_RequestTerminationCode why);

/// Start an HTTP server with a thread per connection.
///
/// @return NULL if it can't listen
struct MHD_Daemon *body_serve(const char *ip, int port,
			      MHD_AccessHandlerCallback fn, void *ctx);

/// Queue a response with a text body.
///
/// @param headers  name and value pairs, NULL-terminated; NULL for none
enum MHD_Result body_respond(struct MHD_Connection *conn, int status,
			     const char *text, const char *const *headers);
