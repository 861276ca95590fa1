// Model of one node that forwards short requests, using the real decision packages,
// and of the servers behind it.
#pragma once

#include <stdint.h>

enum {
	LOOKUP_SERVERS = 9,
	LOOKUP_DOMAINS = 3, ///< server i is in domain i % LOOKUP_DOMAINS
};

/// Fault of a server.
enum lookup_fault {
	LOOKUP_WELL,
	LOOKUP_SLOW, ///< ten times the service time
	LOOKUP_GREY, ///< fails half of the requests immediately
	LOOKUP_LOST, ///< runs the request, then closes the connection
	LOOKUP_CUT, ///< never responds
};

struct lookup_load {
	int servers;
	int per_s; ///< requests
	/// After the first tenth of the simulated time.
	enum lookup_fault fault[LOOKUP_SERVERS];
	int hedge_percent; ///< 0: no hedging, a retry after half of the caller's time
	uint64_t seed;
};

struct lookup_seen {
	int requests;
	int answered; ///< successfully, by the caller's deadline
	int added; ///< attempts after the first of each request
	int most_added; ///< most added attempts in any 10 s
	int most_added_percent; ///< the same, relative to the requests in those 10 s
	int p99_ms;
};

/// Simulate 60 s of a load.
struct lookup_seen lookups_play(const struct lookup_load *l);
