// Notices of load orders, from the leader to the nodes that may run batches (homes):
// these send no new work to a loading server. A lost or wrong notice causes
// rejections, but loses no request.
#pragma once

#include "core/core.h"
#include "site/server.h"

/// Send a notice to all homes, and apply it at this node.
void order_notice_send(struct core *c, const struct site_order *o);

/// Start receiving notices.
enum err order_notice_start(struct core *c);
