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
	LOOP_BATCH = 256, ///< events handled of one mailbox before the next
	LOOP_FDS = 8,
	LOOP_POLL_TICKS = 5, ///< ticks between polls of the HTTP edge
	LOOP_CLOSE_MS =
		100, ///< from closing the listeners to the end of the loop
};

static void wake(struct core *c)
{
	uint64_t one = 1;

	if (write(c->wake, &one, sizeof(one)) < 0) {
		/* The counter is at its maximum: the loop is already woken. */
	}
}

void core_stop(struct core *c)
{
	c->want_stop = 1;
	wake(c);
}

void core_reload(struct core *c)
{
	c->want_reload = 1;
	wake(c);
}

static void loop_time(struct core *c)
{
	c->now_ms = clock_now_ms();
}

/// @return true if more events may be queued
static bool drain_http(struct core *c)
{
	mbox_clear(c->http_box);
	for (int i = 0; i < LOOP_BATCH; i++) {
		struct http_event *ev = mbox_get(c->http_box);

		if (!ev)
			return false;
		loop_time(c);
		core_on_http(c, ev);
		metric_add(M_LOOP_EVENTS, 1);
	}
	return true;
}

static bool drain_upstream(struct core *c)
{
	mbox_clear(c->up_box);
	for (int i = 0; i < LOOP_BATCH; i++) {
		struct upstream_event *ev = mbox_get(c->up_box);

		if (!ev)
			return false;
		loop_time(c);
		core_on_upstream(c, ev);
		metric_add(M_LOOP_EVENTS, 1);
	}
	return true;
}

static bool drain_peer(struct core *c)
{
	mbox_clear(c->peer_box);
	for (int i = 0; i < LOOP_BATCH; i++) {
		struct peer_msg *m = mbox_get(c->peer_box);

		if (!m)
			return false;
		loop_time(c);
		core_on_peer(c, m);
		metric_add(M_LOOP_EVENTS, 1);
	}
	return true;
}

static void tick(struct core *c)
{
	static const int64_t poll_ms = LOOP_POLL_TICKS * CORE_TICK_MS;

	for (int i = 0; i < c->n_started; i++) {
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
	struct epoll_event evs[LOOP_FDS];
	int64_t left = c->next_tick_ms - clock_now_ms();
	int timeout = more || left < 0 ? 0 : (int)left;
	int n = epoll_wait(c->epoll, evs, LOOP_FDS, timeout);
	uint64_t count;

	loop_time(c);
	for (int i = 0; i < n; i++) {
		int fd = evs[i].data.fd;

		if (fd == c->wake && read(fd, &count, sizeof(count)) < 0)
			continue;
		if (fd == c->opts.http->poll_fd(c->http))
			c->opts.http->poll(c->http, c->now_ms);
	}
}

static void control(struct core *c)
{
	if (c->want_stop && c->phase == CORE_SERVING)
		core_drain_begin(c);
	if (c->want_reload) {
		c->want_reload = 0;
		core_take_settings(c);
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
		loop_time(c);
		if (c->now_ms >= c->next_tick_ms)
			tick(c);
		control(c);
	}
	log_event(EV_STOP, "drained_ms=%lld",
		  (long long)(c->now_ms - c->phase_ms));
	return ERR_OK;
}

static void enter(struct core *c, enum core_phase phase)
{
	c->phase = phase;
	c->phase_ms = c->now_ms;
}

void core_drain_begin(struct core *c)
{
	enter(c, CORE_DRAINING);
	log_event(EV_DRAIN, "requests=%u", c->opts.http->open(c->http));
	c->opts.http->drain(c->http);
	for (int i = 0; i < c->n_started; i++) {
		if (c->mods[i]->drain)
			c->mods[i]->drain(c, c->mod_states[i]);
	}
}

static bool all_idle(struct core *c)
{
	for (int i = 0; i < c->n_started; i++) {
		if (c->mods[i]->idle && !c->mods[i]->idle(c, c->mod_states[i]))
			return false;
	}
	return c->opts.http->open(c->http) == 0;
}

void core_drain_step(struct core *c)
{
	int64_t since = c->now_ms - c->phase_ms;
	int64_t notice = settings_int(c->opts.settings, S_NODE_DRAIN_NOTICE);

	if (c->phase == CORE_DRAINING && since >= notice && all_idle(c)) {
		c->opts.http->quiesce(c->http);
		enter(c, CORE_CLOSING);
	} else if (c->phase == CORE_CLOSING && since >= LOOP_CLOSE_MS &&
		   all_idle(c)) {
		c->phase = CORE_ENDED;
	}
}

static void log_faults(char *text)
{
	char *save;

	for (char *line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save))
		log_event(EV_RELOAD_REFUSED, "fault=\"%s\"", line);
}

void core_take_settings(struct core *c)
{
	struct settings *newer;
	char *text = NULL;
	size_t len;
	FILE *faults;
	enum err e;

	if (!c->opts.settings_path)
		return;
	faults = open_memstream(&text, &len);
	if (!faults)
		return;
	e = settings_load(c->opts.settings_path, faults, &newer);
	fclose(faults);
	if (e != ERR_OK) {
		log_faults(text);
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
