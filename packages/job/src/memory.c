// Estimates the memory of batches from their texts.
#include "job/memory.h"

#include <stdbool.h>

#include "job/job_defs.h"

enum {
	/// Copies of a submission at once: as received, parsed, with its head, of the
	/// store call, in base64, in the call's body, as sent.
	SUBMISSION_COPIES = 8,
	/// Bytes of a parsed JSON value: its table entry, its key and the value itself.
	JSON_VALUE_BYTES = 96,
	RUN_ITEM_BYTES = 768, ///< of an item's state, attempt and reward call
	/// Bytes that the submission's data add to a batch in the store.
	HEAD_MAX_BYTES = 1024,
};

static bool begins_value(char c)
{
	return c == ':' || c == ',' || c == '{' || c == '[';
}

size_t job_memory_of_submission(const char *body, size_t len)
{
	size_t values = 0;

	for (size_t i = 0; i < len; i++)
		values += begins_value(body[i]);
	return SUBMISSION_COPIES * len + JSON_VALUE_BYTES * values;
}

size_t job_memory_of_run(size_t n_items)
{
	return n_items * (sizeof(struct job_item) + RUN_ITEM_BYTES);
}

enum err job_memory_check_size(const struct job_memory *m, size_t len)
{
	return len + HEAD_MAX_BYTES <= m->value_max ? ERR_OK : ERR_TOO_LARGE;
}

enum err job_memory_admit(const struct job_memory *m, size_t used, size_t bytes)
{
	/* One submission at a time is always possible. */
	return !used || (used < m->limit && bytes <= m->limit - used)
		       ? ERR_OK
		       : ERR_FULL;
}
