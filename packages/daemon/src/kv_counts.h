// Calls to the store since they were last told, by kind and prefix of their keys.
#pragma once

#include <stdint.h>

#include "wire/store.h"

enum {
	KV_COUNTS_PREFIX = 24, ///< bytes of a prefix with its NUL
	KV_COUNTS_ROWS =
		40, ///< kinds and prefixes; further ones count as "other"
	KV_COUNTS_TEXT = 1024, ///< bytes of the text with its NUL
};

struct kv_counts {
	struct {
		enum kv_op op;
		char prefix[KV_COUNTS_PREFIX]; ///< "" for calls without a key
		uint64_t n;
	} rows[KV_COUNTS_ROWS];
	int n;
};

/// Count a call.
///
/// @param key  key or prefix, NULL for none
void kv_counts_add(struct kv_counts *counts, enum kv_op op, const char *key);

/// Sum of a kind's calls.
uint64_t kv_counts_of(const struct kv_counts *counts, enum kv_op op);

/// "put:catkin/record=12,watch:op=4"; what does not fit is left out.
void kv_counts_text(const struct kv_counts *counts, char text[KV_COUNTS_TEXT]);
