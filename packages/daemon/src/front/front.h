// Inside of the front module: a caller's request on its way through.
#pragma once

#include "attempt/hedge.h"
#include "base/rng.h"
#include "core/core.h"
#include "daemon/site_mod.h"
#include "job/response_times.h"
#include "wire/wire.h"

enum {
	FORWARD_TRIES = 8, ///< most servers that one request is sent to
	FORWARD_AT_ONCE = 2, ///< attempts of one request
	FRONT_SERVICES = 64, ///< whose answer times are remembered
};

/// An attempt at a server.
struct forward_try {
	htab_handle fetch; ///< 0 while there is none
	htab_handle server;
	char server_id[SITE_NAME_SIZE]; ///< "" before the first
	int64_t servers_age_ms; ///< of what was known of servers at its choice
	int64_t sent_ms;
	int64_t sent_wall_ms;
	int64_t missed_ms; ///< of a live request: it should be answered by then
	int probe; ///< of site_server_call_begin()
	bool told; ///< what it showed of the server is noted
	bool hedge; ///< another one was out when it began
};

struct forward {
	htab_handle self;
	htab_handle req;
	char id[FRONT_ID];
	char team[SITE_NAME_SIZE];
	char service[SITE_NAME_SIZE];
	char route[SITE_NAME_SIZE];
	enum site_route_kind kind;
	bool has_budget; ///< the caller said how long it will wait
	bool maybe_ran;
	/// Idempotent, with a time within which its answer is on time, and second
	/// attempts are on.
	bool live;
	int64_t target_ms;
	int max_servers;
	int64_t arrived_ms;
	int64_t caller_until_ms; ///< end of the caller's patience
	int64_t until_ms; ///< end of the route's time or the caller's
	int64_t next_ms; ///< when to look for a server again
	struct forward_try tries[FORWARD_AT_ONCE];
	int last; ///< index of the attempt that began last
	htab_handle tried[FORWARD_TRIES];
	int n_tried;
};

/// Answer times of a service.
struct front_service {
	char name[SITE_NAME_SIZE];
	struct response_times times;
};

struct front {
	const struct wire_ops *wire;
	struct htab *forwards; ///< struct forward
	struct rng rng;
	struct hedge_budget budget;
	struct front_service services[FRONT_SERVICES];
	int n_services;
};

struct front *front_of(const struct core *c);

/// Route a request to a backend server and answer it.
void forward_begin(struct core *c, struct core_req *req,
		   const struct site_route *route,
		   const struct front_fields *fields, const char *team);

/// Move requests on that wait for a server or whose time is up.
void forwards_step(struct core *c);

/// Attempts of a request that are out.
int forward_running(const struct forward *f);

/// Send a request to a server, or note when to look for one again.
void forward_send(struct core *c, struct forward *f);

/// Send a request to a chosen server.
enum err forward_send_to(struct core *c, struct forward *f,
			 struct site_server *s);

/// An attempt ended; its context is of forward_ctx().
void forward_done(struct core *c, void *ctx,
		  const struct core_fetch_result *res);
void *forward_ctx(const struct forward *f, int try_index);

/// Answer with a failure of this node's own, and free the request.
void forward_fail(struct core *c, struct forward *f, enum err e);

/// End all attempts and free the request.
void forward_free(struct core *c, struct forward *f);

/// Begin a request: decide whether it is a live one.
void forward_live_begin(struct core *c, struct forward *f,
			const struct site_route *route);

/// An attempt begins at a server.
void forward_live_sent(struct core *c, struct forward *f, struct forward_try *t,
		       struct site_server *s);

/// An attempt showed something of its server.
void forward_live_showed(struct core *c, struct forward *f,
			 struct forward_try *t, enum site_outcome how);

/// A server answered an attempt.
void forward_live_answered(struct core *c, struct forward *f,
			   const struct forward_try *t);

/// Whether a request whose attempt may have run may be sent again.
bool forward_live_may_retry(struct core *c, struct forward *f);

/// Send a second attempt if it is time.
void forward_live_step(struct core *c, struct forward *f);
