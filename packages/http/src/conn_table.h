// Locked table of open connections; closes those too slow to send or to read.
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct conn_table;
struct conn;

struct conn_table *conn_table_new(void);
void conn_table_free(struct conn_table *t);

/// Add an accepted connection; it waits for a request from now on.
///
/// @param fd  its socket, open until conn_del()
/// @return connection, NULL when out of memory
struct conn *conn_add(struct conn_table *t, int fd, int64_t now_ms);

/// Remove a connection before its socket is closed.
void conn_del(struct conn_table *t, struct conn *c);

/// Set whether it waits for a request, or its request has arrived.
void conn_set_waiting(struct conn_table *t, struct conn *c, bool waiting,
		      int64_t now_ms);

/// Note that an answer is being written, until conn_set_waiting().
void conn_set_answering(struct conn_table *t, struct conn *c);

/// Shut down connections whose client has acknowledged no byte of an answer for
/// limit_ms although bytes are queued.
///
/// @param limit_ms  0 for no limit
/// @return number of connections shut down
int conn_table_close_unread(struct conn_table *t, int64_t now_ms,
			    int64_t limit_ms);

/// Shut down connections that have waited for a request for limit_ms.
///
/// @return number of connections shut down
int conn_table_close_expired(struct conn_table *t, int64_t now_ms,
			     int64_t limit_ms);
