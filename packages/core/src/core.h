// Inside of the core: what the loop's thread owns.
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
	CORE_ROUTES = 64,
	CORE_PEER_TYPES = 160,
	CORE_CALLS = 16384, ///< outgoing requests at once
	CORE_CALL_EVENTS = 4, ///< mailbox entries a call
	CORE_PEER_EVENTS = 16384,
	CORE_INCARNATION = 17, ///< bytes with NUL
	CORE_TICK_MS = 20,
};

enum core_phase {
	CORE_SERVING,
	CORE_DRAINING, ///< no new work; the listeners are open
	CORE_CLOSING, ///< the listeners are shut; the last answers leave
	CORE_ENDED,
};

/// A request with what the core keeps of it.
struct req_entry {
	struct core_req pub; ///< first
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
	struct span span; ///< without a name when the call is not traced
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
	char incarnation[CORE_INCARNATION];
	int epoll;
	int wake; ///< eventfd for core_stop() and core_reload()
	volatile sig_atomic_t want_stop;
	volatile sig_atomic_t want_reload;
	int64_t now_ms;
	int64_t next_tick_ms;
	enum core_phase phase;
	int64_t phase_ms; ///< start of the phase
	struct mbox *http_box;
	struct mbox *up_box;
	struct mbox *peer_box;
	struct http_server *http;
	struct upstream *up;
	struct peer_edge *peer;
	struct htab *reqs; ///< struct req_entry
	struct htab *fetches; ///< struct fetch_entry
	void (*on_heads)(struct core *c, uint32_t tag, int status,
			 const struct upstream_head *head);
	struct core_route_opts routes[CORE_ROUTES];
	bool route_draining[CORE_ROUTES]; ///< still served after SIGTERM
	size_t n_routes;
	struct peer_handler peer_handlers[CORE_PEER_TYPES];
	struct core_peer *peers;
	size_t n_peers;
	size_t peers_cap;
	const struct core_mod_ops *mods[MOD_COUNT]; ///< none is NULL
	void *mod_states[MOD_COUNT];
	int n_started; ///< modules that started
};

/// Handle one event of an edge and free it.
void core_on_http(struct core *c, struct http_event *ev);
void core_on_upstream(struct core *c, struct upstream_event *ev);
void core_on_peer(struct core *c, struct peer_msg *m);

/// Register the paths that the core itself serves.
enum err core_status_routes(struct core *c);

/// Read the settings file again.
void core_take_settings(struct core *c);

/// Begin and carry on the drain.
void core_drain_begin(struct core *c);
void core_drain_step(struct core *c);

/// Close the connections of all unanswered requests.
void core_drop_requests(struct core *c);

/// End all calls with ERR_CLOSED; no new ones start after CORE_ENDED.
void core_fetch_end_all(struct core *c);

/// End all requests and calls that are left.
void core_drop_all(struct core *c);
