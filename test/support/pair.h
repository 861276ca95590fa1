// Two order holders of one failure domain that compete for its duty, each
// behind a link to the stand-in platform, and a count of what that received.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "support/link.h"
#include "support/proc.h"

enum {
	PAIR_NODES = 2,
	PAIR_TTL_MS = 600,
	PAIR_MARGIN_MS = 150,
	PAIR_NET_DELAY_MS = 250,
	PAIR_GAPS = 1024,
};

struct pair_node {
	struct proc proc;
	char id[16];
	char ip[16];
	char conf[256]; ///< settings file
	struct link *link; ///< to the platform
};

struct pair {
	char domain[16];
	char url[64]; ///< of the platform
	const char *mode; ///< "gate": orders; "report": usage reports;
		///< "naive": orders, the lease checked, then sent
	int net_delay_ms; ///< setting of both nodes
	struct pair_node node[PAIR_NODES];
};

/// What the platform received for one failure domain.
struct pair_count {
	int orders;
	int epochs; ///< with at least one order
	int stale; ///< orders of an epoch after the first of a newer one
	int64_t gap_ms[PAIR_GAPS]; ///< last order of an epoch to the next one's
	int gaps;
};

/// Start the stand-in platform at an address of this test.
///
/// @param args      extra arguments, NULL-terminated, or NULL
/// @param[out] url  at least 64 bytes
bool pair_platform(struct proc *p, const char *const *args, char *url);

/// Start both holders, with the domain named after an index.
///
/// @param p      mode and net_delay_ms are set
/// @param index  from 0, unique in the test
/// @param url    of the platform
bool pair_start(struct pair *p, int index, const char *url);

/// Start one holder again.
bool pair_restart(struct pair *p, int i);

/// Which node the store names as the holder.
///
/// @return 0 or 1, -1 for none
int pair_holder(const struct pair *p);

/// Read the platform's log.
void pair_counted(const struct pair *p, struct pair_count *out);

/// Kill both holders and remove what they left.
void pair_stop(struct pair *p);
