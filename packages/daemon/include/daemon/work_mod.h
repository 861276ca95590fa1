// The path of a piece of work: admission, route, slot, attempts, answer.
#pragma once

#include "core/core.h"
#include "daemon/fleet_mod.h"

enum work_class {
	WORK_BOOKING, ///< calls to plain services, first
	WORK_INTERACTIVE, ///< single generations that a caller waits for
	WORK_ROLLOUT, ///< samples of a batch
	WORK_CLASSES
};

struct work_result {
	enum err err; ///< ERR_OK when the backend server's answer is whole
	enum run_state run;
	int status; ///< HTTP status of the answer, 0 if none
	const char *ctype;
	const char *body; ///< whole body; NULL when streamed
	size_t body_len;
	int64_t retry_after_ms; ///< with a refusal
	const char *server; ///< id of the backend server, "" if none
};

struct work_opts {
	enum work_class cls;
	enum vm_kind kind; ///< VM_ENGINE or VM_SERVICE
	const char *service; ///< of a VM_SERVICE
	const char *team;
	const char *method;
	const char *path; ///< path at the backend server
	const char *body;
	size_t body_len;
	const char *ctype;
	bool idempotent; ///< may be sent again
	const char *idem_key; ///< caller's idempotency key, NULL if none
	int64_t deadline_ms; ///< clock_now_ms() time
	uint64_t cost; ///< expected cost (tokens; 1 for a call)
	uint64_t prefix; ///< hash of the prompt's prefix, 0 if none
	const char *avoid; ///< server id that failed before, or NULL
	bool may_cut; ///< may run on a cheap backend server
	const struct trace_ctx *trace;
	/// Streamed answer (engines: NDJSON lines, whole); NULL to have it whole.
	void (*on_line)(struct core *c, void *ctx, const char *line,
			size_t len);
	/// Called exactly once unless cancelled, never inside work_submit().
	void (*on_done)(struct core *c, void *ctx,
			const struct work_result *res);
	void *ctx;
};

/// Take in a piece of work; everything in opts is copied.
///
/// @param[out] h               handle for work_cancel()
/// @param[out] retry_after_ms  with a refusal, when to come back
/// @return ERR_OK, or a refusal: it did not run and on_done is not called
enum err work_submit(struct core *c, const struct work_opts *opts,
		     htab_handle *h, int64_t *retry_after_ms);

/// Give up on it; no callback follows. It may have run.
void work_cancel(struct core *c, htab_handle h);

/// Requests of one kind that run or wait in this failure domain, on this node.
///
/// @param[out] steady    those that must not be cut off
/// @param[out] cuttable  those that may run on a cheap backend server
void work_mod_count(struct core *c, enum vm_kind kind, int *regular_only,
		    int *cheap_allowed);
