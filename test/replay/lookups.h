// Model of one node that forwards short requests with the real decision packages, and
// of its servers.
#pragma once

#include <stdint.h>

enum {
	LOOKUP_SERVERS = 9,
	LOOKUP_DOMAINS = 3, ///< server i is in domain i % LOOKUP_DOMAINS
};

/// Fault of a server.
enum lookup_fault {
	LOOKUP_HEALTHY,
	LOOKUP_SLOW, ///< ten times slower
	LOOKUP_HALF_FAILING, ///< fails half of the requests immediately
	LOOKUP_RESPONSE_LOST, ///< runs the request, then closes the connection
	LOOKUP_NO_RESPONSE, ///< never responds
};

struct lookup_load {
	int servers;
	int requests_per_s;
	/// After the first tenth of the simulated time.
	enum lookup_fault fault[LOOKUP_SERVERS];
	int hedge_percent; ///< 0: a retry after half of the caller's time
	uint64_t seed;
};

struct lookup_stats {
	int requests;
	int answered; ///< successfully, by the caller's deadline
	int n_added; ///< attempts after the first of each request
	int max_added_10s; ///< most added attempts in any 10 s
	int max_added_percent_10s; ///< of the requests in any 10 s
	int p99_ms;
};

/// Simulate 60 s of a load.
struct lookup_stats lookups_simulate(const struct lookup_load *l);
