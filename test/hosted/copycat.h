// A backend server that sends a second copy of each answer late: just before the
// answer to the next request on the same connection. A thread a connection.
#pragma once

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

enum {
	COPYCAT_SEEN = 4096, ///< requests that are remembered
};

enum copycat_kind {
	COPY_WHOLE, ///< the answer as it was
	COPY_NAMELESS, ///< without the request's id
	COPY_HALF, ///< its head and half of its body
	COPY_NOT_RUN, ///< a refusal that says not run, with the earlier id
	COPY_NOT_RUN_NAMELESS, ///< the same without an id
	COPY_FAILED, ///< a 500 without an id
	COPY_KINDS,
};

struct copycat {
	int fd; ///< at which connections come in
	char addr[64]; ///< "IP:port" at which it listens
	atomic_int kind; ///< enum copycat_kind
	atomic_int copies; ///< that were sent
	pthread_mutex_t lock;
	char seen[COPYCAT_SEEN][64]; ///< ids of the requests that it ran
	int n_seen;
};

/// Times that it ran a request.
int copycat_runs(struct copycat *cc, const char *id);

/// Listen on a port; it lives as long as the process.
bool copycat_start(struct copycat *cc, const char *ip, int port);
