// JSON formats of batches, samples and engine responses (docs/PROTOCOLS.md).
#pragma once

#include <stddef.h>

#include "base/err.h"
#include "rollout/batch.h"
#include "rollout/sample.h"

struct json_t;

/// max_staleness of a batch without a bound.
#define BATCH_STALENESS_UNSET UINT64_MAX

enum engine_line_kind {
	ENGINE_SEGMENT, ///< tokens were appended
	ENGINE_END, ///< finish reason was set
	ENGINE_CANCELLED, ///< stream was cancelled
};

/// Parse a batch.
///
/// @param text      JSON
/// @param len       bytes
/// @param[out] out  batch without its team; max_staleness is
///                  BATCH_STALENESS_UNSET if it is absent
/// @param[out] why  name of the invalid member, static string
/// @return ERR_OK, ERR_PARSE, ERR_BATCH_INVALID or ERR_NOMEM
enum err batch_parse(const char *text, size_t len, struct batch **out,
		     const char **why);

/// Format a sample for delivery to the trainer.
///
/// @return new reference, NULL when out of memory
struct json_t *batch_sample_json(const char *slot, uint64_t seed,
				 const struct sample *s);

/// Request body for an engine to generate a slot's sample, or to resume it.
///
/// @param id      id of the generation
/// @param resume_from  tokens generated before, empty for none
/// @return text to free(), NULL when out of memory
char *batch_engine_request(const struct batch *b, size_t slot, const char *id,
			   const struct sample *resume_from);

/// Apply one line of an engine's response to a sample.
///
/// @param[out] kind  type of the line
/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
enum err engine_line(struct sample *s, const char *line, size_t len,
		     enum engine_line_kind *kind);
