// Plan of one failure domain: which engine is ordered to load a weight version
// when, and from where. Reports and time in, orders out.
//
// The weight store gives out so many loads a second. An engine that has the
// version passes it on to others, so the number of sources grows with each
// load, and the store's limit matters at the start only.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	WEIGHTS_ID = 64, ///< bytes of a server id
	WEIGHTS_ENGINES_MAX = 4096,
};

struct weights;

struct weights_opts {
	double store_rate; ///< loads from the store a second, this domain's part
	int fan_out; ///< loads that one engine passes on at once
	int64_t late_ms; ///< after an order: it is given anew
	int max_loading_percent; ///< of the engines at once
};

/// An order for an engine.
struct weights_order {
	char engine[WEIGHTS_ID];
	char source[WEIGHTS_ID]; ///< engine to load from, "" for the store
	uint64_t version;
};

/// @return plan, NULL when out of memory
struct weights *weights_new(const struct weights_opts *opts);

/// @param w  plan or NULL
void weights_free(struct weights *w);

/// The version that all engines shall have; what was ordered before is void.
void weights_target(struct weights *w, uint64_t version, int64_t now_ms);

/// An engine is there and reported a version; reports may be old.
///
/// @return ERR_OK or ERR_FULL
enum err weights_report(struct weights *w, const char *engine, uint64_t version,
			int64_t now_ms);

/// An engine is gone.
void weights_remove_engine(struct weights *w, const char *engine);

/// Next order that may be given now.
///
/// @param[out] order  order; it counts as given
/// @return false when there is none
bool weights_next(struct weights *w, int64_t now_ms,
		  struct weights_order *order);

struct weights_progress {
	uint64_t version; ///< target, 0 for none
	size_t engines;
	size_t have; ///< reported the target
	size_t loading; ///< ordered and not reported yet
	uint64_t orders; ///< given for this target
	uint64_t from_store; ///< of them
	uint64_t again; ///< of them, because an earlier one failed or was late
};

void weights_progress(const struct weights *w, struct weights_progress *out);
