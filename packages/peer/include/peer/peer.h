// Messages between daemons: one thread carries them and tells a mailbox.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	PEER_ID_MAX = 64, ///< bytes of a node id with its NUL
	PEER_ADDR_MAX = 64, ///< bytes of an address with its NUL
	PEER_MSG_MAX = 1048576, ///< bytes of a message body
};

struct mbox;
struct peer_edge;

struct peer_opts {
	struct mbox *events; ///< gets struct peer_msg
	const char *node; ///< this node's id, sent with each message
	const char *listen; ///< "IP:port"
};

/// A message; data follows it in memory.
struct peer_msg {
	char from[PEER_ID_MAX]; ///< sender's node id
	uint32_t type;
	size_t len; ///< bytes of data
	char data[];
};

/// What an implementation offers; all belongs to the thread that made it.
struct peer_ops {
	enum err (*start)(const struct peer_opts *opts, struct peer_edge **out);

	/// Connect to a peer in the background.
	///
	/// @return ERR_OK, ERR_FULL or ERR_PEER_ADDR
	enum err (*add)(struct peer_edge *p, const char *node,
			const char *addr);

	/// Close the connection to a peer.
	enum err (*del)(struct peer_edge *p, const char *node);

	/// Send a message, copied; it is dropped when the peer can't be reached.
	///
	/// @return ERR_OK, ERR_FULL, ERR_NOMEM or ERR_TOO_LARGE
	enum err (*send)(struct peer_edge *p, const char *node, uint32_t type,
			 const void *buf, size_t len);

	/// Free a received message; any thread.
	void (*msg_free)(struct peer_edge *p, struct peer_msg *m);

	/// Stop the thread, and free the messages that are left in the mailbox;
	/// nobody takes any more.
	void (*stop)(struct peer_edge *p);
};

/// Over ZeroMQ.
extern const struct peer_ops peer_zmq_ops;
