// One request to the fake platform and its dispatch.
#pragma once

#include <jansson.h>

#include "fake.h"

struct MHD_Connection;

struct call {
	struct MHD_Connection *conn;
	const char *method;
	const char *path; ///< without the query
	json_t *body; ///< NULL if none or malformed
	int status; ///< HTTP status, set by the handler
	json_t *reply; ///< response body, set by the handler
};

/// Handle a request. Lock held.
void calls_dispatch(struct fake *f, struct call *c);
