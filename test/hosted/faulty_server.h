// Fake backend server whose answers break off, come twice or are followed by bytes that
// belong to no request, as a seeded generator says. One thread per connection.
#pragma once

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	FAULTY_RUNS_MAX = 8192, ///< capacity of the run log
	FAULTY_ADDRS = 2, ///< a request may go to another server meanwhile
	FAULTY_BODY_MAX = 4096, ///< bytes of a body, with NUL
};

enum faulty_framing {
	FAULTY_LENGTH,
	FAULTY_CHUNKS,
	FAULTY_UNFRAMED, ///< ends with its connection
};

/// What comes after the bytes of an answer.
enum faulty_next {
	FAULTY_KEEP, ///< the connection stays open for the next request
	FAULTY_CLOSE,
	FAULTY_RESET,
	FAULTY_SILENT, ///< nothing for a while, then it is closed
	FAULTY_COPY, ///< the same answer at once
	FAULTY_COPY_LATE,
	FAULTY_STRAY, ///< bytes that belong to no request
	FAULTY_STRAY_LATE,
	FAULTY_NEXTS,
};

/// A request that was read completely, and its answer.
struct faulty_run {
	char id[64];
	enum faulty_framing framing;
	enum faulty_next next;
	size_t len; ///< bytes of the answer
	size_t sent; ///< of these
	size_t copied; ///< bytes of the second answer
	/// The connection is closed after that, so that no client waits for long.
	bool closes;
	/// Whole, its end stated, and nothing strange on the connection before.
	bool sound;
};

struct faulty_server {
	uint64_t seed;
	char addrs[FAULTY_ADDRS][64]; ///< "IP:port"
	pthread_mutex_t lock;
	struct faulty_run runs[FAULTY_RUNS_MAX];
	int n_runs;
};

/// The whole body of the answers to a request, which follows from its id.
void faulty_body(const char *id, char out[FAULTY_BODY_MAX]);

/// Start listening on FAULTY_ADDRS ports; runs until the process exits.
bool faulty_server_start(struct faulty_server *srv, const char *ip, int port,
			 uint64_t seed);

/// Runs of a request in their order.
///
/// @return number of them, of which at most max are copied
int faulty_server_runs(struct faulty_server *srv, const char *id,
		       struct faulty_run *out, int max);
