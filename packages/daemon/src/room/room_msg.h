// Msgpack encoding of the reports of a node's requests at engines.
#pragma once

#include <msgpack.h>

#include "room/room.h"

/// Requests at a server, identified by its id.
struct room_msg_server_requests {
	const char *id;
	int running;
};

/// Encode a report.
///
/// @param rep      report, whose own servers are ignored
/// @param servers  servers to report instead
void room_report_pack(msgpack_sbuffer *buf, const struct room_report *rep,
		      const struct room_msg_server_requests *servers,
		      size_t n_servers);

/// Decode a report.
///
/// @param server  looks up a server by id, 0 if there is none
/// @return ERR_OK or ERR_PARSE
enum err room_report_read(const void *data, size_t len,
			  htab_handle (*server)(void *ctx, const char *id,
						size_t len),
			  void *ctx, struct room_report *out);
