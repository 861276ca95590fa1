// A TCP proxy that simulates a network link: a test can reset, black-hole or delay
// its connections. The target sees the caller's IP.
#pragma once

enum link_mode {
	LINK_PASS,
	LINK_BLACKHOLE, ///< connections stay open, all bytes are dropped
	LINK_DROP_REPLIES, ///< only bytes from the target are dropped
	LINK_RESET, ///< connections are reset, new ones too
};

struct link;

/// Start a proxy.
///
/// @param ip         address to listen on
/// @param port       port to listen on
/// @param to_ip      target address
/// @param to_port    target port
/// @return proxy, NULL on failure
struct link *link_start(const char *ip, int port, const char *to_ip,
			int to_port);

/// Change the mode. A connection that lost bytes forwards nothing in any later
/// mode; others follow the new one.
void link_set_mode(struct link *l, enum link_mode mode);

/// Delay what callers send from now on. It reaches the target even if the caller
/// closes or resets its connection.
///
/// @param delay_ms  milliseconds, 0 for none
/// @param prefix    only connections whose first bytes are these, "" for all;
///                  must stay valid until link_stop()
void link_delay(struct link *l, int delay_ms, const char *prefix);

/// Stop the proxy and close its connections.
void link_stop(struct link *l);
