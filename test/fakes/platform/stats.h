// Request counts by kind.
#pragma once

#include <jansson.h>
#include <stdint.h>

enum stat {
	STAT_KV_GET,
	STAT_KV_LIST,
	STAT_KV_PUT,
	STAT_KV_DELETE,
	STAT_WATCH,
	STAT_LEASE_GRANT,
	STAT_LEASE_RENEW,
	STAT_LEASE_REVOKE,
	STAT_ORDER,
	STAT_USAGE,
	STAT_VMS,
	STAT_FAKE, ///< control requests of tests
	STAT_COUNT
};

struct stats {
	uint64_t calls[STAT_COUNT];
};

/// Request counts by name, with the sums "kv_reads" and "kv_writes".
///
/// @return new reference
json_t *stats_json(const struct stats *s);
