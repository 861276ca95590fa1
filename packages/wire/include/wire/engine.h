// Table for generations at engines and orders to them.
#pragma once

#include "base/arena.h"
#include "job/job_defs.h"
#include "upstream/upstream.h"

/// A generation on its way to an engine.
struct engine_run {
	const struct job_spec *spec;
	const struct job_item *item;
	const char *server; ///< id that the server must have
	uint64_t resume_after; ///< last event that is held, 0 for none
	uint64_t
		expect_version; ///< without it the server must not run it; 0 for any
};

/// A reward call on its way to a server.
struct engine_reward {
	const struct job_reward *reward;
	const char *server; ///< id that the server must have
	int64_t budget_ms; ///< time after which its answer is not waited for
};

/// What an engine's answer says beside its status and body.
struct engine_head {
	const char *id; ///< item that it answers, NULL if not said
	bool not_run; ///< it surely did not run
	bool other_server; ///< another server has that address now, or one
		///< without the version that the request named
	uint64_t version; ///< weight version of its first event, 0 if not said
};

/// Order to load a weight version.
struct engine_order {
	const char *model;
	uint64_t version;
	bool keep_runs; ///< runs go on under the new version; false: they end first
	const char *holder; ///< node that gives it
	uint64_t epoch; ///< fencing number
	const char *server; ///< id that the server must have
};

struct engine_wire_ops {
	/// Header lines of a generation.
	///
	/// @return NULL-terminated lines in the arena, NULL when out of memory
	const char **(*run)(const struct engine_run *run, struct arena *a);

	/// Header lines of a reward call; its answer is judged by
	/// front_wire_ops.verdict.
	const char **(*reward)(const struct engine_reward *r, struct arena *a);

	void (*head)(int status, const struct upstream_head *head,
		     struct engine_head *out);

	/// Name of the event field that carries a changed weight version.
	const char *version_field;

	const char *order_path;
	/// @param[out] body  in the arena
	/// @return header lines, NULL when out of memory
	const char **(*order)(const struct engine_order *o, struct arena *a,
			      const char **body);
};
