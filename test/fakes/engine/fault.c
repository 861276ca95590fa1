// Parses and applies injected faults.
#include "fault.h"

#include <jansson.h>
#include <string.h>
#include <unistd.h>

#include "cache.h"

static const char *const fault_names[FAULT_MODES] = {
	[FAULT_HANG] = "hang",		 [FAULT_RESET_MID] = "reset_mid",
	[FAULT_SLOW] = "slow",		 [FAULT_SWAP_FAIL] = "swap_fail",
	[FAULT_SWAP_LATE] = "swap_late",
};

bool fault_consume(struct engine *e, enum fault_mode mode, int64_t *delay_ms)
{
	struct fault *f = &e->faults[mode];

	if (f->remaining == 0)
		return false;
	f->remaining--;
	if (delay_ms)
		*delay_ms = f->delay_ms;
	return true;
}

static int fault_parse_mode(const char *name)
{
	for (int i = 0; i < FAULT_MODES; i++) {
		if (strcmp(fault_names[i], name) == 0)
			return i;
	}
	return -1;
}

int fault_set(struct engine *e, const struct json_t *body)
{
	const char *name = json_string_value(json_object_get(body, "mode"));
	json_int_t count = json_integer_value(json_object_get(body, "count"));
	json_int_t delay =
		json_integer_value(json_object_get(body, "delay_ms"));
	int mode;

	if (!name)
		return 400;
	if (strcmp(name, "die") == 0)
		_exit(1);
	pthread_mutex_lock(&e->lock);
	mode = fault_parse_mode(name);
	if (mode >= 0)
		e->faults[mode] = (struct fault){(int)count, delay};
	if (strcmp(name, "evict") == 0)
		cache_clear(e);
	pthread_mutex_unlock(&e->lock);
	return mode >= 0 || strcmp(name, "evict") == 0 ? 200 : 400;
}
