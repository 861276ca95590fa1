// Creates and frees the core: I/O edges, mailboxes, tables, modules.
#include "core.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "core/memory.h"

enum {
	HTTP_EVENTS_PER_REQ = 2,
};

int64_t core_now(const struct core *c)
{
	return c->now_ms;
}

const struct settings *core_settings(const struct core *c)
{
	return c->opts.settings;
}

const char *core_node(const struct core *c)
{
	return settings_str(c->opts.settings, S_NODE_ID);
}

const char *core_domain(const struct core *c)
{
	return settings_str(c->opts.settings, S_NODE_DOMAIN);
}

const char *core_incarnation(const struct core *c)
{
	return c->incarnation;
}

void *core_mod_state(const struct core *c, enum core_mod m)
{
	return c->mod_states[m];
}

const struct wire_ops *core_wire(const struct core *c)
{
	return c->opts.wire;
}

bool core_draining(const struct core *c)
{
	return c->phase != CORE_SERVING;
}

int64_t core_end_ms(const struct core *c, int64_t *begun_ms)
{
	int64_t grace_ms = settings_int(c->opts.settings, S_NODE_GRACE);

	*begun_ms = c->drain_start_ms;
	return core_draining(c) && grace_ms ? c->drain_start_ms + grace_ms
					    : INT64_MAX;
}

static unsigned int round_up_pow2(unsigned int n)
{
	unsigned int p = 4;

	while (p <= n)
		p *= 2;
	return p;
}

static unsigned int max_requests(const struct core *c)
{
	int64_t conns = settings_int(c->opts.settings, S_HTTP_MAX_CONNS);
	int64_t n = HTTP_LISTENERS * conns;

	return n < UINT16_MAX ? (unsigned int)n : UINT16_MAX;
}

static enum err start_http(struct core *c)
{
	const struct settings *s = c->opts.settings;
	struct http_opts opts = {
		.events = c->http_queue,
		.max_requests = max_requests(c),
		.listen = {settings_str(s, S_HTTP_LISTEN),
			   settings_str(s, S_HTTP_ADMIN)},
		.max_connections =
			(unsigned int)settings_int(s, S_HTTP_MAX_CONNS),
		.idle_timeout_ms = settings_int(s, S_HTTP_IDLE),
		.receive_timeout_ms = settings_int(s, S_HTTP_RECEIVE),
		.max_body = (size_t)settings_int(s, S_HTTP_MAX_BODY),
		.max_held = memory_share(s, MEMORY_HTTP),
		.send_buffer = (int)settings_int(s, S_HTTP_SNDBUF),
		.unread_timeout_ms = settings_int(s, S_HTTP_UNREAD),
	};

	return c->opts.http->start(&opts, &c->http);
}

static enum err start_upstream(struct core *c)
{
	const struct settings *s = c->opts.settings;
	struct upstream_opts opts = {
		.events = c->upstream_queue,
		.max_calls = CORE_FETCHES_MAX,
		.max_held = memory_share(s, MEMORY_UPSTREAM),
		.send_buffer = (int)settings_int(s, S_UP_SNDBUF),
		.stream_buffer = (size_t)settings_int(s, S_UP_STREAM_BUFFER),
		.source = settings_str(s, S_UP_SOURCE),
	};

	return c->opts.upstream->start(&opts, &c->up);
}

static enum err start_peer(struct core *c)
{
	struct peer_opts opts = {
		.events = c->peer_queue,
		.node = core_node(c),
		.run = c->run,
		.max_unread = memory_share(c->opts.settings, MEMORY_PEER),
		.listen = settings_str(c->opts.settings, S_PEER_LISTEN),
	};

	return c->opts.peer->start(&opts, &c->peer);
}

static enum err placeholder_start(struct core *c, void **state)
{
	return ERR_OK;
}

/* Placeholder for a module that this daemon doesn't have. */
static const struct core_mod_ops placeholder = {
	.name = "absent",
	.start = placeholder_start,
};

static enum err start_mods(struct core *c)
{
	for (int i = 0; i < MOD_COUNT; i++) {
		const struct core_mod_ops *m =
			c->opts.mods[i] ? c->opts.mods[i] : &placeholder;
		enum err e;

		c->mods[i] = m;
		e = m->start(c, &c->mod_states[i]);

		if (e != ERR_OK) {
			log_event(EV_FATAL, "module=%s error=%s", m->name,
				  err_code(e));
			return e;
		}
		c->n_started_mods++;
	}
	return ERR_OK;
}

static bool watch_fd(struct core *c, int fd)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.fd = fd};

	return fd >= 0 && epoll_ctl(c->epoll_fd, EPOLL_CTL_ADD, fd, &ev) == 0;
}

static bool create_queues(struct core *c)
{
	unsigned int reqs = max_requests(c);

	c->http_queue = mbox_new(round_up_pow2(HTTP_EVENTS_PER_REQ * reqs));
	c->upstream_queue = mbox_new(CORE_EVENTS_PER_FETCH * CORE_FETCHES_MAX);
	c->peer_queue = mbox_new(CORE_PEER_QUEUE_EVENTS);
	c->reqs = htab_new(reqs, sizeof(struct req_entry));
	c->fetches = htab_new(CORE_FETCHES_MAX, sizeof(struct fetch_entry));
	c->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	c->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (!c->http_queue || !c->upstream_queue || !c->peer_queue ||
	    !c->reqs || !c->fetches || c->epoll_fd < 0)
		return false;
	return watch_fd(c, c->wake_fd) && watch_fd(c, mbox_fd(c->http_queue)) &&
	       watch_fd(c, mbox_fd(c->upstream_queue)) &&
	       watch_fd(c, mbox_fd(c->peer_queue));
}

static enum err check_edge(const char *edge, enum err e)
{
	if (e != ERR_OK)
		log_event(EV_FATAL, "edge=%s error=%s", edge, err_code(e));
	return e;
}

static enum err start_all(struct core *c)
{
	enum err e = check_edge("upstream", start_upstream(c));

	if (e == ERR_OK)
		e = check_edge("peer", start_peer(c));
	if (e == ERR_OK)
		e = core_status_routes(c);
	if (e == ERR_OK)
		e = start_mods(c);
	/* Started last, as requests arrive from here on. */
	if (e == ERR_OK)
		e = check_edge("http", start_http(c));
	if (e == ERR_OK && !watch_fd(c, c->opts.http->poll_fd(c->http)))
		e = ERR_SYS;
	return e;
}

enum err core_new(const struct core_opts *opts, struct core **out)
{
	struct core *c = calloc(1, sizeof(*c));
	uint64_t id;
	enum err e;

	*out = NULL;
	if (!c || sodium_init() < 0) {
		free(c);
		return ERR_NOMEM;
	}
	c->opts = *opts;
	c->opts.http = opts->http ? opts->http : &http_mhd_ops;
	c->opts.upstream = opts->upstream ? opts->upstream : &upstream_curl_ops;
	c->opts.peer = opts->peer ? opts->peer : &peer_zmq_ops;
	c->epoll_fd = -1;
	c->wake_fd = -1;
	c->now_ms = clock_now_ms();
	c->next_tick_ms = c->now_ms;
	randombytes_buf(&id, sizeof(id));
	id |= 1;
	c->run = id;
	snprintf(c->incarnation, sizeof(c->incarnation), "%016llx",
		 (unsigned long long)id);
	e = create_queues(c) ? start_all(c) : ERR_SYS;
	if (e != ERR_OK) {
		core_free(c);
		return e;
	}
	*out = c;
	return ERR_OK;
}

static void stop_mods(struct core *c)
{
	while (c->n_started_mods > 0) {
		int i = --c->n_started_mods;

		if (c->mods[i]->stop)
			c->mods[i]->stop(c, c->mod_states[i]);
		c->mod_states[i] = NULL;
	}
}

static void close_fd(int fd)
{
	if (fd >= 0)
		close(fd);
}

void core_free(struct core *c)
{
	if (!c)
		return;
	c->phase = CORE_ENDED;
	if (c->fetches)
		core_fetch_end_all(c);
	stop_mods(c);
	core_drop_all(c);
	if (c->http)
		c->opts.http->stop(c->http);
	if (c->up)
		c->opts.upstream->stop(c->up);
	if (c->peer)
		c->opts.peer->stop(c->peer);
	mbox_free(c->http_queue);
	mbox_free(c->upstream_queue);
	mbox_free(c->peer_queue);
	htab_free(c->reqs);
	htab_free(c->fetches);
	free(c->peers);
	close_fd(c->epoll_fd);
	close_fd(c->wake_fd);
	free(c);
}
