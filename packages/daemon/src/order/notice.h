// Notices of load orders, from the leader to the nodes that may run batches (homes):
// these send no new work to a loading server. A lost or wrong notice causes
// rejections, but loses no request.
#pragma once

#include "core/core.h"
#include "site/server.h"

/// Send a notice to all homes, and apply it at this node.
void order_notice_send(struct core *c, const struct site_order *o);

/// Record that a response of a server showed a version of a model's weights. If that is
/// news, all homes are told: the leader is one of them.
///
/// @param load_ended_now  the response continued through the load
void order_notice_version(struct core *c, const struct site_server *s,
			  const char *model, uint64_t version,
			  bool load_ended_now);

/// A load was seen to be over (SITE_ORDER_LOADED, SITE_ORDER_PRESENT). Defined by the
/// order module.
void order_load_ended(struct core *c, const struct site_order *o);

/// Start receiving notices.
enum err order_notice_start(struct core *c);
