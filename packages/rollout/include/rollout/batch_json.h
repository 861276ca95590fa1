// Batches, samples and engine lines as JSON (docs/PROTOCOLS.md).
#pragma once

#include <stddef.h>

#include "base/err.h"
#include "rollout/batch.h"
#include "rollout/sample.h"

struct json_t;

/// A bound that is not set.
#define BATCH_NO_STALENESS UINT64_MAX

enum engine_line_kind {
	ENGINE_SEGMENT, ///< tokens were added to the sample
	ENGINE_END, ///< the sample's finish is set
	ENGINE_CANCELLED, ///< the stream was cancelled
};

/// Read a batch.
///
/// @param text      JSON
/// @param len       bytes
/// @param[out] out  batch, without its team; BATCH_NO_STALENESS if it names
///                  no bound
/// @param[out] why  member at fault, static string
/// @return ERR_OK, ERR_PARSE, ERR_BATCH_INVALID or ERR_NOMEM
enum err batch_parse(const char *text, size_t len, struct batch **out,
		     const char **why);

/// A sample as it is handed to the trainer.
///
/// @return new reference, NULL when out of memory
struct json_t *batch_sample_json(const char *slot, uint64_t seed,
				 const struct sample *s);

/// Request for an engine that makes a slot's sample, or goes on with it.
///
/// @param id      id of the generation
/// @param so_far  tokens made before, empty for none
/// @return text to free(), NULL when out of memory
char *batch_engine_request(const struct batch *b, size_t slot, const char *id,
			   const struct sample *so_far);

/// Read one line of an engine's answer into a sample.
///
/// @param[out] kind  what the line was
/// @return ERR_OK, ERR_PARSE or ERR_NOMEM
enum err engine_line(struct sample *s, const char *line, size_t len,
		     enum engine_line_kind *kind);
