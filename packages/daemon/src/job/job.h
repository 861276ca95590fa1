// Internals of the job module, which runs batches of items.
#pragma once

#include "core/core.h"
#include "daemon/job_mod.h"
#include "daemon/platform_mod.h"
#include "job/caller.h"
#include "job/home.h"
#include "job/body_cache.h"
#include "job/job_list.h"
#include "job/job_run.h"
#include "job/list_share.h"
#include "job/memory.h"
#include "job/response_times.h"
#include "job/recent.h"
#include "job/slack.h"
#include "site/conf.h"
#include "sse/sse.h"
#include "wire/wire.h"

enum {
	JOB_BATCHES_MAX = 1024, ///< batches in the table
	JOB_IDLE_TTL_MS = 30000, ///< unused batches are removed then
	JOB_READ_WAIT_MAX_MS = 2500,
	JOB_READ_RETRY_AFTER_MS = 500, ///< told to readers that were refused
	JOB_RETRY_MS = 150, ///< delay of a store call's retry
	JOB_REWARD_SERVICES = 8, ///< whose latencies are kept
};

/// Value of a batch's owner key in the store.
struct job_owner {
	char node[JOB_ID_BYTES];
	char incarnation[JOB_ID_BYTES]; ///< of the node's process
	char team[JOB_ID_BYTES];
	bool ended; ///< by its trainer
	bool complete; ///< every result is in the store
	uint64_t total; ///< items
	int64_t submitted_ms; ///< wall clock
};

/// Attempt to generate an item's text at a server.
struct job_attempt {
	htab_handle job;
	int item;
	htab_handle fetch; ///< 0 if no request is in flight
	htab_handle server;
	int64_t sent_ms;
	int64_t servers_age_ms; ///< of the server data when sent
	int64_t first_event_ms; ///< 0 before it
	int64_t last_event_ms; ///< 0 before the first
	int events; ///< from this server
	int64_t reserved_tokens; ///< at the server
	uint64_t version; ///< weights of the last event
	bool resumed; ///< continues an earlier attempt's text
	uint64_t expected_version; ///< named by the request, 0 for none
	bool got_head;
	bool refused; ///< the response is no event stream
	bool not_run;
	bool other_server; ///< wrong server or weight version
	bool invalid; ///< unusable response: abort the attempt
	struct sse sse;
};

/// A reward call at a server.
struct job_reward_call {
	htab_handle fetch; ///< 0 if no call is in flight
	htab_handle server;
	char service[SITE_NAME_SIZE];
	int64_t sent_ms;
	int64_t call_timeout_ms;
	int64_t servers_age_ms; ///< of the server data when sent
	/// Servers of the item's calls, latest first.
	htab_handle tried[JOB_REWARD_TRIED_MAX];
};

/// A batch.
struct job {
	htab_handle self;
	char id[JOB_ID_BYTES];
	struct job_list list; ///< results in the store
	struct list_share list_share; ///< store calls that extend it
	bool owner_known;
	struct job_owner owner;
	uint64_t owner_rev;
	int64_t last_used_ms; ///< by job_find_or_create()
	/* Valid only while running. */
	bool running;
	struct job_spec *spec;
	struct job_run *run;
	size_t run_memory; ///< bytes of the tables below
	int64_t expected_tokens; ///< of all its items
	int64_t long_min_tokens; ///< 0 if unknown
	uint32_t send_round; ///< in which no more could be sent
	struct job_attempt *attempts; ///< one per item
	struct job_reward_call *rewards; ///< one per item, NULL for none
	int64_t started_ms;
	int64_t due_ms; ///< deadline of results
	bool start_reported; ///< to other nodes
	int64_t waiting_log_next_ms;
	int64_t check_next_ms; ///< of the attempts
	bool watching; ///< a call for the owner key is in flight
	int64_t watch_next_ms;
	char *record; ///< being written, NULL for none
	bool store_busy; ///< a store call of write.c is in flight
	uint64_t record_no; ///< its number
	bool record_check; ///< read it: the write's outcome is unknown
	int64_t write_next_ms;
	bool texts_busy; ///< a call for the texts is in flight
	bool texts_rev_stale; ///< read the revision before the next write
	uint64_t texts_rev; ///< of their key, 0 for none
	int64_t texts_next_ms; ///< next write
	int64_t frozen_ms; ///< job_freeze() time, 0 before
	bool texts_flushed; ///< texts were written after the freeze
	bool texts_flushing; ///< they are being written
	int64_t handover_sent_ms; ///< 0 before
	bool handover_failed; ///< the leader takes it over
	bool closing; ///< not used
	/// When the previous owner's loss was detected; 0 once an item was sent.
	int64_t owner_lost_ms;
};

/// Pending read of a batch's results (long poll).
struct job_reader {
	htab_handle self;
	struct job_caller caller;
	htab_handle job;
	uint64_t after; ///< first position to return
	int64_t deadline_ms; ///< answered then at the latest
	char team[JOB_ID_BYTES];
	bool busy; ///< a call is in flight
	bool waits_for_list; ///< that call is the batch's shared list
	uint64_t list_wanted; ///< first list that began after the reader came
};

/// Handover of all batches when the node stops or is retired.
struct job_handover_state {
	bool started;
	bool closed; ///< accepts no more batches
	int remaining; ///< batches
	int64_t started_ms;
	int64_t deadline_ms; ///< batches left then go to the leader
};

struct jobs {
	const struct wire_ops *wire;
	struct job_memory memory;
	struct htab *jobs; ///< struct job
	struct htab *readers; ///< struct job_reader
	struct htab *submits; ///< struct job_submit
	struct htab *ends; ///< struct job_end
	int64_t takeover_next_ms; ///< next scan for lost batches
	struct job_takeover_scan *takeover_scan; ///< NULL for none
	struct job_load *loads; ///< batches being loaded
	bool own_scan_done; ///< for batches of this node's earlier process
	bool draining;
	struct job_handover_state handover;
	struct home_state *home_state; ///< requests to home nodes
	struct job_pace pace; ///< of all batches' samples
	uint32_t send_round; ///< of send_by_slack()
	struct job_result *flush_buf; ///< results of the current record
	size_t flush_buf_cap;
	struct job_recent seen; ///< to detect resubmitted items
	struct body_cache bodies; ///< of batches that don't run here
	struct job_body_read *body_reads; ///< that wait for the store
	struct {
		char service[SITE_NAME_SIZE];
		struct response_times times;
	} reward_latencies[JOB_REWARD_SERVICES]; ///< of reward services
	int n_reward_latencies;
};

struct jobs *jobs_of(const struct core *c);

/// Find a batch by id.
///
/// @return batch, NULL if this node does not know it
struct job *job_find(const struct core *c, const char *id);

/// Find a batch by id, or add it. Marks it as used.
///
/// @return batch, NULL when the table is full
struct job *job_find_or_create(struct core *c, const char *id);

/// Whether a batch may be removed: nothing of it is under way here.
bool job_is_idle(const struct job *j);

/// Read the limits on the batches' memory.
void job_memory_init(struct core *c);

/// Decide whether a submission can be kept and there is room for it, before it is copied.
///
/// @return ERR_OK; ERR_TOO_LARGE: no node can keep it; ERR_FULL: no room now
enum err job_memory_admit_body(struct core *c, const char *id, const char *body,
			       size_t len);

/// Whether there is room for so many bytes of batches.
bool job_memory_has_room(struct core *c, size_t bytes);

/// Bytes of the submissions in progress.
size_t job_submits_memory(const struct core *c);

/// Stop a batch if it runs here, and remove it.
void job_remove(struct core *c, struct job *j);

/// Parse the value of an owner key.
///
/// @return ERR_OK or ERR_PARSE
enum err job_owner_parse(const struct kv_item *item, struct job_owner *out);

/// Encode the value of an owner key.
///
/// @return text, free with free(); NULL when out of memory
char *job_owner_encode(const struct job_owner *o);

/// Whether the owner is this process.
bool job_owner_is_self(const struct core *c, const struct job_owner *o);

/// Write the owner key of a batch by compare-and-swap.
///
/// @param prev_rev  0 to create the key
enum err job_owner_put(struct core *c, const char *id,
		       const struct job_owner *o, uint64_t prev_rev,
		       struct kv_cb cb);

/// Encode the value of a batch's key: submission metadata, then the body.
///
/// @return text, free with free(); NULL when out of memory
char *job_batch_encode(const struct job_spec *spec, const char *body,
		       size_t len, size_t *text_len);

/// Parse the value of a batch's key.
///
/// @param[out] out  free with job_spec_free()
enum err job_batch_parse(const struct jobs *jobs, const char *id,
			 const char *value, size_t len, struct job_spec **out);

/// Run a batch that this node owns. Items with results in its list are complete, so the
/// list must have every record: only the creator of the owner key and a finished load
/// may start a batch.
///
/// @param spec  owned by the batch on success
enum err job_start(struct core *c, struct job *j, struct job_spec *spec);

/// Stop running a batch; its keys in the store stay.
void job_stop(struct core *c, struct job *j, const char *why);

/// Advance a batch that this node runs: write results, send items.
void job_step(struct core *c, struct job *j);

/// Write ready results, and resolve the last write's outcome.
void job_write_step(struct core *c, struct job *j);

/// Send waiting items to servers.
void job_send_step(struct core *c, struct job *j);

/// Abort silent attempts, and move others off slow servers.
void job_check_attempts(struct core *c, struct job *j);

/// Cancel attempts of items with results in the list: another node that believed it
/// owned the batch wrote them.
void job_cancel_listed(struct core *c, struct job *j);

/// Cancel every attempt and reward call.
void job_cancel_attempts(struct core *c, struct job *j);

/// Whether this node may send items and reward calls of a batch.
bool job_may_send(const struct core *c, const struct job *j);

/// Cancel every attempt and reward call for a handover: texts are kept, no failure is
/// counted.
void job_freeze(struct core *c, struct job *j);

/// Write the unfinished texts periodically.
void job_texts_step(struct core *c, struct job *j);

/// Write the unfinished texts of a frozen batch.
///
/// @return whether they are in the store
bool job_texts_flush(struct core *c, struct job *j);

/// Restore the unfinished texts that the previous owner wrote.
///
/// @param item  value of their key
void job_texts_restore(struct core *c, struct job *j,
		       const struct kv_item *item);

/// Delete the unfinished texts of a finished batch.
void job_texts_delete(struct core *c, struct job *j);

/// Keep a watch on the owner key.
void job_watch_step(struct core *c, struct job *j);

/// Answer readers whose deadline has passed.
void job_readers_step(struct core *c);

/// Answer the readers of a batch after its list grew.
void job_readers_wake(struct core *c, struct job *j);

/// Take over batches of lost nodes, if this node is the leader.
void job_takeover_step(struct core *c);

/// Retry and time out submissions and ends.
void job_submits_step(struct core *c);
void job_ends_step(struct core *c);

/// Add the records of a list or watch to a batch's list.
///
/// @return ERR_OK; ERR_PARSE or ERR_NOMEM for a record that can't be added; ERR_NOT_FOUND
///         if one before it is missing
enum err job_records_add(struct job *j, const struct kv_result *res);

/// List the records after those that are known, or join the list in flight. Its end calls
/// job_load_listed() and job_readers_listed().
void job_records_list(struct core *c, struct job *j);

/// A list of a batch's records ended: go on with the readers that wait for it.
void job_readers_listed(struct core *c, struct job *j, enum err e);

/// Serve a request at this node.
///
/// @param maybe_taken  another node may have accepted the batch
void job_serve_local(struct core *c, const struct job_caller *to,
		     const struct home_request *request, bool maybe_taken);

/// Handlers of job_serve_local().
void job_submit_begin(struct core *c, const struct job_caller *to,
		      const struct home_request *request, bool maybe_taken);
void job_read_results(struct core *c, const struct job_caller *to,
		      const struct home_request *request);
void job_read_body(struct core *c, const struct job_caller *to,
		   const struct home_request *request);
void job_end_begin(struct core *c, const struct job_caller *to,
		   const struct home_request *request);

/// Whether no submission or end is in progress.
bool job_requests_idle(const struct core *c);

/// Free bodies that are not asked for any more.
void job_bodies_step(struct core *c);

void job_bodies_free(struct jobs *jobs);
void job_submits_free(struct jobs *jobs);
void job_ends_free(struct jobs *jobs);
void job_takeover_free(struct jobs *jobs);
