// One call to the stand-in and the table of what it answers.
#pragma once

#include <jansson.h>

#include "fake.h"

struct MHD_Connection;

struct call {
	struct MHD_Connection *conn;
	const char *method;
	const char *path; ///< without the query
	json_t *body; ///< NULL if none or malformed
	int status; ///< answer, set by the handler
	json_t *reply; ///< answer, set by the handler
};

/// Answer a call; the lock is held.
void calls_run(struct fake *f, struct call *c);
