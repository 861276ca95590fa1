// Internal state of the HTTP client, and limits on events not yet handled.
#pragma once

#include <pthread.h>

#include "call.h"

struct mbox;

struct upstream {
	struct upstream_opts opts;
	struct mbox *cmds; ///< queue of struct call_cmd
	struct call_cmd quit;
	pthread_t thread;
	CURLM *multi;
	int epoll;
	int64_t curl_timer_ms; ///< when libcurl's timer expires, clock_now_ms(); -1 if unset
	int64_t next_scan_ms; ///< clock_now_ms()
	struct upstream_call *running; ///< list
	atomic_uint n_calls; ///< calls not yet freed
	atomic_uint n_events; ///< HEAD and DATA events not yet freed
	atomic_size_t held_bytes; ///< bytes of bodies and of DATA events
};

/// Whether the share of the mailbox for HEAD and DATA events is full.
bool upstream_events_full(const struct upstream *up);

/// event_free() of struct upstream_ops.
void upstream_event_free(struct upstream_event *ev);
