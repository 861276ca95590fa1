// A TCP relay that a test can cut, freeze or slow down: a network link. The target
// sees the address of the caller.
#pragma once

enum link_mode {
	LINK_PASS,
	LINK_SILENT, ///< connections stay open, nothing passes (lost state)
	LINK_SILENT_BACK, ///< only what comes back from the target is lost
	LINK_CUT, ///< connections are reset and refused
};

struct link;

/// Start a relay.
///
/// @param ip         address to listen on
/// @param port       port to listen on
/// @param to_ip      target address
/// @param to_port    target port
/// @return relay, NULL on failure
struct link *link_start(const char *ip, int port, const char *to_ip,
			int to_port);

/// Change the mode. Bytes read while silent are dropped, so a connection that
/// was silent never works again; new ones follow the mode.
void link_set(struct link *l, enum link_mode mode);

/// Hold up what callers send from now on. It arrives late even if the caller has
/// closed or reset its connection by then.
///
/// @param delay_ms  milliseconds, 0 for none
/// @param first     only connections whose first bytes are these, "" for all;
///                  lives as long as the link
void link_hold(struct link *l, int delay_ms, const char *first);

/// Stop the relay and close its connections.
void link_stop(struct link *l);
