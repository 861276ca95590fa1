// Inside of the edge: its thread's state and what waits for the receiver.
#pragma once

#include <pthread.h>

#include "call.h"

struct mbox;

struct upstream {
	struct upstream_opts opts;
	struct mbox *cmds; ///< struct call_cmd
	struct call_cmd quit;
	pthread_t thread;
	CURLM *multi;
	int epoll;
	int64_t timer_ms; ///< when libcurl wants to be called, -1 for never
	int64_t scan_ms; ///< next scan
	struct upstream_call *running; ///< list
	atomic_uint live; ///< calls not yet freed
	atomic_uint events; ///< events not yet freed
	atomic_size_t held; ///< bytes of bodies, and of data in events
};

/// Whether pieces of streamed bodies must wait for the receiver.
bool upstream_behind(const struct upstream *up);

/// Free an event; of struct upstream_ops.
void upstream_event_free(struct upstream_event *ev);
