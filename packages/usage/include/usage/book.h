// A book of cumulative counters: one entry for each run of a node, in it one
// row for each team. Counters only grow, so books merge by maximum, and a copy
// that comes late, twice or out of order does no harm.
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
	USAGE_ENTRIES_MAX = 4096, ///< runs in a book
	USAGE_TEAMS_MAX = 1024, ///< teams in an entry
};

struct json_t;

struct usage_row {
	char team[USAGE_NAME_MAX + 1];
	uint64_t v[USAGE_UNITS];
	uint64_t changed; ///< book version of the last change
};

struct usage_entry {
	char run[USAGE_RUN_MAX + 1];
	struct usage_row *rows; ///< owned
	size_t n_rows;
	uint64_t changed; ///< book version of the last change
};

struct usage_book {
	struct usage_entry *entries; ///< owned
	size_t n_entries;
	uint64_t version; ///< grows with each change
};

/// Free a book's entries; the book is empty then.
void usage_book_clear(struct usage_book *b);

/// Entry of a run, made if it is not there.
///
/// @return entry, NULL when the book is full or out of memory
struct usage_entry *usage_book_entry(struct usage_book *b, const char *run);

/// Add to a counter of a run.
///
/// @return ERR_OK, ERR_FULL, ERR_NOMEM, ERR_INVALID
enum err usage_book_add(struct usage_book *b, const char *run, const char *team,
			enum usage_unit u, uint64_t n);

/// Raise a run's row to at least the given counters.
///
/// @return ERR_OK, ERR_FULL, ERR_NOMEM, ERR_INVALID
enum err usage_book_raise(struct usage_book *b, const char *run,
			  const char *team, const uint64_t *v);

/// Raise a book to at least another one.
enum err usage_book_merge(struct usage_book *b, const struct usage_book *from);

/// Write a book as JSON: `{"RUN":{"TEAM":[n,n,n]}}`.
///
/// @return new reference, NULL when out of memory
struct json_t *usage_book_json(const struct usage_book *b);

/// Merge JSON into a book; on an error the book holds a part of it, which is
/// harmless.
///
/// @return ERR_OK, ERR_PARSE, ERR_FULL, ERR_NOMEM
enum err usage_book_merge_json(struct usage_book *b, const struct json_t *j);

/// Sum over the runs: a book whose only entry is the run "total".
enum err usage_book_total(const struct usage_book *b, struct usage_book *out);

/// Name of a unit as reports spell it.
const char *usage_unit_name(enum usage_unit u);
