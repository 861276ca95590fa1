// Clocks. Decisions never read them: they are given `now`.
#pragma once

#include <stdint.h>

/// Monotonic time that goes on while the machine sleeps (CLOCK_BOOTTIME).
///
/// @return milliseconds
int64_t clock_now_ms(void);

/// Same clock, finer.
///
/// @return microseconds
int64_t clock_now_us(void);

/// Wall clock, for records that people and other systems read.
///
/// @return milliseconds since the epoch
int64_t clock_wall_ms(void);
