// A request's body, gathered piece by piece.
#pragma once

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>

struct body {
	char *data;
	size_t len;
};

/// Take a piece at a handler's call.
///
/// @param[out] whole  the body, NULL while more is to come
/// @return false when out of memory
bool body_take(void **state, const char *data, size_t *len,
	       struct body **whole);

/// To be given to the server as the end of each request.
void body_end(void *ctx, struct MHD_Connection *conn, void **state,
	      enum MHD_RequestTerminationCode why);

/// Start a server, a thread a connection.
struct MHD_Daemon *body_listen(const char *ip, int port,
			       MHD_AccessHandlerCallback fn, void *ctx);

/// Answer with a text.
enum MHD_Result body_answer(struct MHD_Connection *conn, int status,
			    const char *text, const char *const *headers);
