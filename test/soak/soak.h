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
	SOAK_BOOKERS = 4, ///< threads
	SOAK_TRAINERS = 3, ///< threads
	SOAK_CALLS = 65536, ///< capacity of the booking log
	SOAK_BATCHES = 1024, ///< capacity of the batch log
	SOAK_ITEMS = 8, ///< of a batch
	SOAK_REVOKE_MS = 5000, ///< after which a revoked key must be refused
	SOAK_RESTORES = 64, ///< most restores of the key that are logged
	SOAK_THAW_MS =
		300, ///< after a sender resumes, its stale orders do not count
	SOAK_LEAVE_MS = 2000, ///< after which a leaving server must get no runs
	SOAK_CONTACT_MS = 3000, ///< time without a fault after which a node, a
		///< link or the store counts as healthy
};

struct soak_opts {
	uint64_t seed;
	int nodes; ///< node processes
	int faults_ms; ///< duration of fault injection
	int recover_ms; ///< time limit for recovery afterwards
};

/// A booking, as its caller saw it.
struct soak_call {
	char id[32];
	bool once; ///< must not run twice
	bool said_not_run; ///< the response promised that it has not run
	bool late_key; ///< sent after its revoked key had to be refused
	int64_t sent_ms;
};

/// A batch, as its trainer saw it.
struct soak_batch {
	char id[32];
	bool accepted; ///< some attempt got a 202
	bool unsure; ///< some attempt got neither a 202 nor a "not run"
	json_t *seen[SOAK_ITEMS]; ///< result at each position, NULL: unread
};

struct soak {
	struct soak_opts opts;
	struct hosted h;
	struct nodes ns;
	struct link *store[NODES_MAX]; ///< between a node and the store
	struct link *server[HOSTED_SERVERS]; ///< between nodes and a server
	bool store_cut[NODES_MAX]; ///< a node's link to the store has a fault
	int64_t store_bad_ms
		[NODES_MAX]; ///< last fault of that link or the store
	bool node_down[NODES_MAX]; ///< a node's process has a fault
	int64_t node_bad_ms[NODES_MAX]; ///< when it last had one
	bool server_cut[HOSTED_SERVERS]; ///< a server's link has a fault
	int64_t server_bad_ms[HOSTED_SERVERS]; ///< when it last had one
	int64_t down_ms; ///< when the store was last down or dropped responses
	int n_judged; ///< runs checked so far
	int n_late; ///< of them, runs too late on a leaving server, excused or not
	int64_t started_ms[NODES_MAX]; ///< last start of a node's process
	bool term_early[NODES_MAX]; ///< got SIGTERM while starting
	int64_t start_ms;
	_Atomic bool stop; ///< tells callers' threads to exit
	_Atomic int64_t revoked_ms; ///< when "k2" was revoked, 0 while valid
	int64_t restored_ms[SOAK_RESTORES]; ///< when it was restored
	int n_restored;
	pthread_mutex_t lock; ///< protects the fields below
	int broken; ///< number of violated guarantees
	uint64_t version; ///< current target weight version
	struct soak_call calls[SOAK_CALLS];
	int n_calls;
	struct soak_batch batches[SOAK_BATCHES];
	int n_batches;
};

/// Count and print a violated guarantee.
void soak_broken(struct soak *k, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/// Print a message with the time since the start, in seconds.
void soak_note(const struct soak *k, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

void soak_pause(int ms);

/// Start the callers' threads; they exit once soak.stop is set.
bool callers_start(struct soak *k, pthread_t *threads, int *n);

/// Check new runs for any that started on a server later than SOAK_LEAVE_MS after the
/// store recorded that it leaves.
void leaves_check(struct soak *k);

/// Inject faults for opts.faults_ms, then end all of them.
void faults_run(struct soak *k);

/// Wait for recovery, read every accepted batch to its end and check all logs.
void checks_run(struct soak *k);

/// Read a batch's results after a position from a node and check them against the
/// results read before.
void batch_read(struct soak *k, struct soak_batch *b, int node, int after);

/// Whether all positions of a batch were read.
bool batch_whole(const struct soak_batch *b);
