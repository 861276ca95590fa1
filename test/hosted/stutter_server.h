// Fake backend server whose answers break off, come twice or are followed by bytes that
// belong to no request, as a seeded generator says. One thread per connection.
#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	STUTTER_RUNS_MAX = 8192, ///< capacity of the run log
	STUTTER_ADDRS = 2, ///< a request may go to another server meanwhile
	STUTTER_BODY_MAX = 4096, ///< bytes of a body, with NUL
};

enum stutter_framing {
	STUTTER_LENGTH,
	STUTTER_CHUNKS,
	STUTTER_UNFRAMED, ///< ends with its connection
};

/// What comes after the bytes of an answer.
enum stutter_next {
	STUTTER_KEEP, ///< the connection stays open for the next request
	STUTTER_CLOSE,
	STUTTER_RESET,
	STUTTER_SILENT, ///< nothing for a while, then it is closed
	STUTTER_COPY, ///< the same answer at once
	STUTTER_COPY_LATE,
	STUTTER_STRAY, ///< bytes that belong to no request
	STUTTER_STRAY_LATE,
	STUTTER_NEXTS,
};

/// A request that was read completely, and its answer.
struct stutter_run {
	char id[64];
	enum stutter_framing framing;
	enum stutter_next next;
	size_t len; ///< bytes of the answer
	size_t sent; ///< of these
	size_t copied; ///< bytes of the second answer
	/// The connection is closed after that, so that no client waits for long.
	bool closes;
	/// Whole, its end stated, and nothing strange on the connection before.
	bool sound;
};

struct stutter_server {
	uint64_t seed;
	char addrs[STUTTER_ADDRS][64]; ///< "IP:port"
	pthread_mutex_t lock;
	struct stutter_run runs[STUTTER_RUNS_MAX];
	int n_runs;
};

/// The whole body of the answers to a request, which follows from its id.
void stutter_body(const char *id, char out[STUTTER_BODY_MAX]);

/// Start listening on STUTTER_ADDRS ports; runs until the process exits.
bool stutter_server_start(struct stutter_server *srv, const char *ip, int port,
			  uint64_t seed);

/// Runs of a request in their order.
///
/// @return number of them, of which at most max are copied
int stutter_server_runs(struct stutter_server *srv, const char *id,
			struct stutter_run *out, int max);
