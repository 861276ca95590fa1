// Reads the system's clocks.
#include "base/clock.h"

#include <time.h>

static int64_t clock_read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t clock_now_ms(void)
{
	return clock_read_us(CLOCK_BOOTTIME) / 1000;
}

int64_t clock_now_us(void)
{
	return clock_read_us(CLOCK_BOOTTIME);
}

int64_t clock_wall_ms(void)
{
	return clock_read_us(CLOCK_REALTIME) / 1000;
}
