// Path of a request: admission, choice of a server, slot, attempts, answer.
#pragma once

#include "core/core.h"
#include "daemon/fleet_mod.h"

enum work_class {
	WORK_BOOKING, ///< calls to plain services, served first
	WORK_INTERACTIVE, ///< single generations with a caller waiting
	WORK_ROLLOUT, ///< samples of a batch
	WORK_CLASSES
};

struct work_result {
	enum err err; ///< ERR_OK: the answer is complete
	enum run_state run;
	int status; ///< HTTP status of the answer, 0 if none
	const char *ctype;
	const char *body; ///< complete body; NULL if it was streamed
	size_t body_len;
	int64_t retry_after_ms; ///< if rejected
	const char *server; ///< id of the backend server, "" if none
};

struct work_opts {
	enum work_class cls;
	enum vm_kind kind; ///< VM_ENGINE or VM_SERVICE
	const char *service; ///< service name, for VM_SERVICE
	const char *team;
	const char *method;
	const char *path; ///< path at the backend server
	const char *body;
	size_t body_len;
	const char *ctype;
	bool idempotent; ///< safe to retry
	const char *idem_key; ///< caller's idempotency key, NULL if none
	int64_t deadline_ms; ///< clock_now_ms() time
	uint64_t cost; ///< expected cost (tokens; 1 for a call)
	uint64_t prefix; ///< hash of the prompt's prefix, 0 if none
	const char *avoid; ///< id of a server that failed, or NULL
	bool preemptible; ///< may run on a cheap backend server
	const struct trace_ctx *trace;
	/// Called with each line of a streamed answer (NDJSON from engines);
	/// NULL: the answer is not streamed.
	void (*on_line)(struct core *c, void *ctx, const char *line,
			size_t len);
	/// Called exactly once unless cancelled, never inside work_submit().
	void (*on_done)(struct core *c, void *ctx,
			const struct work_result *res);
	void *ctx;
};

/// Submit a request; everything that opts points to is copied.
///
/// @param[out] h               handle for work_cancel()
/// @param[out] retry_after_ms  if rejected: delay before a retry
/// @return ERR_OK, or why it was rejected: it did not run and on_done is
///         not called
enum err work_submit(struct core *c, const struct work_opts *opts,
		     htab_handle *h, int64_t *retry_after_ms);

/// Cancel a request; no callback follows. It may have run.
void work_cancel(struct core *c, htab_handle h);

/// Count this node's requests of one kind that run or are queued in this
/// failure domain.
///
/// @param[out] regular_only   must not be interrupted
/// @param[out] cheap_allowed  may run on a cheap server
void work_mod_count_requests(struct core *c, enum vm_kind kind,
			     int *regular_only, int *cheap_allowed);
