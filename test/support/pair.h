// Two order_holder processes that compete for the duty of a failure domain, each
// with a link to the fake platform, and counts of the orders received there.
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
	PAIR_GAPS_MAX = 1024,
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
	const char *mode; ///< "gate": orders by duty_mod_send();
		///< "report": usage reports, likewise;
		///< "naive": orders, lease checked, then sent
	int net_delay_ms; ///< setting of both nodes
	struct pair_node node[PAIR_NODES];
};

/// What the fake platform received for one failure domain.
struct pair_count {
	int orders;
	int epochs; ///< with at least one order
	int stale; ///< orders received after one of a newer epoch
	int64_t gap_ms
		[PAIR_GAPS_MAX]; ///< last order of an epoch to next's first
	int gaps;
};

/// Start the fake platform on a loopback address of this test.
///
/// @param args      extra arguments, NULL-terminated, or NULL
/// @param[out] url  at least 64 bytes
bool pair_start_platform(struct proc *p, const char *const *args, char *url);

/// Start both holders.
///
/// @param p      mode and net_delay_ms are set
/// @param index  from 0, unique in the test; names the domain
/// @param url    of the fake platform
bool pair_start(struct pair *p, int index, const char *url);

/// Restart one holder.
bool pair_restart(struct pair *p, int i);

/// Current holder in the KV store.
///
/// @return node index, -1 for none
int pair_holder(const struct pair *p);

/// Count the orders in the platform's log.
void pair_count_orders(const struct pair *p, struct pair_count *out);

/// Kill both holders; remove links and settings files.
void pair_stop(struct pair *p);
