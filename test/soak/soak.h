// Randomized fault soak: whole daemons as separate processes on the stand-in of
// the users' platform, faults from outside them, and checks of what callers,
// backend servers and the platform see.
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
	SOAK_CALLS = 65536, ///< bookings that are remembered
	SOAK_BATCHES = 1024, ///< batches that are remembered
	SOAK_ITEMS = 8, ///< of a batch
	SOAK_REVOKE_MS = 5000, ///< after which a withdrawn key must not work
	SOAK_RESTORES = 64, ///< times that the key is given back
	SOAK_THAW_MS = 300, ///< for which a waking sender's bytes are excused
	SOAK_LEAVE_MS = 2000, ///< after which a server that left gets nothing
	SOAK_CONTACT_MS = 3000, ///< a node, a link or the store was well for so
		///< long before it counts as such
};

struct soak_opts {
	uint64_t seed;
	int nodes; ///< processes
	int faults_ms; ///< time with faults
	int recover_ms; ///< time in which all must be well again
};

/// A booking, as its caller saw it.
struct soak_call {
	char id[32];
	bool once; ///< must not run twice
	bool said_not_run; ///< the answer promised so
	bool late_key; ///< sent with a key that had to be dead by then
	int64_t sent_ms;
};

/// A batch, as its trainer saw it.
struct soak_batch {
	char id[32];
	bool accepted; ///< some attempt got a 202
	bool unsure; ///< some attempt got neither a 202 nor a promise
	json_t *seen
		[SOAK_ITEMS]; ///< result at each position, NULL: not read yet
};

struct soak {
	struct soak_opts opts;
	struct hosted h;
	struct nodes ns;
	struct link *store[NODES_MAX]; ///< between a node and the store
	struct link *server[HOSTED_SERVERS]; ///< between nodes and a server
	bool store_cut[NODES_MAX]; ///< a node's link to the store is disturbed
	int64_t store_bad_ms[NODES_MAX]; ///< when it last was, or the store
	bool node_down[NODES_MAX]; ///< a node's process is disturbed
	int64_t node_bad_ms[NODES_MAX]; ///< when it last was
	bool server_cut[HOSTED_SERVERS]; ///< a server's link is disturbed
	int64_t server_bad_ms[HOSTED_SERVERS]; ///< when it last was
	int64_t down_ms; ///< when the store was last away or lost answers
	int n_judged; ///< runs that were looked at
	int n_late; ///< of them, after a leaving, excused or not
	int64_t started_ms[NODES_MAX]; ///< last start of a node's process
	bool term_early[NODES_MAX]; ///< SIGTERM came while it was starting
	int64_t start_ms;
	_Atomic bool stop; ///< callers end
	_Atomic int64_t
		revoked_ms; ///< when "k2" was withdrawn, 0 while it holds
	int64_t restored_ms[SOAK_RESTORES]; ///< when it was given back
	int n_restored;
	pthread_mutex_t lock; ///< over the rest
	int broken; ///< promises
	uint64_t version; ///< of the weights, named last
	struct soak_call calls[SOAK_CALLS];
	int n_calls;
	struct soak_batch batches[SOAK_BATCHES];
	int n_batches;
};

/// Say that a promise was broken.
void soak_broken(struct soak *k, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/// Say what happens, with the time since the start.
void soak_note(const struct soak *k, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

void soak_pause(int ms);

/// Start the callers' threads; they end with soak.stop.
bool callers_start(struct soak *k, pthread_t *threads, int *n);

/// Look for runs that reached a server later than SOAK_LEAVE_MS after the store took
/// its leaving.
void leaves_check(struct soak *k);

/// Inject faults for the time of the options, and end them all.
void faults_run(struct soak *k);

/// Read every accepted batch to its end, and judge what was seen.
void checks_run(struct soak *k);

/// Read the results of a batch from a node and compare them with those that were
/// read before.
void batch_read(struct soak *k, struct soak_batch *b, int node, int after);

/// Whether all positions of a batch were read.
bool batch_whole(const struct soak_batch *b);
