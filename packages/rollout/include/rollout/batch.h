// A batch as a trainer submits it: groups of slots, one sample per slot. The
// slots of a group share one prompt.
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	BATCH_NAME_SIZE = 64, ///< bytes of a name with its NUL
	BATCH_SLOT_NAME_SIZE =
		BATCH_NAME_SIZE + 32, ///< bytes of "GROUP/INDEX@SERIAL"
	BATCH_MAX_GROUPS = 16384,
	BATCH_MAX_SLOTS = 65536,
	BATCH_MAX_TOKENS = 1 << 20, ///< of one sample or one prompt
};

struct batch_group {
	char name[BATCH_NAME_SIZE];
	uint32_t *prompt;
	size_t n_prompt;
	uint32_t n; ///< slots
	uint32_t first; ///< index of its first slot
	uint32_t max_tokens;
	uint32_t expect_tokens; ///< max_tokens if not given
	uint64_t prefix; ///< hash of the prompt's prefix
};

struct batch {
	char id[BATCH_NAME_SIZE];
	char team[BATCH_NAME_SIZE];
	char trainer[BATCH_NAME_SIZE];
	char route[BATCH_NAME_SIZE];
	uint64_t step;
	uint64_t version; ///< trainer's weight version at submission
	uint64_t max_staleness; ///< in weight versions
	struct batch_group *groups;
	size_t n_groups;
	size_t n_slots;
};

/// Free a batch.
///
/// @param b  batch or NULL
void batch_free(struct batch *b);

/// Whether a name is 1 to 63 of letters, digits, '.', '_', '-' and ':'.
int batch_name_is_valid(const char *name);

/// Group of a slot.
///
/// @param slot  index below n_slots
const struct batch_group *batch_group_of(const struct batch *b, size_t slot);

/// Name of a slot, "GROUP/INDEX".
///
/// @param[out] buf  BATCH_SLOT_NAME_SIZE bytes
void batch_slot_name(const struct batch *b, size_t slot, char *buf);

/// Slot of a name.
///
/// @param[out] slot  index
/// @return ERR_OK or ERR_NOT_FOUND
enum err batch_slot_find(const struct batch *b, const char *name, size_t *slot);

/// Sampling seed of a slot, as docs/PROTOCOLS.md defines it.
uint64_t batch_slot_seed(const struct batch *b, size_t slot);

/// Hash of a prompt's prefix, as docs/PROTOCOLS.md defines it.
uint64_t batch_prefix_hash(const uint32_t *prompt, size_t n);
