// Table of injected faults; the first one that matches a request applies.
#include "fault.h"

#include <stdio.h>
#include <string.h>

static const char *const mode_names[] = {
	[FAULT_NONE] = "none",	   [FAULT_DROP_REPLY] = "drop_reply",
	[FAULT_REFUSE] = "refuse", [FAULT_HANG] = "hang",
	[FAULT_DELAY] = "delay",   [FAULT_ERROR] = "error",
};

static enum fault_mode fault_parse_mode(const char *name)
{
	for (int i = FAULT_DROP_REPLY; i <= FAULT_ERROR; i++) {
		if (strcmp(mode_names[i], name) == 0)
			return (enum fault_mode)i;
	}
	return FAULT_NONE;
}

bool fault_add(struct faults *f, const json_t *obj)
{
	const char *path = "/", *method = "", *mode = "";
	int count = 1;
	json_int_t delay = 0;
	struct fault *row = &f->list[f->n];

	if (f->n == FAULTS_MAX ||
	    json_unpack((json_t *)obj, "{s?s,s?s,s:s,s?i,s?I}", "path", &path,
			"method", &method, "mode", &mode, "count", &count,
			"delay_ms", &delay) != 0)
		return false;
	if (fault_parse_mode(mode) == FAULT_NONE)
		return false;
	*row = (struct fault){.mode = fault_parse_mode(mode), .count = count};
	row->delay_ms = delay;
	snprintf(row->path, sizeof(row->path), "%s", path);
	snprintf(row->method, sizeof(row->method), "%s", method);
	f->n++;
	return true;
}

static bool fault_matches(const struct fault *row, const char *method,
			  const char *path)
{
	return row->count != 0 &&
	       strncmp(path, row->path, strlen(row->path)) == 0 &&
	       (!*row->method || strcmp(row->method, method) == 0);
}

struct fault fault_consume(struct faults *f, const char *method,
			   const char *path)
{
	for (size_t i = 0; i < f->n; i++) {
		struct fault *row = &f->list[i];

		if (!fault_matches(row, method, path))
			continue;
		if (row->count > 0)
			row->count--;
		return *row;
	}
	return (struct fault){.mode = FAULT_NONE};
}

void fault_clear(struct faults *f)
{
	f->n = 0;
	f->clear_count++;
}
