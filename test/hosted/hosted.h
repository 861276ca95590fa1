// Stand-in of the users' platform, in the test's own process: the store, engines
// and a booking service, each at its own port, a thread a connection.
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
	HOSTED_SERVER_PORT = 7910, ///< of the first server
	HOSTED_SLOTS = 6, ///< of an engine
	HOSTED_RUNS = 131072, ///< runs that are remembered
};

/// What the desks make of reward calls.
enum hosted_rating {
	HOSTED_RATE, ///< answer with a seal
	HOSTED_RATE_FULL, ///< refuse the call: it has not run
	HOSTED_RATE_LOST, ///< close the connection after the work
	HOSTED_RATE_HALF, ///< break off in the middle of the answer
	HOSTED_RATE_OTHER, ///< answer to another call's id
	HOSTED_RATE_UNSEALED, ///< answer that nobody vouches for
	HOSTED_RATE_SILENT, ///< answer late
};

/// A run that a server began.
struct hosted_run {
	char id[64];
	char team[64];
	int server;
	int host; ///< last number of the sender's address
	int64_t at_ms;
	int from; ///< last event that the caller had, 0 for none
	bool whole; ///< of an engine: the last event was made
	int64_t after_leave_ms; ///< since the store took the server's leaving;
		///< 0 if it had not
};

struct hosted_server {
	struct hosted *h;
	int index;
	char id[32];
	char addr[64];
	bool engine;
	bool leaving;
	int64_t left_ms; ///< when the store took that; 0 while it stands
	bool says_leaving; ///< its answers say that it leaves
	int starts; ///< after the first
	int book_ms; ///< of a desk: time that a booking takes
	bool grey; ///< of a desk: fails every second booking
	int booked;
	bool dark; ///< takes connections and does not answer
	bool drips; ///< of an engine: sends comments and no event, without end
	int running;
	uint64_t version; ///< of the model "m"
	uint64_t next_version; ///< that it loads, with hosted.load_ms
	int64_t loaded_ms; ///< when it has that, 0 for none
	uint64_t last_epoch; ///< of an order
	int stale_orders; ///< with a lower epoch than one before
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
	json_t *reports; ///< window to counts
	int clashes; ///< windows that were reported with different counts
	uint64_t conf_version;
	/// Orders are answered at once, and an engine rejects runs for so long then;
	/// its entry is not published. 0: it answers when it has the version.
	int load_ms;
	int loading_rejects; ///< runs rejected by loading engines
	int version_rejects; ///< runs rejected for lack of the version they name
	int event_ms; ///< between two events of a stream
	enum hosted_rating rating;
	int odd_ratings; ///< so many calls get it, then HOSTED_RATE
	int early_ratings; ///< calls that came before their text was whole
	int wrong_ratings; ///< calls that are not what their batch says
	int down; ///< the store: 0 up, 1 refuses, 2 is silent
	int lose_percent; ///< of the store's answers are lost
	uint64_t lose_seed; ///< decides which
	const char *down_at; ///< refuses calls once a key below it is read
	const char *lose_key; ///< the answer of the next write below it is lost
	const char
		*mute; ///< watches below it that wait since mute_ms or before
	///< never get an answer
	int64_t mute_ms;
	const char
		*late; ///< watches below it that wait since late_ms or before
	///< get an answer late_by_ms after it was made
	int64_t late_ms;
	int late_by_ms;
	int64_t excuse_until_ms; ///< orders may be late: a sender just woke up
	json_t *sizes; ///< "service/domain" to the servers ordered
	bool stopping;
	struct MHD_Daemon *store;
};

/// Start it and publish servers and the first configuration.
bool hosted_start(struct hosted *h);
void hosted_stop(struct hosted *h);

/// Publish a configuration whose team "t1" holds these keys.
///
/// @param keys  NULL-terminated
void hosted_conf(struct hosted *h, const char *const *keys);

/// Value of a key.
///
/// @return text, free with free(); NULL if there is no such key
char *hosted_value(struct hosted *h, const char *key);

/// Name a version of the model "m".
void hosted_name_version(struct hosted *h, uint64_t version);

/// Name a version of another model, which no engine has.
void hosted_name_other(struct hosted *h, uint64_t version);

/// Publish a server's entry as it is now.
void hosted_publish(struct hosted *h, struct hosted_server *s);

/// Withdraw a server's entry.
void hosted_withdraw(struct hosted *h, struct hosted_server *s);

/// A server leaves: it says so, or its entry goes; or it stands again.
void hosted_leave(struct hosted *h, struct hosted_server *s, bool say);
void hosted_stay(struct hosted *h, struct hosted_server *s);

/// Connections on which a watch below a prefix waits now go silent for good;
/// new ones work.
void hosted_mute(struct hosted *h, const char *prefix);

/// Answers of watches below a prefix that wait now arrive late.
void hosted_delay(struct hosted *h, const char *prefix, int ms);

/// Longest time after a server's leaving at which a run began there, of the runs
/// since a time.
int64_t hosted_latest_run(struct hosted *h, int64_t since_ms);

/// Events of an item: many for those whose id begins with "L". And its text when versions do not matter.
int hosted_events(const char *item);

/// Runs of an id.
int hosted_runs(struct hosted *h, const char *id);

/// Whether an item needs a reward: every second one of a batch does.
bool hosted_scored(const char *item);

/// Whether the reward call of an item always fails: the first one's, in batches
/// whose id begins with "F".
bool hosted_hopeless(const char *item);

/// Whether no route leads to the reward of an item: the third one's, in batches whose
/// id begins with "N".
bool hosted_unroutable(const char *item);

/// What is wrong with a result of a batch.
///
/// @return text, NULL if nothing is
const char *hosted_result_fault(const json_t *result, const char *batch);

/* Parts. */
bool hosted_store_start(struct hosted *h);
bool hosted_server_start(struct hosted *h, int index);
void hosted_put(struct hosted *h, const char *key, json_t *value);
