// Inside of the job module: a record a batch that this node knows.
#pragma once

#include "core/core.h"
#include "daemon/job_mod.h"
#include "daemon/platform_mod.h"
#include "job/caller.h"
#include "job/home.h"
#include "job/job_list.h"
#include "job/job_run.h"
#include "job/patience.h"
#include "job/seen.h"
#include "job/slack.h"
#include "site/conf.h"
#include "sse/sse.h"
#include "wire/wire.h"

enum {
	JOB_BATCHES_MAX = 1024, ///< batches known at once
	JOB_IDLE_TTL_MS = 30000, ///< a batch that nobody asks for is forgotten
	JOB_READ_WAIT_MAX_MS = 2500, ///< longest wait of a read of results
	JOB_RETRY_MS = 150, ///< least wait after a failed store call
	JOB_REWARD_SERVICES = 8, ///< whose answers' times are remembered
};

/// Who runs a batch, as its key in the store says.
struct job_owner {
	char node[JOB_ID];
	char incarnation[JOB_ID]; ///< incarnation of the node's process
	char team[JOB_ID];
	bool ended; ///< its trainer ended it
	bool complete; ///< every item has a position
	uint64_t total; ///< items
	int64_t submitted_ms; ///< wall clock of its submission
};

/// An item at a server.
struct job_attempt {
	htab_handle job;
	int item;
	htab_handle fetch; ///< 0: the item is at no server
	htab_handle server;
	int64_t sent_ms;
	int64_t servers_age_ms; ///< of what was known of servers then
	int64_t first_event_ms; ///< of its first event, 0 before
	int64_t last_event_ms; ///< of its last event, 0 before the first
	int events; ///< that came from this server
	int64_t reserved_tokens; ///< reserved there
	uint64_t version; ///< weights of the last event
	bool resumed; ///< it went on after events of another run
	uint64_t
		expected_version; ///< version that the request named, 0 for none
	bool got_head; ///< the answer's head came
	bool refused; ///< the answer is no stream of events
	bool not_run;
	bool other_server; ///< not the server, or not the version, that it named
	bool invalid; ///< an event could not be used: end the run
	struct sse sse;
};

/// A reward call at a server.
struct job_reward_call {
	htab_handle fetch; ///< 0: none is outstanding
	htab_handle server;
	char service[SITE_NAME];
	int64_t sent_ms;
	int64_t call_timeout_ms; ///< longest wait for its answer
	int64_t servers_age_ms; ///< of what was known of servers then
	htab_handle
		tried[JOB_RATING_TRIED]; ///< servers of its calls, latest first
};

/// A batch.
struct job {
	htab_handle self;
	char id[JOB_ID];
	struct job_list list;
	bool owner_known; ///< owner was read
	struct job_owner owner;
	uint64_t owner_rev;
	int64_t last_used_ms; ///< last time that someone asked for it
	/* Only while this node runs it. */
	bool running;
	struct job_spec *spec;
	struct job_run *run;
	int64_t expected_tokens; ///< tokens that its items are expected to make
	int64_t long_min_tokens; ///< length of its long items, 0 if not known
	uint32_t send_round; ///< round in which nothing more could be sent
	struct job_attempt *attempts; ///< an entry an item
	struct job_reward_call *rewards; ///< an entry an item, NULL for none
	int64_t started_ms; ///< when this node began to run it
	int64_t due_ms; ///< time at which its results are due
	bool start_reported; ///< other nodes were told that it began
	int64_t waiting_log_next_ms; ///< next line about items that wait
	int64_t check_next_ms; ///< next look at the runs
	bool watching; ///< the owner key is watched
	int64_t watch_next_ms;
	char *record; ///< value on its way to the store
	bool store_busy; ///< a call for the record is outstanding
	uint64_t record_no; ///< number of that record
	bool record_check; ///< the record's key is read to settle an outcome
	int64_t write_next_ms;
	bool texts_busy; ///< a call for the unfinished texts is outstanding
	bool texts_rev_stale; ///< their key's revision must be read first
	uint64_t texts_rev; ///< of their key, 0 for none
	int64_t texts_next_ms; ///< next write of them
	int64_t frozen_ms; ///< when its items' runs ended for a handover, 0 before
	bool texts_flushed; ///< the texts as they were then are in the store
	bool texts_flushing; ///< they are on their way there
	int64_t handover_sent_ms; ///< when its next home was told, 0 before
	bool handover_failed; ///< it is left to the leader
	bool closing; ///< the owner key is to say that all is over
	int64_t owner_lost_ms; ///< when its owner before was known to be lost; 0 once an
		///< item was sent since
};

/// A caller that waits for results.
struct job_reader {
	htab_handle self;
	struct job_caller caller;
	htab_handle job;
	uint64_t after;
	int64_t deadline_ms; ///< answered then, with whatever there is
	char team[JOB_ID];
	bool listed; ///< its first call was made
	bool busy; ///< a call is outstanding
};

/// A stop or retirement of this node.
struct job_handover_state {
	bool started;
	bool closed; ///< this node takes no batches any more
	int remaining; ///< batches that it still has
	int64_t started_ms;
	int64_t deadline_ms; ///< the leader gets what is not handed over then
};

struct jobs {
	const struct wire_ops *wire;
	struct htab *jobs; ///< struct job
	struct htab *readers; ///< struct job_reader
	struct htab *submits; ///< struct job_submit
	struct htab *ends; ///< struct job_end
	int64_t takeover_next_ms; ///< next look for batches of lost nodes
	struct job_takeover_scan *takeover_scan; ///< look in progress
	struct job_load *loads; ///< batches on their way to this node
	bool own_scan_done; ///< batches of this node's earlier process were sought
	bool draining;
	struct job_handover_state handover;
	struct home_state *home_state; ///< questions to homes
	struct job_pace pace; ///< of the samples of all batches
	uint32_t send_round; ///< of sending by slack
	struct job_result *flush_buf; ///< for flushes
	size_t flush_buf_cap;
	struct job_seen seen; ///< items of recent batches
	struct {
		char service[SITE_NAME];
		struct patience times;
	} reward_latencies
		[JOB_REWARD_SERVICES]; ///< with services that rate texts
	int n_reward_latencies;
};

struct jobs *jobs_of(const struct core *c);

/// Known batch by id.
///
/// @return batch, NULL if not known here
struct job *job_find(const struct core *c, const char *id);

/// Batch by id, made if it is not known yet.
///
/// @return batch, NULL when the table is full
struct job *job_find_or_create(struct core *c, const char *id);

/// Forget a batch and end what this node runs of it.
void job_remove(struct core *c, struct job *j);

/// Read an owner key.
///
/// @return ERR_OK or ERR_PARSE
enum err job_owner_parse(const struct kv_item *item, struct job_owner *out);

/// Value of an owner key.
///
/// @return text, free with free(); NULL when out of memory
char *job_owner_encode(const struct job_owner *o);

/// Whether the owner is this run of this node.
bool job_owner_is_self(const struct core *c, const struct job_owner *o);

/// Write the owner key of a batch.
enum err job_owner_put(struct core *c, const char *id,
		       const struct job_owner *o, uint64_t prev_rev,
		       struct kv_cb cb);

/// Value of a batch's key: what is known of its submission, then the body.
///
/// @return text, free with free(); NULL when out of memory
char *job_batch_encode(const struct job_spec *spec, const char *body,
		       size_t len, size_t *text_len);

/// Read a batch's key.
enum err job_batch_parse(const struct jobs *jobs, const char *id,
			 const char *value, size_t len, struct job_spec **out);

/// Begin to run a batch that this node owns by its key.
///
/// @param spec  taken over
/// @param list  results that have positions, NULL for none
enum err job_start(struct core *c, struct job *j, struct job_spec *spec);

/// Stop running a batch; the store keeps what was written.
void job_stop(struct core *c, struct job *j, const char *why);

/// Move a batch that this node runs on: send items, write results.
void job_step(struct core *c, struct job *j);

/// Write what is ready, and settle the last write.
void job_write_step(struct core *c, struct job *j);

/// Send items to servers.
void job_send_step(struct core *c, struct job *j);

/// End silent runs, and move runs from slow servers to others.
void job_check_attempts(struct core *c, struct job *j);

/// End the runs of items whose results have positions: another node that believed
/// to own the batch wrote them.
void job_cancel_listed(struct core *c, struct job *j);

/// End every run of the batch at servers.
void job_cancel_attempts(struct core *c, struct job *j);

/// Whether this node may send requests of a batch.
bool job_may_send(const struct core *c, const struct job *j);

/// End every run of the batch at servers for its next owner: its items keep their
/// texts, and no attempt is counted.
void job_freeze(struct core *c, struct job *j);

/// Write the unfinished texts now and then.
void job_texts_step(struct core *c, struct job *j);

/// Write the texts of a batch whose items' runs ended for a handover.
///
/// @return whether they are in the store
bool job_texts_flush(struct core *c, struct job *j);

/// Take the unfinished texts of the owner before.
///
/// @param item  value of their key
void job_texts_restore(struct core *c, struct job *j,
		       const struct kv_item *item);

/// Delete the unfinished texts of a batch that is over.
void job_texts_delete(struct core *c, struct job *j);

/// Watch the owner key.
void job_watch_step(struct core *c, struct job *j);

/// Answer readers whose results came or whose time is up.
void job_readers_step(struct core *c);

/// Answer the readers of a batch after its list grew.
void job_readers_wake(struct core *c, struct job *j);

/// Take over what lost nodes left, if this node leads.
void job_takeover_step(struct core *c);

/// Move submissions and ends on whose store calls have to be made again.
void job_submits_step(struct core *c);
void job_ends_step(struct core *c);

/// Do at this node what a caller asks.
///
/// @param maybe  another node may have taken the batch
void job_serve_local(struct core *c, const struct job_caller *to,
		     const struct home_ask *request, bool maybe_taken);

/// Parts of job_local().
void job_submit_begin(struct core *c, const struct job_caller *to,
		      const struct home_ask *request, bool maybe_taken);
void job_read_results(struct core *c, const struct job_caller *to,
		      const struct home_ask *request);
void job_read_body(struct core *c, const struct job_caller *to,
		   const struct home_ask *request);
void job_end_begin(struct core *c, const struct job_caller *to,
		   const struct home_ask *request);

/// Requests in progress, for the drain.
bool job_requests_idle(const struct core *c);

/// Free the state of requests in progress.
void job_submits_free(struct jobs *jobs);
void job_ends_free(struct jobs *jobs);
void job_takeover_free(struct jobs *jobs);
