// Nodes to avoid for a time because they recently did not answer. Pure.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	AVOID_ENTRIES_MAX = 32, ///< if full, the first to expire is replaced
	AVOID_ID_MAX = 64, ///< bytes of a node id with its NUL
};

struct avoid {
	struct {
		char node[AVOID_ID_MAX];
		int64_t until_ms;
	} entries[AVOID_ENTRIES_MAX];
	int n;
};

/// Avoid a node until a time.
void avoid_add(struct avoid *a, const char *node, int64_t until_ms);

bool avoid_has(const struct avoid *a, const char *node, int64_t now);
