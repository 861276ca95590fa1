// Model of one node that passes short requests on, with the packages that decide for
// it, and of the servers behind it.
#pragma once

#include <stdint.h>

enum {
	LOOKUP_SERVERS = 9,
	LOOKUP_DOMAINS = 3, ///< server i is in domain i % LOOKUP_DOMAINS
};

/// What is wrong with a server.
enum lookup_fault {
	LOOKUP_WELL,
	LOOKUP_SLOW, ///< ten times slower
	LOOKUP_GREY, ///< fails every second request at once
	LOOKUP_LOST, ///< does the work and closes the connection
	LOOKUP_CUT, ///< nothing comes back
};

struct lookup_load {
	int servers;
	int per_s; ///< requests
	enum lookup_fault
		fault[LOOKUP_SERVERS]; ///< from a tenth of the time on
	int hedge_percent; ///< 0: a second attempt after half of the caller's time
	uint64_t seed;
};

struct lookup_seen {
	int requests;
	int answered; ///< well, in the caller's time
	int added; ///< attempts beside the first of each request
	int most_added; ///< in any 10 s
	int most_added_percent; ///< of the requests of any 10 s
	int p99_ms;
};

struct lookup_seen lookups_play(const struct lookup_load *l);
