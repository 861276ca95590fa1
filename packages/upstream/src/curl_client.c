// The HTTP client's thread: an epoll loop that drives libcurl's transfers.
#include <assert.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mbox.h"
#include "base/metric.h"
#include "call.h"
#include "curl_client.h"

enum {
	UPSTREAM_EPOLL_BATCH = 128, ///< most epoll events per iteration
	UPSTREAM_SCAN_MS = 50, ///< interval of scan_calls()
	UPSTREAM_CMDS_PER_CALL = 4, ///< queue entries; a call needs 2
	UPSTREAM_MAX_IDLE_CONNS = 1024, ///< kept for reuse
};

void upstream_call_freed(struct upstream *up)
{
	metric_set(M_UP_LIVE, atomic_fetch_sub(&up->n_calls, 1) - 1);
}

static void list_add(struct upstream *up, struct upstream_call *c)
{
	c->next = up->running;
	if (c->next)
		c->next->prev = c;
	up->running = c;
	c->running = true;
}

static void list_del(struct upstream *up, struct upstream_call *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		up->running = c->next;
	if (c->next)
		c->next->prev = c->prev;
	c->prev = NULL;
	c->next = NULL;
	c->running = false;
}

/// End a call: the running list's reference passes to the UPSTREAM_DONE event.
static void call_end(struct upstream *up, struct upstream_call *c,
		     CURLcode code)
{
	enum err e;

	list_del(up, c);
	call_finish(c, code);
	if (c->result.err != ERR_OK)
		metric_add(M_UP_FAILED, 1);
	c->done = (struct upstream_event){
		.kind = UPSTREAM_DONE,
		.id = c->opts.id,
		.tag = c->opts.tag,
		.call = c,
		.result = &c->result,
	};
	e = mbox_put(up->opts.events, &c->done);
	assert(e == ERR_OK);
	(void)e;
}

static void call_start(struct upstream *up, struct upstream_call *c)
{
	list_add(up, c);
	if (!call_setup(c)) {
		call_end(up, c, CURLE_URL_MALFORMAT);
		return;
	}
	if (curl_multi_add_handle(up->multi, c->easy) != CURLM_OK)
		call_end(up, c, CURLE_OUT_OF_MEMORY);
}

static void call_abort(struct upstream *up, struct upstream_call *c)
{
	curl_multi_remove_handle(up->multi, c->easy);
	list_del(up, c);
	call_free_transfer(c);
	call_unref(c);
}

/// @return false if the thread must stop
static bool run_commands(struct upstream *up)
{
	struct call_cmd *cmd;

	mbox_clear(up->cmds);
	while ((cmd = mbox_get(up->cmds))) {
		if (cmd->kind == CALL_QUIT)
			return false;
		if (cmd->kind == CALL_START) {
			call_start(up, cmd->call);
			continue;
		}
		if (cmd->call->running)
			call_abort(up, cmd->call);
		call_unref(cmd->call);
	}
	return true;
}

static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *known)
{
	struct upstream *up = ctx;
	struct upstream_call *c = NULL;
	struct epoll_event ev = {.data.fd = fd};

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &c);
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(up->epoll, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (c)
		c->fd = fd;
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (known) {
		epoll_ctl(up->epoll, EPOLL_CTL_MOD, fd, &ev);
		return 0;
	}
	epoll_ctl(up->epoll, EPOLL_CTL_ADD, fd, &ev);
	curl_multi_assign(up->multi, fd, up);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct upstream *up = ctx;

	up->curl_timer_ms = timeout_ms < 0 ? -1 : clock_now_ms() + timeout_ms;
	return 0;
}

static void finish_transfers(struct upstream *up)
{
	CURLMsg *msg;
	int n_left;

	while ((msg = curl_multi_info_read(up->multi, &n_left))) {
		struct upstream_call *c;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &c);
		curl_multi_remove_handle(up->multi, c->easy);
		call_end(up, c, code);
	}
}

static bool call_idle_expired(const struct upstream_call *c, int64_t now)
{
	return c->opts.idle_timeout_ms && c->last_progress_ms && !c->paused &&
	       now - c->last_progress_ms >= c->opts.idle_timeout_ms;
}

/// libcurl does not end a transfer whose bytes are refused as they are delivered again.
static void resume(struct upstream *up, struct upstream_call *c)
{
	CURLcode code = curl_easy_pause(c->easy, CURLPAUSE_CONT);

	if (code == CURLE_OK)
		return;
	curl_multi_remove_handle(up->multi, c->easy);
	call_end(up, c, code);
}

/// End calls past their idle timeout; resume paused ones that may read again.
static void scan_calls(struct upstream *up, int64_t now)
{
	struct upstream_call *next;

	for (struct upstream_call *c = up->running; c; c = next) {
		next = c->next;
		if (c->paused && !upstream_call_must_pause(c, 0)) {
			c->paused = false;
			c->last_progress_ms = now;
			resume(up, c);
			continue;
		}
		if (!call_idle_expired(c, now))
			continue;
		c->idle_expired = true;
		curl_multi_remove_handle(up->multi, c->easy);
		call_end(up, c, CURLE_OPERATION_TIMEDOUT);
	}
	up->next_scan_ms = now + UPSTREAM_SCAN_MS;
}

static int loop_timeout_ms(const struct upstream *up)
{
	int64_t now = clock_now_ms();
	int64_t wake_ms = up->running ? up->next_scan_ms : INT64_MAX;

	if (up->curl_timer_ms >= 0 && up->curl_timer_ms < wake_ms)
		wake_ms = up->curl_timer_ms;
	if (wake_ms == INT64_MAX)
		return -1;
	return wake_ms > now ? (int)(wake_ms - now) : 0;
}

static int curl_bits(uint32_t events)
{
	int bits = 0;

	if (events & EPOLLIN)
		bits |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		bits |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		bits |= CURL_CSELECT_ERR;
	return bits;
}

static void *client_run(void *arg)
{
	struct upstream *up = arg;
	struct epoll_event evs[UPSTREAM_EPOLL_BATCH];
	int running;

	for (;;) {
		int n = epoll_wait(up->epoll, evs, UPSTREAM_EPOLL_BATCH,
				   loop_timeout_ms(up));
		int64_t now = clock_now_ms();

		for (int i = 0; i < n; i++) {
			if (evs[i].data.fd == mbox_fd(up->cmds))
				continue;
			curl_multi_socket_action(up->multi, evs[i].data.fd,
						 curl_bits(evs[i].events),
						 &running);
		}
		if (up->curl_timer_ms >= 0 && up->curl_timer_ms <= now) {
			up->curl_timer_ms = -1;
			curl_multi_socket_action(up->multi, CURL_SOCKET_TIMEOUT,
						 0, &running);
		}
		finish_transfers(up);
		if (now >= up->next_scan_ms)
			scan_calls(up, now);
		if (!run_commands(up))
			return NULL;
	}
}

static enum err curl_call(struct upstream *up,
			  const struct upstream_call_opts *opts,
			  struct upstream_call **out)
{
	struct upstream_call *c;
	unsigned int n_calls = atomic_fetch_add(&up->n_calls, 1);
	enum err e;

	if (n_calls >= up->opts.max_calls ||
	    (opts->tag && up->opts.max_held &&
	     atomic_load(&up->held_bytes) + opts->body_len >
		     up->opts.max_held)) {
		atomic_fetch_sub(&up->n_calls, 1);
		return ERR_FULL;
	}
	c = call_new(up, opts);
	if (!c) {
		atomic_fetch_sub(&up->n_calls, 1);
		return ERR_NOMEM;
	}
	call_ref(c);
	e = mbox_put(up->cmds, &c->start_cmd);
	assert(e == ERR_OK);
	(void)e;
	metric_add(M_UP_CALLS, 1);
	metric_set(M_UP_LIVE, n_calls + 1);
	*out = c;
	return ERR_OK;
}

static void curl_cancel(struct upstream *up, struct upstream_call *c)
{
	enum err e = mbox_put(up->cmds, &c->cancel_cmd);

	assert(e == ERR_OK);
	(void)e;
}

static void curl_forget(struct upstream *up, struct upstream_call *c)
{
	call_unref(c);
}

static bool multi_init(struct upstream *up)
{
	up->multi = curl_multi_init();
	if (!up->multi)
		return false;
	curl_multi_setopt(up->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(up->multi, CURLMOPT_SOCKETDATA, up);
	curl_multi_setopt(up->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(up->multi, CURLMOPT_TIMERDATA, up);
	curl_multi_setopt(up->multi, CURLMOPT_MAXCONNECTS,
			  UPSTREAM_MAX_IDLE_CONNS);
	return true;
}

static bool epoll_init(struct upstream *up)
{
	struct epoll_event ev = {
		.events = EPOLLIN,
		.data.fd = mbox_fd(up->cmds),
	};

	up->epoll = epoll_create1(EPOLL_CLOEXEC);
	return up->epoll >= 0 &&
	       epoll_ctl(up->epoll, EPOLL_CTL_ADD, mbox_fd(up->cmds), &ev) == 0;
}

static enum err curl_start(const struct upstream_opts *opts,
			   struct upstream **out)
{
	struct upstream *up = calloc(1, sizeof(*up));

	if (!up)
		return ERR_NOMEM;
	up->opts = *opts;
	up->curl_timer_ms = -1;
	up->epoll = -1;
	up->quit.kind = CALL_QUIT;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	up->cmds = mbox_new(UPSTREAM_CMDS_PER_CALL * opts->max_calls);
	if (!up->cmds || !multi_init(up) || !epoll_init(up))
		goto err;
	if (pthread_create(&up->thread, NULL, client_run, up))
		goto err;
	*out = up;
	return ERR_OK;

err:
	if (up->epoll >= 0)
		close(up->epoll);
	curl_multi_cleanup(up->multi);
	mbox_free(up->cmds);
	free(up);
	return ERR_SYS;
}

static void curl_stop(struct upstream *up)
{
	struct upstream_event *ev;

	mbox_put(up->cmds, &up->quit);
	pthread_join(up->thread, NULL);
	while (up->running)
		call_abort(up, up->running);
	/* Posted after the receiver last read the mailbox. */
	while ((ev = mbox_get(up->opts.events)))
		upstream_event_free(ev);
	curl_multi_cleanup(up->multi);
	close(up->epoll);
	mbox_free(up->cmds);
	free(up);
}

const struct upstream_ops upstream_curl_ops = {
	.start = curl_start,
	.call = curl_call,
	.cancel = curl_cancel,
	.forget = curl_forget,
	.event_free = upstream_event_free,
	.stop = curl_stop,
};
