// Sends this node's address to homes and relays.
//
// A node without a liveness key is unknown to others: it sends its address before its
// first request. It repeats this, as a message without a connection is dropped and
// receivers may have restarted.
#pragma once

#include "site/site.h"

/// Register the message handler.
enum err hello_start(struct core *c);

/// Send the messages that are due.
void hello_step(struct core *c, struct site *s);
