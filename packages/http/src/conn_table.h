// Open connections, to close those whose request does not arrive.
#pragma once

#include <stdbool.h>
#include <stdint.h>

struct conn_table;
struct conn;

struct conn_table *conn_table_new(void);
void conn_table_free(struct conn_table *t);

/// A connection was accepted; it waits for a request from now on.
///
/// @param fd  its socket, open until conn_del()
/// @return connection, NULL when out of memory
struct conn *conn_add(struct conn_table *t, int fd, int64_t now_ms);

/// Its socket is about to be closed.
void conn_del(struct conn_table *t, struct conn *c);

/// It waits for a request, or its request has arrived.
void conn_waits(struct conn_table *t, struct conn *c, bool waits,
		int64_t now_ms);

/// An answer is being written, until conn_waits().
void conn_answers(struct conn_table *t, struct conn *c);

/// Shut down connections whose caller took no byte of an answer for longer than a
/// limit, though some are there to take.
///
/// @param limit_ms  0 for none
/// @return how many
int conn_table_unread(struct conn_table *t, int64_t now_ms, int64_t limit_ms);

/// Shut down connections that wait for longer than a limit.
///
/// @return how many
int conn_table_expire(struct conn_table *t, int64_t now_ms, int64_t limit_ms);
