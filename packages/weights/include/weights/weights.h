// Weight rollout plan of one failure domain: when each engine loads a weight
// version, and from which source. Pure: takes reports and time, returns orders.
//
// The weight store limits the loads per second. An engine that has the version
// serves it to other engines, so the number of sources grows with each load and
// the store's limit matters only at the start.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

enum {
	WEIGHTS_ID_MAX = 64, ///< bytes of a server id, with the NUL
	WEIGHTS_ENGINES_MAX = 4096,
};

struct weights;

struct weights_opts {
	double store_rate; ///< loads from the store per second, this domain's share
	int fan_out; ///< engines that one engine serves at the same time
	int64_t late_ms; ///< timeout of an order, after which it is repeated
	int max_loading_percent; ///< of the engines, at the same time
};

/// Order to load a version.
struct weights_order {
	char engine[WEIGHTS_ID_MAX];
	char source[WEIGHTS_ID_MAX]; ///< engine to load from, "" for the store
	uint64_t version;
};

/// @return plan, NULL when out of memory
struct weights *weights_new(const struct weights_opts *opts);

/// @param w  plan or NULL
void weights_free(struct weights *w);

/// Set the version that all engines should have; cancels earlier orders.
void weights_set_target(struct weights *w, uint64_t version, int64_t now_ms);

/// Add an engine or update its version; reports may be outdated.
///
/// @return ERR_OK or ERR_FULL
enum err weights_report(struct weights *w, const char *engine, uint64_t version,
			int64_t now_ms);

/// Remove an engine; loads from it count as failed.
void weights_remove_engine(struct weights *w, const char *engine);

/// Return the next order that may be sent now.
///
/// @param[out] order  recorded as sent
/// @return false when there is none
bool weights_next_order(struct weights *w, int64_t now_ms,
			struct weights_order *order);

struct weights_progress {
	uint64_t version; ///< target, 0 for none
	size_t engines;
	size_t have; ///< reported the target version
	size_t loading; ///< ordered and not reported yet
	uint64_t orders; ///< sent for this target
	uint64_t from_store; ///< orders to load from the store
	uint64_t again; ///< orders repeated after a failure or timeout
};

/// Progress towards the target version.
void weights_progress(const struct weights *w, struct weights_progress *out);
