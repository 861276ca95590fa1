// Peer messages that open a forwarded request and return its result.
#pragma once

#include "work_mod_msg.h"

enum {
	WORK_PATH_LEN = 1024, ///< bytes
	WORK_CTYPE_LEN = 128, ///< bytes
};

/// PEER_WORK_OPEN: a request and its first chunk.
struct work_open {
	struct work_ref ref;
	enum work_class cls;
	enum vm_kind kind;
	char service[WORK_NAME_LEN];
	char team[WORK_NAME_LEN];
	char method[16];
	char path[WORK_PATH_LEN];
	char ctype[WORK_CTYPE_LEN];
	char trace[TRACE_PARENT_LEN + 1];
	bool idempotent;
	bool preemptible;
	bool streamed;
	int64_t remaining_ms; ///< until the deadline
	uint64_t cost;
	uint64_t prefix;
	size_t body_len; ///< of the complete body
	const char *chunk;
	size_t chunk_len;
};

enum err work_open_send(struct core *c, const char *node,
			const struct work_open *m);
bool work_open_read(struct work_reader *r, const void *buf, size_t len,
		    struct work_open *m);

/// PEER_WORK_DONE: the result and its first chunk.
struct work_done {
	struct work_ref ref;
	enum err err;
	enum run_state run;
	int status;
	int64_t retry_after_ms;
	char server[WORK_NAME_LEN];
	char ctype[WORK_CTYPE_LEN];
	uint64_t lines; ///< streamed lines sent before
	size_t body_len; ///< of the complete answer
	const char *chunk;
	size_t chunk_len;
};

enum err work_done_send(struct core *c, const struct core_peer_run *to,
			const struct work_done *m);
bool work_done_read(struct work_reader *r, const void *buf, size_t len,
		    struct work_done *m);
