// Cumulative usage counters: one entry for each run of a node, with one row for
// each team. Counters only grow and are merged by maximum (a grow-only counter
// CRDT), so a replica that arrives late, twice or out of order does no harm.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum usage_unit {
	USAGE_REQUESTS, ///< answered requests
	USAGE_TOKENS, ///< tokens delivered
	USAGE_SAMPLES, ///< samples acknowledged
	USAGE_UNITS
};

enum {
	USAGE_NAME_MAX = 63, ///< characters of a team or node
	USAGE_RUN_MAX = 95, ///< characters of a run, "NODE/INCARNATION"
	USAGE_ENTRIES_MAX = 4096, ///< runs
	USAGE_TEAMS_MAX = 1024, ///< teams of a run
};

struct json_t;

struct usage_row {
	char team[USAGE_NAME_MAX + 1];
	uint64_t v[USAGE_UNITS];
	uint64_t changed; ///< version of the last change
};

struct usage_entry {
	char run[USAGE_RUN_MAX + 1];
	struct usage_row *rows; ///< owned
	size_t n_rows;
	uint64_t changed; ///< version of the last change
};

struct usage_counters {
	struct usage_entry *entries; ///< owned
	size_t n_entries;
	uint64_t version; ///< grows with each change
};

/// Free all entries.
void usage_counters_clear(struct usage_counters *uc);

/// Entry of a run, added if missing.
///
/// @return entry, NULL if full or out of memory
struct usage_entry *usage_counters_entry(struct usage_counters *uc,
					 const char *run);

/// Add to a counter of a run.
///
/// @return ERR_OK; ERR_FULL, also when out of memory; ERR_INVALID: bad name
enum err usage_counters_add(struct usage_counters *uc, const char *run,
			    const char *team, enum usage_unit u, uint64_t n);

/// Raise a team's counters in a run to at least the given ones.
///
/// @return as usage_counters_add()
enum err usage_counters_raise(struct usage_counters *uc, const char *run,
			      const char *team, const uint64_t *v);

/// Merge other counters by maximum; errors as usage_counters_add().
enum err usage_counters_merge(struct usage_counters *uc,
			      const struct usage_counters *from);

/// Encode as JSON, `{"RUN":{"TEAM":[n,n,n]}}`, by enum usage_unit.
///
/// @return new reference, NULL if out of memory
struct json_t *usage_counters_to_json(const struct usage_counters *uc);

/// Merge JSON by maximum; on an error a part is merged, which is harmless.
///
/// @return ERR_OK, ERR_PARSE, ERR_INVALID, ERR_FULL
enum err usage_counters_merge_json(struct usage_counters *uc,
				   const struct json_t *j);

/// Add the sum over all runs to `out`, as the run "total".
enum err usage_counters_total(const struct usage_counters *uc,
			      struct usage_counters *out);

/// Name of a unit in reports.
const char *usage_unit_name(enum usage_unit u);
