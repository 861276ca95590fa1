// The event loop: handles the edges' mailboxes, ticks the modules, drains, reloads.
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "core.h"

enum {
	LOOP_BATCH_EVENTS = 256, ///< handled of one mailbox in a row
	LOOP_FDS_MAX = 8,
	LOOP_POLL_TICKS = 5, ///< ticks between polls of the HTTP edge
	LOOP_CLOSING_MS = 100, ///< from closing the listeners to the end
};

static void wake_loop(struct core *c)
{
	uint64_t one = 1;

	if (write(c->wake_fd, &one, sizeof(one)) < 0) {
		/* The counter is at its maximum: the loop is already woken. */
	}
}

void core_stop(struct core *c)
{
	c->want_stop = 1;
	wake_loop(c);
}

void core_reload(struct core *c)
{
	c->want_reload = 1;
	wake_loop(c);
}

static void update_now(struct core *c)
{
	c->now_ms = clock_now_ms();
}

/// @return true if more events may be queued
static bool drain_http(struct core *c)
{
	mbox_clear(c->http_queue);
	for (int i = 0; i < LOOP_BATCH_EVENTS; i++) {
		struct http_event *ev = mbox_get(c->http_queue);

		if (!ev)
			return false;
		update_now(c);
		core_on_http(c, ev);
		metric_add(M_LOOP_EVENTS, 1);
	}
	return true;
}

static bool drain_upstream(struct core *c)
{
	mbox_clear(c->upstream_queue);
	for (int i = 0; i < LOOP_BATCH_EVENTS; i++) {
		struct upstream_event *ev = mbox_get(c->upstream_queue);

		if (!ev)
			return false;
		update_now(c);
		core_on_upstream(c, ev);
		metric_add(M_LOOP_EVENTS, 1);
	}
	return true;
}

static bool drain_peer(struct core *c)
{
	mbox_clear(c->peer_queue);
	for (int i = 0; i < LOOP_BATCH_EVENTS; i++) {
		struct peer_msg *m = mbox_get(c->peer_queue);

		if (!m)
			return false;
		update_now(c);
		core_on_peer(c, m);
		metric_add(M_LOOP_EVENTS, 1);
	}
	return true;
}

static void tick(struct core *c)
{
	static const int64_t poll_ms = LOOP_POLL_TICKS * CORE_TICK_MS;

	for (int i = 0; i < c->n_started_mods; i++) {
		if (c->mods[i]->tick)
			c->mods[i]->tick(c, c->mod_states[i], c->now_ms);
	}
	if (c->now_ms / poll_ms != (c->now_ms - CORE_TICK_MS) / poll_ms)
		c->opts.http->poll(c->http, c->now_ms);
	c->next_tick_ms += CORE_TICK_MS;
	if (c->next_tick_ms <= c->now_ms)
		c->next_tick_ms = c->now_ms + CORE_TICK_MS;
}

static void wait_events(struct core *c, bool more)
{
	struct epoll_event events[LOOP_FDS_MAX];
	int64_t until_tick_ms = c->next_tick_ms - clock_now_ms();
	int timeout_ms = more || until_tick_ms < 0 ? 0 : (int)until_tick_ms;
	int n = epoll_wait(c->epoll_fd, events, LOOP_FDS_MAX, timeout_ms);
	uint64_t count;

	update_now(c);
	for (int i = 0; i < n; i++) {
		int fd = events[i].data.fd;

		if (fd == c->wake_fd && read(fd, &count, sizeof(count)) < 0)
			continue;
		if (fd == c->opts.http->poll_fd(c->http))
			c->opts.http->poll(c->http, c->now_ms);
	}
}

static void handle_stop_and_reload(struct core *c)
{
	if (c->want_stop && c->phase == CORE_SERVING)
		core_drain_begin(c);
	if (c->want_reload) {
		c->want_reload = 0;
		core_reload_settings(c);
	}
	core_drain_step(c);
}

enum err core_run(struct core *c)
{
	bool more = false;

	log_event(EV_START, "domain=%s listen=%s admin=%s peer=%s version=%s",
		  core_domain(c), settings_str(c->opts.settings, S_HTTP_LISTEN),
		  settings_str(c->opts.settings, S_HTTP_ADMIN),
		  settings_str(c->opts.settings, S_PEER_LISTEN),
		  CATKIN_VERSION);
	while (c->phase != CORE_ENDED) {
		wait_events(c, more);
		more = drain_http(c);
		more |= drain_upstream(c);
		more |= drain_peer(c);
		update_now(c);
		if (c->now_ms >= c->next_tick_ms)
			tick(c);
		handle_stop_and_reload(c);
	}
	log_event(EV_STOP, "drained_ms=%lld",
		  (long long)(c->now_ms - c->phase_start_ms));
	return ERR_OK;
}

static void enter_phase(struct core *c, enum core_phase phase)
{
	c->phase = phase;
	c->phase_start_ms = c->now_ms;
}

void core_drain_begin(struct core *c)
{
	enter_phase(c, CORE_DRAINING);
	c->drain_start_ms = c->now_ms;
	log_event(EV_DRAIN, "requests=%u", c->opts.http->open(c->http));
	c->opts.http->drain(c->http);
	for (int i = 0; i < c->n_started_mods; i++) {
		if (c->mods[i]->drain)
			c->mods[i]->drain(c, c->mod_states[i]);
	}
}

static bool all_idle(struct core *c)
{
	for (int i = 0; i < c->n_started_mods; i++) {
		if (c->mods[i]->idle && !c->mods[i]->idle(c, c->mod_states[i]))
			return false;
	}
	return c->opts.http->open(c->http) == 0;
}

void core_drain_step(struct core *c)
{
	int64_t elapsed_ms = c->now_ms - c->phase_start_ms;
	int64_t notice_ms = settings_int(c->opts.settings, S_NODE_DRAIN_NOTICE);

	if (c->phase == CORE_DRAINING && elapsed_ms >= notice_ms &&
	    all_idle(c)) {
		c->opts.http->quiesce(c->http);
		enter_phase(c, CORE_CLOSING);
	} else if (c->phase == CORE_CLOSING && elapsed_ms >= LOOP_CLOSING_MS &&
		   all_idle(c)) {
		c->phase = CORE_ENDED;
	}
}

static void log_errors(char *text)
{
	char *save;

	for (char *line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save))
		log_event(EV_RELOAD_REFUSED, "fault=\"%s\"", line);
}

void core_reload_settings(struct core *c)
{
	struct settings *newer;
	char *text = NULL;
	size_t len;
	FILE *errors;
	enum err e;

	if (!c->opts.settings_path)
		return;
	errors = open_memstream(&text, &len);
	if (!errors)
		return;
	e = settings_load(c->opts.settings_path, errors, &newer);
	fclose(errors);
	if (e != ERR_OK) {
		log_errors(text);
	} else {
		settings_reload(c->opts.settings, newer);
		log_set_level(settings_str(c->opts.settings, S_LOG_LEVEL));
		settings_free(newer);
		c->opts.http->set_max_body(
			c->http, (size_t)settings_int(c->opts.settings,
						      S_HTTP_MAX_BODY));
	}
	free(text);
}
