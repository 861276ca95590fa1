// Internals of the tally module: usage windows of this node, and the leader's
// report.
#pragma once

#include <jansson.h>

#include "core/core.h"
#include "daemon/platform_mod.h"

enum {
	TALLY_WINDOWS_MAX = 24, ///< kept by a node until they are in the store
};

struct tally_window {
	int64_t number; ///< windows since 1970
	json_t *counts; ///< team to requests, NULL for an unused entry
	bool dirty; ///< has counts that are not in the store
	bool call_outstanding;
	bool must_read_rev;
	uint64_t rev; ///< of the key, 0 for none
	int64_t next_call_ms;
};

enum report_step {
	REPORT_IDLE,
	REPORT_LIST, ///< read the nodes' counts
	REPORT_FINALIZE, ///< create the key with the final figures
	REPORT_READ, ///< read figures that another leader may have made final
	REPORT_SEND, ///< send them to the platform
};

/// The leader's report of one window at a time.
struct tally_report {
	enum report_step step;
	bool call_outstanding;
	int64_t window; ///< in progress, or next
	json_t *sum; ///< team to requests, of the nodes' counts that were read
	char *sealed; ///< final figures as they are in the store
	size_t teams; ///< in the final figures
	char cursor[256]; ///< last key of the previous page
	uint64_t epoch; ///< of the leadership that started the report
	int64_t next_call_ms;
};

struct tally {
	int64_t window_ms;
	int64_t settle_ms; ///< from a window's end to its report
	struct tally_window windows[TALLY_WINDOWS_MAX];
	struct tally_report report;
};

void tally_report_free(struct tally_report *r);

/// Take the next step of the leader's report.
void tally_report_step(struct core *c, struct tally *t, int64_t wall_ms);
