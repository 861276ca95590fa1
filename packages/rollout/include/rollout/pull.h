// A trainer's pull request and its reply.
#pragma once

#include <stdbool.h>

#include "rollout/batch.h"
#include "rollout/sample.h"

/// A list of slot names.
struct slot_names {
	char (*v)[BATCH_SLOT_NAME_SIZE];
	size_t n;
};

struct pull {
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
	char route[BATCH_NAME_SIZE];
	char batch[BATCH_NAME_SIZE];
	uint64_t session;
	uint64_t version; ///< trainer's current weight version
	uint64_t max; ///< limit of samples
	int64_t wait_ms; ///< long poll: longest wait for a sample
	struct slot_names acks;
	struct slot_names lost; ///< names from a reply's expired list
};

struct pull_item {
	char slot[BATCH_SLOT_NAME_SIZE];
	uint64_t seed;
	struct sample sample;
};

struct pull_reply {
	struct pull_item *items;
	size_t n;
	struct slot_names
		expired; ///< "GROUP/INDEX@SERIAL": stale, not acknowledged
	uint64_t left; ///< slots not acknowledged yet
	bool done; ///< every slot is acknowledged
};

/// Append a name.
///
/// @return ERR_OK, ERR_INVALID for one that is too long, ERR_NOMEM
enum err slot_names_add(struct slot_names *names, const char *name);

/// Free a list and reset it.
void slot_names_clear(struct slot_names *names);

/// Free what a pull holds and reset it.
void pull_clear(struct pull *p);

/// Free what a reply holds and reset it.
void pull_reply_clear(struct pull_reply *r);
