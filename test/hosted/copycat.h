// Fake backend server that sends a duplicate of each response late: just before
// the response to the next request on the connection. One thread per connection.
#pragma once

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>

enum {
	COPYCAT_SEEN = 4096, ///< capacity of the request log
};

enum copycat_kind {
	COPY_WHOLE, ///< the unchanged response
	COPY_NAMELESS, ///< without the request id
	COPY_HALF, ///< the head and half of the body
	COPY_NOT_RUN, ///< 503 marked as not run, with the earlier request id
	COPY_NOT_RUN_NAMELESS, ///< the same without a request id
	COPY_FAILED, ///< 500 without a request id
	COPY_KINDS,
};

struct copycat {
	int fd; ///< listening socket
	char addr[64]; ///< "IP:port" it listens on
	atomic_int kind; ///< enum copycat_kind
	atomic_int copies; ///< duplicates sent
	pthread_mutex_t lock;
	char seen[COPYCAT_SEEN][64]; ///< ids of the requests it ran
	int n_seen;
};

/// Number of times it ran a request.
int copycat_runs(struct copycat *cc, const char *id);

/// Start listening on a port; the server runs until the process exits.
bool copycat_start(struct copycat *cc, const char *ip, int port);
