// Encodes generations, reward calls and load orders; decodes engines' answers.
#pragma once

#include "base/arena.h"
#include "job/job_defs.h"
#include "upstream/upstream.h"

/// A generation to be sent to an engine.
struct engine_run {
	const struct job_spec *spec;
	const struct job_item *item;
	const char *server; ///< expected id of the server
	uint64_t resume_after; ///< last event already received, 0 for none
	/// version without which the server must reject it, 0 for any
	uint64_t expect_version;
};

/// A reward call to be sent to a server.
struct engine_reward {
	const struct job_reward *reward;
	const char *server; ///< expected id of the server
	int64_t budget_ms; ///< timeout of the call
};

/// Header fields of an engine's answer.
struct engine_response {
	const char *id; ///< item that it answers, NULL if not given
	bool streams; ///< its body is a stream of events
	bool not_run; ///< the generation definitely did not run
	bool other_server; ///< the address now belongs to another server, or to one
		///< without the expected version
	uint64_t version; ///< weight version of its first event, 0 if not given
};

/// Order to load a weight version.
struct engine_order {
	const char *model;
	uint64_t version;
	bool continue_runs; ///< running generations continue with the new version; false:
		///< they end before the load
	const char *holder; ///< node that sends the order
	uint64_t epoch; ///< fencing token of the holder
	const char *server; ///< expected id of the server
};

struct engine_wire_ops {
	/// Encode the header lines of a generation.
	///
	/// @return NULL-terminated lines in the arena, NULL when out of memory
	const char **(*run)(const struct engine_run *run, struct arena *a);

	/// Encode the header lines of a reward call; its answer is decoded by
	/// front_wire_ops.verdict. Returns as run does.
	const char **(*reward)(const struct engine_reward *r, struct arena *a);

	/// Decode an answer to a generation.
	void (*head)(int status, const struct upstream_head *head,
		     struct engine_response *out);

	/// Name of the event field that carries a changed weight version.
	const char *version_field;

	const char *order_path;
	int order_done_status; ///< HTTP status when the server has the weights
	int order_busy_status; ///< HTTP status while it carries out another order
	/// @param[out] body  in the arena
	/// @return header lines, NULL when out of memory
	const char **(*order)(const struct engine_order *o, struct arena *a,
			      const char **body);
};
