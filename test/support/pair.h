// Two order_holder processes of one failure domain that compete for its duty lease,
// each with a faulty link (link.h) to the fake platform, and counts of the orders that
// the platform received.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "support/link.h"
#include "support/proc.h"

enum {
	PAIR_NODES = 2,
	PAIR_TTL_MS = 600, ///< lease TTL
	PAIR_MARGIN_MS = 150, ///< setting duty.margin
	PAIR_NET_DELAY_MS = 250, ///< setting duty.net_delay
	PAIR_GAPS = 1024, ///< gaps kept in a count
};

struct pair_node {
	struct proc proc;
	char id[16];
	char ip[16];
	char conf[256]; ///< settings file
	struct link *link; ///< to the fake platform
};

struct pair {
	char domain[16];
	char url[64]; ///< of the fake platform
	const char *mode; ///< "gate": orders sent by the duty module;
		///< "report": usage reports sent by the duty module;
		///< "naive": orders sent directly after a lease check
	int net_delay_ms; ///< setting of both nodes
	struct pair_node node[PAIR_NODES];
};

/// What the fake platform received for one failure domain.
struct pair_count {
	int orders;
	int epochs; ///< epochs with at least one order
	int stale; ///< orders that arrived after an order of a newer epoch
	int64_t gap_ms
		[PAIR_GAPS]; ///< from an epoch's last order to the next epoch's first
	int gaps;
};

/// Start the fake platform on a loopback address of this test.
///
/// @param args      extra arguments, NULL-terminated, or NULL
/// @param[out] url  at least 64 bytes
bool pair_platform(struct proc *p, const char *const *args, char *url);

/// Start both holders.
///
/// @param p      the caller has set mode and net_delay_ms
/// @param index  from 0, unique in the test; the domain is "d" and this number
/// @param url    of the fake platform
bool pair_start(struct pair *p, int index, const char *url);

/// Start one holder process again with the same settings.
bool pair_restart(struct pair *p, int i);

/// Current holder according to the platform's KV store.
///
/// @return index of the node, -1 for none
int pair_holder(const struct pair *p);

/// Count the orders in the platform's log.
void pair_counted(const struct pair *p, struct pair_count *out);

/// Kill both holders, stop their links and remove their settings files.
void pair_stop(struct pair *p);
