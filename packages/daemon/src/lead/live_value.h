// Value of a node's liveness key.
#pragma once

#include "core/core.h"
#include "daemon/platform_mod.h"
#include "site/conf.h"

enum {
	LIVE_VALUE_MAX = 512, ///< bytes of a value
};

struct live_value {
	char node[SITE_NAME_SIZE]; ///< from the key
	char run[SITE_NAME_SIZE]; ///< unique id of the process's run
	char domain[SITE_NAME_SIZE];
	char peer[SITE_ADDR_SIZE]; ///< "IP:port" for messages between daemons
	bool retiring; ///< no longer a home node
	bool relay; ///< relays the store's keys that it knows
};

/// Write this node's value as JSON.
///
/// @param retiring  see struct live_value
/// @return bytes, 0 if it doesn't fit or when out of memory
size_t live_value_write(struct core *c, bool retiring, char *buf, size_t len);

/// Parse a liveness key and its value.
///
/// @return ERR_OK or ERR_PARSE
enum err live_value_parse(const struct kv_item *item, struct live_value *out);
