// Reports of what a node runs at engines, in msgpack.
#pragma once

#include <msgpack.h>

#include "room/room.h"

/// Requests at a server, which messages name by its id.
struct room_msg_at {
	const char *id;
	int running;
};

/// Write a report.
///
/// @param rep  report; its servers are those of `at`
void room_report_pack(msgpack_sbuffer *buf, const struct room_report *rep,
		      const struct room_msg_at *servers, size_t n_servers);

/// Read a report.
///
/// @param server  server of an id, 0 if it is not known
/// @return ERR_OK or ERR_PARSE
enum err room_report_read(const void *data, size_t len,
			  htab_handle (*server)(void *ctx, const char *id,
						size_t len),
			  void *ctx, struct room_report *out);
