// Messages between daemons: one thread sends them and delivers received ones to a
// mailbox.
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
	struct mbox *events; ///< receives struct peer_msg
	const char *node; ///< this node's id, sent with each message
	uint64_t run; ///< of this process, sent with each message; not 0
	const char *listen; ///< "IP:port"
	size_t max_unread; ///< bytes of received messages that are not freed yet
};

/// A received message.
struct peer_msg {
	char from[PEER_ID_MAX]; ///< sender's node id
	uint64_t run; ///< sender's process, 0 if the message doesn't name it
	uint64_t
		to_run; ///< process that it is meant for, 0 for any of the node
	uint32_t type;
	size_t len; ///< bytes of data
	char data[];
};

/// Operations of a transport; for the thread that called start(), unless noted.
struct peer_ops {
	/// Listen and start the thread.
	///
	/// @return ERR_OK, ERR_NOMEM, ERR_SYS or ERR_PEER_ADDR
	enum err (*start)(const struct peer_opts *opts, struct peer_edge **out);

	/// Connect to a peer in the background.
	///
	/// @return ERR_OK, ERR_FULL, ERR_NOMEM or ERR_PEER_ADDR
	enum err (*add)(struct peer_edge *p, const char *node,
			const char *addr);

	/// Close the connection to a peer.
	enum err (*del)(struct peer_edge *p, const char *node);

	/// Send a copy of a message; dropped if the peer can't be reached.
	///
	/// @param to_run  process that it is meant for, 0 for any of the node
	/// @return ERR_OK, ERR_FULL, ERR_NOMEM or ERR_TOO_LARGE
	enum err (*send)(struct peer_edge *p, const char *node, uint64_t to_run,
			 uint32_t type, const void *buf, size_t len);

	/// Free a received message. Thread-safe.
	void (*msg_free)(struct peer_edge *p, struct peer_msg *m);

	/// Stop the thread and free the messages left in the mailbox, which must have
	/// no other reader.
	void (*stop)(struct peer_edge *p);
};

/// Transport over ZeroMQ.
extern const struct peer_ops peer_zmq_ops;
