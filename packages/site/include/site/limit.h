// Limits of requests a second that backend servers name in their answers, and the
// permits by which all nodes together keep to them. No I/O and no clock.
//
// Homes grant permits. Of the homes, in an order that follows from the server's id, the
// first one grants most of the limit and the next ones a little, for nodes that can't
// reach the first. The shares are fixed, so their sum holds whoever is lost, cut off or
// frozen, and while nodes know different homes.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	SITE_LIMIT_GRANTORS = 4, ///< homes that grant permits of one server
	SITE_LIMIT_COUNT_MAX = 32, ///< permits of one grant
	SITE_LIMIT_HORIZON_MS = 250, ///< how far ahead permits are granted
	SITE_LIMIT_USE_MS = 250, ///< a permit may be used this long
	/// A home that became the first one grants little for this long: the one before
	/// it may still be asked by nodes that have not heard of the change.
	SITE_LIMIT_SETTLE_MS = 4000,
};

/// What this node knows of a server's limit, and its permits.
struct site_limit {
	/// requests/s that the server takes from all nodes together, 0 for no limit
	double per_s;
	int64_t named_ms; ///< answer that showed per_s, or no limit any more; 0: none

	/* This node's permits. */
	int permits;
	double permit_ms; ///< time from which the next one may be used
	double interval_ms; ///< to the one after it
	int wanted; ///< requests that wait for a permit
	int64_t asked_ms; ///< when the home in question was asked, 0: none was
	int rank; ///< of that home
	int64_t refused_until_ms; ///< asking is no use before

	/* Permits that this node grants as a home. */
	double free_ms; ///< time of the next permit that is not granted yet
	double return_ms; ///< when the next node to be refused shall ask again
};

/// Permits granted to a node.
struct site_grant {
	int n; ///< 0: refused
	double wait_ms; ///< until the first may be used, or until asking again
	double interval_ms; ///< between two of them
};

/// When requests that found no server may find one with a limit.
struct site_limit_outlook {
	int unlimited; ///< usable servers without a limit
	int pending; ///< servers with permits that are granted or asked for
	int64_t refused_ms; ///< until one of the others may be asked again
};

/// Record an answer of a server, or what another node knows of one.
/// Load pattern: answers on different connections overtake each other, and so do
/// messages between nodes: the latest answer counts, but one without a limit only some
/// time after one with it.
///
/// @param per_s     limit that it names, 0 for none
/// @param named_ms  when the answer arrived, on this node's clock
/// @return whether the limit in force changed
bool site_limit_observe(struct site_limit *l, double per_s, int64_t named_ms);

/// Whether a request may be sent to the server now.
bool site_limit_allows(const struct site_limit *l, int64_t now);

/// Whether permits were asked for or are about to become usable.
bool site_limit_pending(const struct site_limit *l, int64_t now);

/// Whether a home is to be asked for permits now.
bool site_limit_should_ask(const struct site_limit *l, int64_t now);

/// Record that a request begins at the server: it uses a permit.
void site_limit_use(struct site_limit *l, int64_t now);

/// Record a home's reply.
void site_limit_granted(struct site_limit *l, const struct site_grant *g,
			int64_t now);

/// Grant permits of a server.
/// Load pattern: many nodes, each with a request now and then, ask for the permits of a
/// server that takes fewer. A permit has its own time, so that no burst follows from
/// their number; those who are refused get times of their own to ask again, so that they
/// don't return together.
///
/// @param share  of the limit that this home grants, from site_limit_share()
/// @param count  permits wanted
struct site_grant site_limit_grant(struct site_limit *l, double share,
				   int count, int64_t now);

/// Share of a limit that a home grants.
///
/// @param rank     of the home for the server, from site_limit_rank()
/// @param homes    number of homes
/// @param settled  false if the home was not the first one SITE_LIMIT_SETTLE_MS ago
/// @return 0 to 1; the shares of all ranks add up to 1.25 at most
double site_limit_share(int rank, size_t homes, bool settled);

/// Order of a home among those that grant permits of a server (rendezvous hash).
///
/// @param names  ids of all homes
/// @return rank from 0, -1 if the home is not among them
int site_limit_rank(const char *server, const char *const *names, size_t n,
		    const char *home);
