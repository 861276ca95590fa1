// Ownership record: owner and backup of a trainer's batches. One key per
// trainer in the key-value store.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "rollout/batch.h"

enum {
	RECORD_KEY_SIZE = 2 * BATCH_NAME_SIZE + 16, ///< bytes of a key
	RECORD_INC_SIZE = 20, ///< bytes of an incarnation
};

struct record {
	uint64_t epoch; ///< incremented by every change
	char owner[BATCH_NAME_SIZE]; ///< node that delivers the samples
	char owner_inc[RECORD_INC_SIZE]; ///< its incarnation
	char backup
		[BATCH_NAME_SIZE]; ///< node with a complete copy, "" for none
};

/// Key of a trainer's record.
///
/// @param[out] key  RECORD_KEY_SIZE bytes
void record_key(const char *team, const char *trainer, char *key);

/// Record as JSON.
///
/// @return text to free(), NULL when out of memory
char *record_format(const struct record *r);

/// @return ERR_OK or ERR_PARSE
enum err record_parse(const char *text, size_t len, struct record *r);

bool record_same(const struct record *a, const struct record *b);
