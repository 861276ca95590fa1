// Faults that a test injects into requests.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	FAULTS_MAX = 32,
};

enum fault_mode {
	FAULT_NONE,
	FAULT_DROP_REPLY, ///< executed; closed without a response
	FAULT_REFUSE, ///< not executed; closed without a response
	FAULT_HANG, ///< not executed; closed after delay_ms (0: 1 h)
	FAULT_DELAY, ///< executed after delay_ms
	FAULT_ERROR, ///< not executed; response 503
};

struct fault {
	char path[128]; ///< path prefix
	char method[8]; ///< "" for any
	enum fault_mode mode;
	int count; ///< remaining requests, -1: unlimited
	int64_t delay_ms;
};

struct faults {
	struct fault list[FAULTS_MAX];
	size_t n;
	uint64_t clear_count; ///< incremented when the faults are cleared
};

/// Add a fault.
///
/// @param obj  body of POST /fake/fault
/// @return false for a malformed body or a full table
bool fault_add(struct faults *f, const json_t *obj);

/// First fault that matches a request; consumes one of its count.
///
/// @return copy, mode FAULT_NONE if none matches
struct fault fault_consume(struct faults *f, const char *method,
			   const char *path);

/// Remove all faults; hanging requests end.
void fault_clear(struct faults *f);
