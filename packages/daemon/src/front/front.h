// Inside of the front module: a caller's request on its way through.
#pragma once

#include "base/rng.h"
#include "core/core.h"
#include "daemon/site_mod.h"
#include "wire/wire.h"

enum {
	FORWARD_TRIES = 8, ///< most servers that one request is sent to
};

struct forward {
	htab_handle self;
	htab_handle req;
	htab_handle fetch;
	char id[FRONT_ID];
	char team[SITE_NAME];
	char service[SITE_NAME];
	char route[SITE_NAME];
	enum site_kind kind;
	bool has_budget; ///< the caller said how long it will wait
	bool maybe_ran;
	int max_servers;
	int64_t arrived_ms;
	int64_t caller_until_ms; ///< end of the caller's patience
	int64_t until_ms; ///< end of the route's time or the caller's
	int64_t sent_ms; ///< of the running attempt
	int64_t sent_wall_ms;
	int64_t next_ms; ///< when to look for a server again
	htab_handle server; ///< of the running attempt
	char server_id[SITE_NAME]; ///< of the last attempt, "" for none
	int64_t servers_age_ms; ///< of what was known of servers at its choice
	htab_handle tried[FORWARD_TRIES];
	int n_tried;
};

struct front {
	const struct wire_ops *wire;
	struct htab *forwards; ///< struct forward
	struct rng rng;
};

struct front *front_of(const struct core *c);

/// Route a request to a backend server and answer it.
void forward_begin(struct core *c, struct core_req *req,
		   const struct site_route *route,
		   const struct front_fields *fields, const char *team);

/// Move requests on that wait for a server or whose time is up.
void forwards_step(struct core *c);
