// Internals of the front module: callers' requests forwarded to backend servers.
#pragma once

#include "attempt/hedge.h"
#include "base/rng.h"
#include "core/core.h"
#include "daemon/site_mod.h"
#include "job/response_times.h"
#include "suspect/identity.h"
#include "wire/wire.h"

enum {
	FORWARD_MAX_ATTEMPTS = 8, ///< of one request
	FORWARD_MAX_IN_FLIGHT = 2, ///< attempts of one request
	FRONT_MAX_SERVICES = 64, ///< that have their own response times
};

/// An attempt of a request at a server.
struct forward_attempt {
	htab_handle fetch; ///< HTTP call in flight, 0 if none
	htab_handle server;
	char server_id[SITE_NAME_SIZE]; ///< "" before the first attempt
	int64_t started_ms; ///< incarnation of the server
	int64_t servers_age_ms; ///< age of the server list at its choice
	int64_t sent_ms;
	int64_t sent_wall_ms;
	int64_t expected_by_ms; ///< set if the request may be hedged
	int probe; ///< result of site_server_call_begin()
	bool outcome_recorded; ///< for the server's health
	bool hedge; ///< another attempt was in flight when it began
};

struct forward {
	htab_handle self;
	htab_handle req;
	char id[FRONT_ID_BYTES];
	struct suspect_id identity; ///< the same when the caller sends it again
	char *team; ///< owned
	char service[SITE_NAME_SIZE];
	char route[SITE_NAME_SIZE];
	enum site_route_kind kind;
	bool has_budget; ///< the caller stated how long it will wait
	bool maybe_ran;
	/// Idempotent, its route has a target latency, and hedging is enabled.
	bool may_hedge;
	int64_t target_ms;
	int max_servers;
	int64_t arrived_ms;
	int64_t caller_deadline_ms;
	int64_t deadline_ms; ///< the earlier of the route's and the caller's deadline
	int64_t next_choice_ms;
	bool trial; ///< it is barred, and sent once to see whether it ends a server
	bool awaits_permit; ///< of a server with a limit
	int64_t retry_after_ms; ///< told when it is refused, 0 for the default
	struct forward_attempt attempts[FORWARD_MAX_IN_FLIGHT];
	int last_attempt; ///< index into attempts
	/// An answer of which nothing says that it is whole, NULL if none; in the arena of
	/// the request.
	const struct core_fetch_result *kept;
	struct forward_attempt kept_attempt;
	htab_handle tried[FORWARD_MAX_ATTEMPTS]; ///< servers
	int n_tried;
};

/// Response times of a service.
struct front_service {
	char name[SITE_NAME_SIZE];
	struct response_times times;
};

struct front {
	const struct wire_ops *wire;
	struct htab *forwards; ///< struct forward
	size_t body_max; ///< bytes of a body that can be sent on
	struct rng rng;
	struct hedge_budget budget;
	struct front_service services[FRONT_MAX_SERVICES];
	int n_services;
};

struct front *front_of(const struct core *c);

/// Forward a request to a backend server and answer it.
void forward_begin(struct core *c, struct core_req *req,
		   const struct site_route *route,
		   const struct front_fields *fields, const char *team);

/// Advance requests that wait for a server, are past their deadline or need hedging.
void forward_step_all(struct core *c);

/// Number of attempts of a request in flight.
int forward_running(const struct forward *f);

/// Choose a server and send the request to it, or set when to choose again. Fails
/// the request if its service has no usable server.
void forward_send(struct core *c, struct forward *f);

/// Send a request to a chosen server.
enum err forward_send_to(struct core *c, struct forward *f,
			 struct site_server *s);

/// Handle the end of an attempt; ctx is from forward_ctx().
void forward_attempt_done(struct core *c, void *ctx,
			  const struct core_fetch_result *res);

/// Callback context of one attempt of a request.
void *forward_ctx(const struct forward *f, int attempt_index);

/// Answer with an error of this node (not of a server) and free the request.
void forward_fail(struct core *c, struct forward *f, enum err e);

/// Cancel all attempts in flight and free the request.
void forward_free(struct core *c, struct forward *f);

/// Decide whether a new request may be hedged, and count it for the hedge budget.
void forward_hedge_init(struct core *c, struct forward *f,
			const struct site_route *route);

/// Record that an attempt was sent to a server.
void forward_hedge_sent(struct core *c, struct forward *f,
			struct forward_attempt *t, struct site_server *s);

/// Record an attempt's outcome for its server's health; only the first counts.
void forward_hedge_outcome(struct core *c, struct forward *f,
			   struct forward_attempt *t,
			   enum site_outcome outcome);

/// Record the response time of an answered attempt.
void forward_hedge_answered(struct core *c, struct forward *f,
			    const struct forward_attempt *t);

/// Whether a request that a server may have run may be retried; takes from the
/// hedge budget if the request may be hedged.
bool forward_hedge_may_retry(struct core *c, struct forward *f);

/// Send a hedged attempt if it is due.
void forward_hedge_step(struct core *c, struct forward *f);
