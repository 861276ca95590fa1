// Faults that a test plants on calls.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	FAULT_MAX = 32,
};

enum fault_mode {
	FAULT_NONE,
	FAULT_DROP_REPLY, ///< takes effect; closed without an answer
	FAULT_REFUSE, ///< no effect; closed without an answer
	FAULT_HANG, ///< no effect; silent for delay_ms, 0: until cleared
	FAULT_DELAY, ///< takes effect after delay_ms
	FAULT_ERROR, ///< no effect; answered 503
};

struct fault {
	char path[128]; ///< prefix
	char method[8]; ///< "" for any
	enum fault_mode mode;
	int count; ///< calls left, -1 for ever
	int64_t delay_ms;
};

struct faults {
	struct fault list[FAULT_MAX];
	size_t n;
	uint64_t gen; ///< grows when the faults are cleared
};

/// Plant a fault.
///
/// @param obj  body of POST /fake/fault
/// @return false for a malformed body or a full table
bool fault_add(struct faults *f, const json_t *obj);

/// Fault for a call; uses up one of its count.
///
/// @return copy with mode FAULT_NONE if there is none
struct fault fault_take(struct faults *f, const char *method, const char *path);

/// Remove all faults; hanging calls end.
void fault_clear(struct faults *f);
