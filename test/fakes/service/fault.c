// Holds one injected fault for the next COUNT requests or connections.
#include "fault.h"

#include <jansson.h>
#include <pthread.h>
#include <string.h>

enum {
	FAULT_DELAY_MS = 1000, ///< default delay
};

static const char *const fault_names[FAULT_MODES] = {
	[FAULT_NONE] = "none",
	[FAULT_REFUSE] = "refuse",
	[FAULT_RESET_BEFORE] = "reset_before",
	[FAULT_RESET_AFTER] = "reset_after",
	[FAULT_HANG] = "hang",
	[FAULT_LATE] = "late",
	[FAULT_DROP_HALF] = "drop_half",
	[FAULT_DROP_UNFRAMED] = "drop_unframed",
	[FAULT_ERROR] = "error",
	[FAULT_SLOW] = "slow",
};

static pthread_mutex_t fault_lock = PTHREAD_MUTEX_INITIALIZER;
static struct fault fault_active;
static long long fault_remaining;

bool fault_set(const struct json_t *order)
{
	const char *name = json_string_value(json_object_get(order, "mode"));
	json_t *count = json_object_get(order, "count");
	json_t *delay = json_object_get(order, "delay_ms");

	for (int m = 0; name && m < FAULT_MODES; m++) {
		if (strcmp(name, fault_names[m]) != 0)
			continue;
		pthread_mutex_lock(&fault_lock);
		fault_active.mode = (enum fault_mode)m;
		fault_active.delay_ms =
			delay ? (int)json_integer_value(delay) : FAULT_DELAY_MS;
		fault_remaining = count ? json_integer_value(count) : 1;
		pthread_mutex_unlock(&fault_lock);
		return true;
	}
	return false;
}

static struct fault fault_consume(bool connection)
{
	struct fault f = {FAULT_NONE, 0};

	pthread_mutex_lock(&fault_lock);
	if (fault_remaining > 0 &&
	    (fault_active.mode == FAULT_REFUSE) == connection) {
		f = fault_active;
		fault_remaining--;
	}
	pthread_mutex_unlock(&fault_lock);
	return f;
}

struct fault fault_for_connection(void)
{
	return fault_consume(true);
}

struct fault fault_for_request(void)
{
	return fault_consume(false);
}
