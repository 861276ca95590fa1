// Randomized fault soak test: daemon processes on the fake of the users' platform,
// faults injected from outside, and checks of what callers, backend servers and the
// platform see.
#pragma once

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "hosted.h"
#include "nodes.h"
#include "support/link.h"

enum {
	SOAK_BOOKING_THREADS = 4,
	SOAK_TRAINER_THREADS = 3,
	SOAK_CALLS_MAX = 65536, ///< capacity of the booking log
	SOAK_BATCHES_MAX = 1024, ///< capacity of the batch log
	SOAK_BATCH_ITEMS = 8,
	SOAK_REVOKE_MS = 5000, ///< after which a revoked key must be refused
	SOAK_RESTORES_MAX = 64, ///< most restores of the key that are logged
	/// Time after a sender resumes in which its stale orders are ignored.
	SOAK_RESUME_MS = 300,
	SOAK_LEAVE_MS = 2000, ///< after which a leaving server must get no runs
	SOAK_READ_WAIT_MS = 1000,
	SOAK_HEALTHY_MS = 3000, ///< without a fault, after which a node, a
		///< link or the store counts as healthy
};

struct soak_opts {
	uint64_t seed;
	int nodes;
	int faults_ms; ///< duration of fault injection
	int recover_ms; ///< time limit for recovery afterwards
};

/// A booking, as its caller saw it.
struct soak_call {
	char id[32];
	bool non_idempotent; ///< must not run twice
	bool promised_not_run; ///< the response promised so
	bool key_revoked; ///< sent when its key had to be refused
	int64_t sent_ms;
};

/// A batch, as its trainer saw it.
struct soak_batch {
	char id[32];
	bool accepted; ///< some attempt got a 202
	bool outcome_unknown; ///< an attempt got neither a 202 nor "not run"
	/// Result at each position, NULL: unread.
	json_t *seen[SOAK_BATCH_ITEMS];
};

struct soak {
	struct soak_opts opts;
	struct hosted h;
	struct nodes ns;
	struct link *store_links[NODES_MAX]; ///< a node to the store
	struct link *server_links[HOSTED_SERVERS]; ///< nodes to a server
	bool store_link_fault[NODES_MAX]; ///< active now
	int64_t store_fault_ms
		[NODES_MAX]; ///< last fault of the link or the store
	bool node_fault[NODES_MAX]; ///< active now
	int64_t node_fault_ms[NODES_MAX]; ///< last fault
	bool server_link_fault[HOSTED_SERVERS]; ///< active now
	int64_t server_fault_ms[HOSTED_SERVERS]; ///< last fault of its link
	int64_t store_down_ms; ///< last time it was down or dropped responses
	int n_checked_runs;
	int n_late_runs; ///< of these, on a leaving server; excused or not
	int64_t started_ms[NODES_MAX]; ///< last start of a node's process
	bool term_while_starting[NODES_MAX]; ///< got SIGTERM while starting
	int64_t start_ms;
	_Atomic bool stop; ///< callers' threads exit
	_Atomic int64_t revoked_ms; ///< when "k2" was revoked, 0 while valid
	int64_t restored_ms[SOAK_RESTORES_MAX]; ///< when "k2" was restored
	int n_restored;
	pthread_mutex_t lock; ///< protects the fields below
	int n_violations; ///< of guarantees
	uint64_t version; ///< current target weight version
	struct soak_call calls[SOAK_CALLS_MAX];
	int n_calls;
	struct soak_batch batches[SOAK_BATCHES_MAX];
	int n_batches;
};

/// Count and print a violated guarantee.
void soak_violation(struct soak *k, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/// Print a message with the time since the start, in seconds.
void soak_log(const struct soak *k, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

void soak_sleep(int ms);

/// Start the callers' threads.
bool callers_start(struct soak *k, pthread_t *threads, int *n);

/// Check new runs for any that started on a server later than SOAK_LEAVE_MS after the
/// store recorded that it leaves.
void leaving_check(struct soak *k);

/// Inject faults for opts.faults_ms, then end all of them.
void faults_run(struct soak *k);

/// Wait for recovery, read every accepted batch to its end and check all logs.
void checks_run(struct soak *k);

/// Read a batch's results after a position from a node and check them against the
/// results read before.
void batch_read(struct soak *k, struct soak_batch *b, int node, int after);

/// Whether all positions of a batch were read.
bool batch_complete(const struct soak_batch *b);
