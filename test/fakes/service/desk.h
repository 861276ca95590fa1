// The booking desk: runs calls, counts them, answers.
#pragma once

#include <microhttpd.h>
#include <stdbool.h>

struct desk_opts {
	const char *id; ///< server id in each answer
	int delay_ms; ///< time that a run takes
	unsigned int seed; ///< first booking number
};

/// Set up the desk; call once before the listener starts.
void desk_init(const struct desk_opts *opts);

/// Access handler of microhttpd.
enum MHD_Result desk_handle(void *cls, struct MHD_Connection *conn,
			    const char *url, const char *method,
			    const char *version, const char *data,
			    size_t *data_len, void **state);

/// Completion handler of microhttpd: frees what a request holds.
void desk_completed(void *cls, struct MHD_Connection *conn, void **state,
		    enum MHD_RequestTerminationCode code);

/// Accept policy of microhttpd: refuses where a fault says so.
enum MHD_Result desk_accept(void *cls, const struct sockaddr *addr,
			    socklen_t len);
