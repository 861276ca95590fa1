// Counts of store calls since the last log line, by operation and key prefix.
#pragma once

#include <stdint.h>

#include "wire/store.h"

enum {
	KV_COUNTS_PREFIX_SIZE = 24, ///< bytes of a prefix with NUL
	KV_COUNTS_ROWS_MAX = 40, ///< maximum; further calls count as "other"
	KV_COUNTS_TEXT_SIZE = 1024, ///< bytes of the text with NUL
};

struct kv_counts {
	struct {
		enum kv_op op;
		char prefix[KV_COUNTS_PREFIX_SIZE]; ///< "" without a key
		uint64_t n;
	} rows[KV_COUNTS_ROWS_MAX];
	int n;
};

/// Count a call.
///
/// @param key  key or prefix, NULL for none
void kv_counts_add(struct kv_counts *counts, enum kv_op op, const char *key);

/// Calls of an operation over all prefixes.
uint64_t kv_counts_sum(const struct kv_counts *counts, enum kv_op op);

/// Format the counts as "put:catkin/record=12,watch:op=4"; rows that do not fit are
/// omitted.
void kv_counts_format(const struct kv_counts *counts,
		      char text[KV_COUNTS_TEXT_SIZE]);
