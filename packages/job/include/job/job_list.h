// The results of a batch in the order in which they were written to the store, the
// same at every node. The store holds them as numbered records that never change.
#pragma once

#include "base/err.h"
#include "job/job_defs.h"

struct job_list {
	struct arena arena; ///< owns the results' texts
	struct job_result *results;
	size_t n;
	size_t cap;
	uint32_t *index; ///< hash table by id: position + 1, 0 for a free slot
	size_t index_cap; ///< slots, a power of two
	uint64_t records; ///< records read so far; the next one has this number
	uint64_t
		rev; ///< store revision up to which all were read, 0 for unknown
};

/// @param l  list
void job_list_init(struct job_list *l);
void job_list_free(struct job_list *l);

/// Append the results of one record; an item keeps a position that it has.
///
/// @param number  of the record; one that was read before changes nothing
/// @return ERR_OK, ERR_PARSE, ERR_NOMEM, or ERR_NOT_FOUND when an earlier record
///         is missing
enum err job_list_add(struct job_list *l, uint64_t number, const char *value,
		      size_t len);

/// Account for an answer of the store whose records were added. This is the only writer
/// of rev: a reader that waits for records after rev never gets an earlier one.
///
/// Load pattern: a trainer's end conflicts with a takeover after the first page of the
/// batch's records. The node keeps that page, and its readers have to get the others.
///
/// @param added  ERR_OK if all records of the answer were added
/// @param more   the answer lacks records that the store had at rev
/// @param rev    store revision of the answer
void job_list_answered(struct job_list *l, enum err added, bool more,
		       uint64_t rev);

/// Position of an item, -1 if it is not listed.
int64_t job_list_find(const struct job_list *l, const char *id);

/// Page of results.
///
/// @param after      first position
/// @param max_bytes  limit on the texts' bytes; one result is returned regardless
struct job_page job_list_page(const struct job_list *l, uint64_t after,
			      size_t max_bytes);

/// Encode results as the value of a record.
///
/// @param writer  unique id of the process run that writes it
/// @return JSON text, free with free(); NULL when out of memory
char *job_record_encode(const char *writer, const struct job_result *results,
			size_t n);

/// Whether a record's value names this process run as its writer.
bool job_record_written_by(const char *value, size_t len, const char *writer);
