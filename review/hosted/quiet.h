// A TCP proxy whose open connections can go silent: they stay open and carry nothing
// more, while new connections work.
#pragma once

#include <stdbool.h>

struct quiet;

/// Start a proxy. The target sees the caller's IP.
///
/// @return proxy, NULL on failure
struct quiet *quiet_start(const char *ip, int port, const char *to_ip,
			  int to_port);

/// Silence the open connections that wait for the answer to a request.
///
/// @param request  start of the request, "" for all open connections
/// @return number of connections silenced
int quiet_silence(struct quiet *q, const char *request);

/// Reset the open connections of one caller; new ones work.
///
/// @return number of connections reset
int quiet_reset(struct quiet *q, const char *caller);

/// Silence all open connections and all new ones until quiet_heal().
void quiet_cut(struct quiet *q);
void quiet_heal(struct quiet *q);

/// Stop the proxy and close its connections.
void quiet_stop(struct quiet *q);
