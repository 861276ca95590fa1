// Faults that a test injects into the next COUNT requests or connections.
#pragma once

#include <stdbool.h>

struct json_t;

enum fault_mode {
	FAULT_NONE,
	FAULT_REFUSE, ///< connection closed before reading
	FAULT_RESET_BEFORE, ///< request read, not run; connection reset
	FAULT_RESET_AFTER, ///< run; connection reset
	FAULT_HANG, ///< run; connection reset after delay_ms
	FAULT_LATE, ///< run; response after delay_ms
	FAULT_DROP_HALF, ///< run; half of the response, connection closed
	FAULT_DROP_UNFRAMED, ///< the same, of a body without length or chunks
	FAULT_ERROR, ///< run; response 500
	FAULT_SLOW, ///< run after delay_ms, then the response
	FAULT_MODES
};

struct fault {
	enum fault_mode mode;
	int delay_ms;
};

/// Set the fault, replacing an earlier one.
///
/// @param order  {"mode","count","delay_ms"}; default 1, 1000 ms
/// @return false for an unknown mode
bool fault_set(const struct json_t *order);

/// Consume the fault for a new connection: FAULT_REFUSE or FAULT_NONE.
struct fault fault_for_connection(void);

/// Consume the fault for a request, any but FAULT_REFUSE.
struct fault fault_for_request(void);
