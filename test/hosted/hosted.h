// Fake of the users' platform inside the test process: the store, engines and a
// booking service, each on its own port with a thread per connection.
#pragma once

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "kv.h"

struct MHD_Daemon;

enum {
	HOSTED_ENGINES = 4,
	HOSTED_DESKS = 2,
	HOSTED_SERVERS = HOSTED_ENGINES + HOSTED_DESKS,
	HOSTED_STORE_PORT = 7900,
	HOSTED_SERVER_PORT = 7910, ///< of server 0; server i uses port + i
	HOSTED_SLOTS = 6, ///< concurrent runs of an engine
	HOSTED_RUNS = 131072, ///< capacity of the run log
};

/// How the booking servers respond to reward calls.
enum hosted_rating {
	HOSTED_RATE, ///< a response with a seal
	HOSTED_RATE_FULL, ///< 503 marked as not run
	HOSTED_RATE_LOST, ///< close the connection after running the call
	HOSTED_RATE_HALF, ///< close the connection in the middle of the body
	HOSTED_RATE_OTHER, ///< a response with another call's id
	HOSTED_RATE_UNSEALED, ///< a response without a seal
	HOSTED_RATE_SILENT, ///< a response after 900 ms
};

/// A run that a server started.
struct hosted_run {
	char id[64];
	char team[64];
	int server;
	int host; ///< last octet of the sender's IP address
	int64_t at_ms;
	int from; ///< last event the caller already had; 0: none
	bool whole; ///< engines: the last event was generated
	int64_t after_leave_ms; ///< since the store recorded that the server
		///< leaves; 0 if it had not
};

struct hosted_server {
	struct hosted *h;
	int index;
	char id[32];
	char addr[64];
	bool engine;
	bool leaving;
	int64_t left_ms; ///< when the store recorded that; 0: not leaving
	bool says_leaving; ///< its responses have the Server-Leaving header
	int starts; ///< restarts; they change the entry's `born`
	int book_ms; ///< booking servers: duration of a booking
	bool grey; ///< booking servers: every second booking fails
	int booked;
	bool dark; ///< accepts connections and sends no response
	bool drips; ///< engines: streams endless comments and no event
	int running;
	uint64_t version; ///< of the model "m"
	uint64_t next_version; ///< being loaded, if hosted.load_ms is set
	int64_t loaded_ms; ///< when that load ends; 0: none
	uint64_t last_epoch; ///< highest fence epoch of an order
	int stale_orders; ///< orders with a lower epoch than an earlier one
	struct MHD_Daemon *http;
};

struct hosted {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	char ip[16];
	struct kv kv;
	struct hosted_server servers[HOSTED_SERVERS];
	struct hosted_run runs[HOSTED_RUNS];
	int n_runs;
	json_t *reports; ///< usage window id to its counts
	int clashes; ///< reports whose counts differ from the window's first
	uint64_t conf_version;
	/// Duration of a load: orders are answered immediately, the engine rejects
	/// runs meanwhile and its entry is not republished. 0: an order is answered
	/// once the version is loaded.
	int load_ms;
	int loading_rejects; ///< runs rejected by loading engines
	int version_rejects; ///< runs rejected because the expected version differs
	int event_ms; ///< interval between events of a stream
	enum hosted_rating rating;
	int odd_ratings; ///< remaining calls that get it; then HOSTED_RATE
	int early_ratings; ///< reward calls received before their text was complete
	int wrong_ratings; ///< reward calls that differ from their batch's
	int down; ///< the store: 0 up, 1 answers 503, 2 does not answer
	int lose_percent; ///< share of the store's responses that are dropped
	uint64_t lose_seed; ///< of the generator that selects them
	const char *down_at; ///< key prefix; a read below it sets `down` to 1
	const char *lose_key; ///< prefix; the next write's response is dropped
	/// Prefix; watches on it that began by mute_ms never get a response.
	const char *mute;
	int64_t mute_ms;
	/// Prefix; responses to watches on it that began by late_ms are delayed by
	/// late_by_ms.
	const char *late;
	int64_t late_ms;
	int late_by_ms;
	int64_t excuse_until_ms; ///< stale orders do not count: a sender resumed
	json_t *sizes; ///< "service/domain" to the number of servers ordered
	bool stopping;
	struct MHD_Daemon *store;
};

/// Start the fake, publish its servers and the first configuration.
///
/// @return false if a port can't be opened
bool hosted_start(struct hosted *h);
void hosted_stop(struct hosted *h);

/// Publish a configuration in which team "t1" has these API keys.
///
/// @param keys  NULL-terminated
void hosted_conf(struct hosted *h, const char *const *keys);

/// Value of a key in the store.
///
/// @return text, free with free(); NULL if the key does not exist
char *hosted_value(struct hosted *h, const char *key);

/// Set the target weight version of model "m", which the engines serve.
void hosted_name_version(struct hosted *h, uint64_t version);

/// Set the target weight version of model "m2", which no engine serves.
void hosted_name_other(struct hosted *h, uint64_t version);

/// Publish a server's current entry.
void hosted_publish(struct hosted *h, struct hosted_server *s);

/// Delete a server's entry.
void hosted_withdraw(struct hosted *h, struct hosted_server *s);

/// Make a server leave: its entry says "draining" if `say`, else it is deleted.
/// hosted_stay() makes it ready again.
void hosted_leave(struct hosted *h, struct hosted_server *s, bool say);
void hosted_stay(struct hosted *h, struct hosted_server *s);

/// Never answer the watches on a prefix that are waiting now; later ones work.
void hosted_mute(struct hosted *h, const char *prefix);

/// Delay the responses to the watches on a prefix that are waiting now.
void hosted_delay(struct hosted *h, const char *prefix, int ms);

/// Longest time in ms from a server's leaving to the start of a run on it, among
/// the runs started since a time; 0 if there is none.
int64_t hosted_latest_run(struct hosted *h, int64_t since_ms);

/// Number of events of an item's stream: 60 if its id begins with "L", else 3 to 14.
int hosted_events(const char *item);

/// Number of runs with a request id, on all servers.
int hosted_runs(struct hosted *h, const char *id);

/// Whether an item needs a reward: those with an odd number do.
bool hosted_scored(const char *item);

/// Whether the reward call of an item always fails: item 1 of batches whose id
/// begins with "F".
bool hosted_hopeless(const char *item);

/// Whether the reward call of an item matches no route: item 3 of batches whose id
/// begins with "N".
bool hosted_unroutable(const char *item);

/// Check a result of a batch against what the fake's servers generate.
///
/// @return description of the first mismatch, NULL if there is none
const char *hosted_result_fault(const json_t *result, const char *batch);

/* Used between the fake's own files. */
bool hosted_store_start(struct hosted *h);
bool hosted_server_start(struct hosted *h, int index);
void hosted_put(struct hosted *h, const char *key, json_t *value);
