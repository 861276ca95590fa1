// Permits of servers with a limit: asks homes for them, grants them as a home, and
// passes on which servers have a limit. No message is sent while none has.
#pragma once

#include "site/site.h"

/// Register the message handlers.
enum err limits_start(struct core *c);

/// Send the asks that are due, and go on to the next home after one that is silent.
void limits_step(struct core *c, struct site *s);

/// Record the limit of a server's answer; homes are told of its start and its end.
///
/// @param per_s  requests/s, 0 for none
void limits_observe(struct core *c, struct site_server *srv, double per_s);

/// As a home: send the limits that are known to a node that said hello.
void limits_send_state(struct core *c, const char *node);
