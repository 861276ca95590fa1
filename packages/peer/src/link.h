// Outgoing connections, one per peer. Used only by the transport's thread.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "peer/peer.h"

struct link_table;

/// Create an empty table.
///
/// @param zmq   ZeroMQ context
/// @param node  this node's id; must outlive the table
/// @param run  this process
/// @return table, NULL when out of memory
struct link_table *link_table_new(void *zmq, const char *node, uint64_t run);

/// Close all connections.
void link_table_free(struct link_table *t);

/// Connect to a peer, replacing an existing connection.
void link_table_add(struct link_table *t, const char *node, const char *addr);

/// Close a peer's connection.
void link_table_del(struct link_table *t, const char *node);

/// Send a message; dropped if there is no connection or its queue is full.
///
/// @param to_run  process that it is meant for, 0 for any of the node
void link_table_send(struct link_table *t, const char *node, uint64_t to_run,
		     uint32_t type, const void *buf, size_t len);
