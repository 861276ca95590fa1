// Nodes to avoid for a time because they recently did not answer. Pure.
#pragma once

#include <stdbool.h>
#include <stdint.h>

enum {
	AVOID_NODES = 32, ///< entries; the first to expire is replaced
	AVOID_NODE = 64, ///< bytes of a node id with its NUL
};

struct avoid {
	struct {
		char node[AVOID_NODE];
		int64_t until_ms;
	} list[AVOID_NODES];
	int n;
};

/// Avoid a node until a time.
void avoid_add(struct avoid *a, const char *node, int64_t until_ms);

bool avoid_has(const struct avoid *a, const char *node, int64_t now);
