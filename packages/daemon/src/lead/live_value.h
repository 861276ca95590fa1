// What a node says of itself under its liveness key.
#pragma once

#include "core/core.h"
#include "daemon/platform_mod.h"
#include "site/conf.h"

enum {
	LIVE_VALUE_MAX = 512, ///< bytes of a value
};

struct live_value {
	char node[SITE_NAME];
	char run[SITE_NAME]; ///< unique id of its process's run
	char domain[SITE_NAME];
	char peer[SITE_ADDR]; ///< "IP:port" for messages between daemons
	bool retiring; ///< it is no home any more
	bool relay; ///< passes on what it knows of the store's keys
};

/// Write this node's value.
///
/// @param retiring  this node is no home any more
/// @return bytes
size_t live_value_write(struct core *c, bool retiring, char *buf, size_t len);

/// @return ERR_OK or ERR_PARSE
enum err live_value_parse(const struct kv_item *item, struct live_value *out);
