// Internals of the core; its state is owned by the loop's thread.
#pragma once

#include <signal.h>
#include <stdatomic.h>

#include "base/mbox.h"
#include "core/core.h"
#include "core/settings.h"
#include "http/http.h"
#include "peer/peer.h"
#include "upstream/upstream.h"

enum {
	CORE_ROUTES_MAX = 64,
	CORE_PEER_TYPES_MAX = 160,
	CORE_FETCHES_MAX = 16384, ///< most concurrent outgoing requests
	CORE_EVENTS_PER_FETCH = 4, ///< mailbox entries per outgoing request
	CORE_PEER_QUEUE_EVENTS = 16384,
	CORE_INCARNATION_BYTES = 17, ///< bytes with NUL
	CORE_TICK_MS = 20,
};

enum core_phase {
	CORE_SERVING,
	CORE_DRAINING, ///< no new work; the listeners are still open
	CORE_CLOSING, ///< the listeners are closed; the last answers are sent
	CORE_ENDED,
};

/// A caller's request with the core's own state of it.
struct req_entry {
	struct core_req pub; ///< must be first, as req.c casts
	struct http_req *http;
	bool streaming;
	const char *outcome; ///< status of the span
};

struct fetch_entry {
	struct upstream_call *call;
	void (*on_head)(struct core *c, void *ctx, int status,
			const struct upstream_head *head);
	void (*on_data)(struct core *c, void *ctx, const char *data,
			size_t len);
	void (*on_done)(struct core *c, void *ctx,
			const struct core_fetch_result *res);
	void *ctx;
	struct span span; ///< its name is NULL when the request is not traced
};

struct peer_handler {
	void (*fn)(struct core *c, void *ctx, const char *from, const void *buf,
		   size_t len);
	void *ctx;
};

struct core_peer {
	char node[PEER_ID_MAX];
	char addr[PEER_ADDR_MAX];
};

struct core {
	struct core_opts opts;
	char incarnation[CORE_INCARNATION_BYTES];
	int epoll_fd;
	int wake_fd; ///< eventfd for core_stop() and core_reload()
	volatile sig_atomic_t want_stop;
	volatile sig_atomic_t want_reload;
	int64_t now_ms;
	int64_t next_tick_ms;
	enum core_phase phase;
	int64_t phase_start_ms;
	int64_t drain_start_ms;
	struct mbox *http_queue;
	struct mbox *upstream_queue;
	struct mbox *peer_queue;
	struct http_server *http;
	struct upstream *up;
	struct peer_edge *peer;
	struct htab *reqs; ///< struct req_entry
	struct htab *fetches; ///< struct fetch_entry
	void (*on_response_head)(struct core *c, uint32_t tag, int status,
				 const struct upstream_head *head);
	struct core_route_opts routes[CORE_ROUTES_MAX];
	bool route_draining[CORE_ROUTES_MAX]; ///< also served while draining
	size_t n_routes;
	struct peer_handler peer_handlers[CORE_PEER_TYPES_MAX];
	uint64_t run; ///< `incarnation` as a number, not 0
	struct core_peer_run sender; ///< of the message being handled
	struct core_peer *peers;
	size_t n_peers;
	size_t peers_cap;
	const struct core_mod_ops *mods[MOD_COUNT]; ///< none is NULL
	void *mod_states[MOD_COUNT];
	int n_started_mods;
};

/// Handle one event of an edge and free it.
void core_on_http(struct core *c, struct http_event *ev);
void core_on_upstream(struct core *c, struct upstream_event *ev);
void core_on_peer(struct core *c, struct peer_msg *m);

/// Register the handlers of the core's own paths.
enum err core_status_routes(struct core *c);

/// Reload the settings file and apply the changes.
void core_reload_settings(struct core *c);

/// Begin draining; advance it in each turn of the loop.
void core_drain_begin(struct core *c);
void core_drain_step(struct core *c);

/// Close the connections of all unanswered requests.
void core_drop_requests(struct core *c);

/// End all outgoing requests with ERR_CLOSED; none can start in CORE_ENDED.
void core_fetch_end_all(struct core *c);

/// Drop all remaining requests, outgoing requests and queued events.
void core_drop_all(struct core *c);
