// Notices of load orders: the leader informs home nodes (those that may run batches),
// which send no new work to a server while it loads weights. A lost or wrong notice
// causes rejections, but loses no request.
#pragma once

#include "core/core.h"
#include "site/server.h"

/// Send a notice of an order to all home nodes, and apply it at this node.
void order_notice_send(struct core *c, const struct site_order *o);

/// Start receiving notices.
///
/// @return ERR_OK or the error of core_peer_on()
enum err order_notice_start(struct core *c);
