// Servers by their ids, for reports that name some hundred of them.
#pragma once

#include "site/server.h"

struct room_name {
	uint64_t hash; ///< of the id
	htab_handle server;
};

/// Sorted copy of the servers' ids.
struct room_names {
	struct room_name list[SITE_SERVERS];
	size_t n;
	int64_t made_ms; ///< 0: never
};

/// Server of an id. The copy is made anew, some times a second at most, when it
/// does not hold the id or the server has gone.
///
/// @return its handle, 0 if it is not known
htab_handle room_names_find(struct room_names *names,
			    const struct site_servers *t, int64_t now,
			    const char *id, size_t len);
