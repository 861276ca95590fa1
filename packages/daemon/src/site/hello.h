// Tells the homes and relays this node's address.
//
// A message is dropped where no connection stands. A node that holds no liveness key
// is known to nobody: it says where it is before it asks anything, and again now and
// then, since those that it told may have started anew.
#pragma once

#include "site/site.h"

/// Register the message.
enum err hello_start(struct core *c);

/// Send what is due.
void hello_step(struct core *c, struct site *s);
