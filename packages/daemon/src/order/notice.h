// Notices of load orders: the leader tells the homes, which send servers that load
// no new work. A lost notice costs rejections, a wrong one too, and no request.
#pragma once

#include "core/core.h"
#include "site/server.h"

/// Tell all homes of an order, and take it at this node.
void order_notice_send(struct core *c, const struct site_order *o);

/// Receive notices.
enum err order_notice_start(struct core *c);
