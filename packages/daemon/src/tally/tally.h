// Inside of the tally module: windows of this node, and the leader's report.
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
	bool dirty; ///< counts that the store does not have
	bool busy; ///< a call is outstanding
	bool must_read; ///< the key's revision must be read first
	uint64_t rev; ///< of the key, 0 for none
	int64_t next_ms; ///< earliest next call
};

enum report_step {
	REPORT_IDLE,
	REPORT_LIST, ///< read the nodes' counts
	REPORT_FINALIZE, ///< fix the figures in the store
	REPORT_READ, ///< read figures that another leader fixed
	REPORT_SEND, ///< tell the platform
};

/// The leader's report of one window at a time.
struct tally_report {
	enum report_step step;
	bool busy; ///< a call is outstanding
	int64_t window; ///< being reported, or the next one
	json_t *sum; ///< team to requests
	char cursor[256]; ///< last key of the list's page
	uint64_t epoch; ///< of the holding that began it
	int64_t next_ms; ///< earliest next call
};

struct tally {
	int64_t window_ms;
	int64_t settle_ms;
	struct tally_window windows[TALLY_WINDOWS_MAX];
	struct tally_report report;
};

/// Move the leader's report on.
void tally_report_step(struct core *c, struct tally *t, int64_t wall_ms);
