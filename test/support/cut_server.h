// A server that answers each request with the first bytes of a text and closes the
// connection behind them.
#pragma once

#include <stddef.h>

struct cut_server;

/// Start a server, which closes each connection unanswered until cut_server_set().
///
/// @return server, NULL on failure
struct cut_server *cut_server_start(const char *ip, int port);

/// Answer later requests with the first len bytes of a text, which must stay valid.
void cut_server_set(struct cut_server *s, const char *text, size_t len);

/// Requests that were read so far.
int cut_server_requests(struct cut_server *s);

/// Stop the server.
void cut_server_stop(struct cut_server *s);
