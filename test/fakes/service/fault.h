// Faults that a test orders: the next COUNT requests meet one.
#pragma once

#include <stdbool.h>

struct json_t;

enum fault_mode {
	FAULT_NONE,
	FAULT_REFUSE, ///< connection closed before anything is read
	FAULT_RESET_BEFORE, ///< request read, no run, connection reset
	FAULT_RESET_AFTER, ///< run, connection reset
	FAULT_HANG, ///< run, silence for delay_ms, connection reset
	FAULT_LATE, ///< run, answer after delay_ms
	FAULT_DROP_HALF, ///< run, half of the answer, connection closed
	FAULT_ERROR, ///< run, answer 500
	FAULT_SLOW, ///< run after delay_ms, then the answer
	FAULT_MODES
};

struct fault {
	enum fault_mode mode;
	int delay_ms;
};

/// Take an order.
///
/// @param order  {"mode","count","delay_ms"}
/// @return false for an unknown mode
bool fault_order(const struct json_t *order);

/// Fault for a new connection: FAULT_REFUSE or FAULT_NONE.
struct fault fault_for_connection(void);

/// Fault for a request; each ordered fault is given out once.
struct fault fault_for_request(void);
