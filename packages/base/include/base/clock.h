// Clocks. Decision functions never read them: they take the time as `now`.
#pragma once

#include <stdint.h>

/// Monotonic time that includes system suspend (CLOCK_BOOTTIME).
///
/// @return milliseconds
int64_t clock_now_ms(void);

/// The clock of clock_now_ms(), in microseconds.
///
/// @return microseconds
int64_t clock_now_us(void);

/// Wall clock, for timestamps read by people and other systems.
///
/// @return milliseconds since 1970 (Unix epoch)
int64_t clock_wall_ms(void);
