// Booking service: executes and counts calls.
#pragma once

#include <microhttpd.h>
#include <stdbool.h>

struct desk_opts {
	const char *id; ///< server id in each response
	int delay_ms; ///< duration of a run
	unsigned int seed; ///< booking numbers start after this
};

/// Initialize the service; call once before the listener starts.
void desk_init(const struct desk_opts *opts);

/// Access handler of microhttpd.
enum MHD_Result desk_handle(void *cls, struct MHD_Connection *conn,
			    const char *url, const char *method,
			    const char *version, const char *data,
			    size_t *data_len, void **state);

/// Completion handler of microhttpd: frees a request's state.
void desk_completed(void *cls, struct MHD_Connection *conn, void **state,
		    enum MHD_RequestTerminationCode code);

/// Accept policy of microhttpd: rejects a connection on FAULT_REFUSE.
enum MHD_Result desk_accept(void *cls, const struct sockaddr *addr,
			    socklen_t len);
