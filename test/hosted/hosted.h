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
	HOSTED_BOOKING_SERVERS = 2,
	HOSTED_SERVERS = HOSTED_ENGINES + HOSTED_BOOKING_SERVERS,
	HOSTED_STORE_PORT = 7900,
	HOSTED_SERVER_PORT = 7910, ///< of server 0
	HOSTED_RESTART_MS = 700,
	HOSTED_ENGINE_SLOTS = 6, ///< concurrent runs of an engine
	HOSTED_RUNS_MAX = 131072, ///< capacity of the run log
};

/// How the booking servers respond to reward calls.
enum hosted_reward_reply {
	HOSTED_REWARD_OK, ///< sealed response
	HOSTED_REWARD_REJECTED, ///< 503 marked as not run
	HOSTED_REWARD_DROPPED, ///< connection closed after the run
	HOSTED_REWARD_TRUNCATED, ///< connection closed within the body
	HOSTED_REWARD_UNFRAMED, ///< the same, of a body without length or chunks
	HOSTED_REWARD_WRONG_ID, ///< another call's id
	HOSTED_REWARD_UNSEALED, ///< no seal
	HOSTED_REWARD_DELAYED, ///< response after 900 ms
};

/// How engines answer a run that goes on after an event.
enum hosted_resume_reply {
	HOSTED_RESUME_OK,
	HOSTED_RESUME_404, ///< with the text of an error
	HOSTED_RESUME_500,
	HOSTED_RESUME_PAGE, ///< 200, no event stream
	HOSTED_RESUME_NO_ID, ///< 200, an event stream without the item's id
	HOSTED_RESUME_HEAD, ///< 200, the head of an event stream and no event
	HOSTED_RESUME_OTHER_EVENT, ///< goes on one event too late
	HOSTED_RESUME_REPLIES
};

/// A run that a server started.
struct hosted_run {
	char id[64];
	char team[256];
	int server;
	int sender_octet; ///< last octet of the sender's IP address
	int64_t start_ms;
	bool keyed; ///< it came with an Authorization field
	int last_event_id; ///< last event the caller already had; 0: none
	bool complete; ///< engines: the last event was generated
	int64_t since_leaving_ms; ///< since the store recorded its leaving;
		///< 0 if it had not
};

struct hosted_server {
	struct hosted *h;
	int index;
	char id[32];
	char addr[64];
	bool engine;
	bool leaving;
	int64_t leaving_at_ms; ///< as recorded by the store; 0: no
	bool sends_leaving; ///< Server-Leaving in its responses
	const char *limit; ///< Server-Limit in its responses; NULL: none
	int n_restarts; ///< changes the entry's `born`
	int booking_ms; ///< duration of a booking
	bool fails_half; ///< every second booking fails
	int n_bookings;
	/// Bookings with the body "end-server" end it: the connection breaks, and it starts
	/// anew under another id after HOSTED_RESTART_MS.
	int64_t down_until_ms; ///< connections are closed until then, 0: it is up
	bool unresponsive; ///< accepts connections and sends no response
	bool comments_only; ///< engines: endless streams without events
	int running;
	uint64_t version; ///< of the model "m"
	uint64_t next_version; ///< being loaded, see hosted.load_ms
	int64_t load_end_ms; ///< when that load ends; 0: none
	uint64_t max_epoch; ///< highest fence epoch of an order
	int stale_orders; ///< with a lower epoch than an earlier one
	struct MHD_Daemon *http;
};

struct hosted {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	char ip[16];
	struct kv kv;
	struct hosted_server servers[HOSTED_SERVERS];
	struct hosted_run runs[HOSTED_RUNS_MAX];
	int n_runs;
	json_t *reports; ///< usage window id to its counts
	int usage_conflicts; ///< reports that differ from the window's first
	uint64_t conf_version;
	/// Duration of a load: orders are answered immediately, runs rejected
	/// meanwhile, the entry not republished. 0: an order is answered after it.
	int load_ms;
	int loading_rejects; ///< by loading engines
	int version_rejects; ///< of runs that expect another version
	int event_ms; ///< between events of a stream
	int cut_after; ///< events after which streams from the start break off, 0: none
	bool unframed_cuts; ///< those streams have no chunks: their end seems regular
	enum hosted_resume_reply resume_reply;
	int resume_faults_left; ///< runs that still get it, then HOSTED_RESUME_OK
	enum hosted_reward_reply reward_reply;
	int reward_faults_left; ///< calls that still get it, then HOSTED_REWARD_OK
	int early_rewards; ///< calls before their text was complete
	int wrong_rewards; ///< calls that differ from the batch's
	bool crash_bookings; ///< bookings that run end their servers
	int store_down; ///< the store: 0 up, 1 answers 503, 2 does not answer
	int store_loss_percent; ///< responses dropped
	uint64_t store_loss_seed; ///< selects them
	/// Key prefix; a read below it sets store_down to 1.
	const char *down_on_read;
	/// Key prefixes; reads of a key below the first one, and of a list's second page
	/// below the other one, wait until it is NULL.
	const char *hold_key;
	const char *hold_page;
	int n_held; ///< reads that wait
	/// Prefix; lists of keys below it have one item a page.
	const char *page_prefix;
	/// Key prefix; the response to the next write below it is dropped.
	const char *lose_write;
	/// Prefix; watches on it that began by mute_before_ms never get a response.
	const char *mute_prefix;
	int64_t mute_before_ms;
	/// Prefix; responses to watches on it that began by delay_before_ms come
	/// delay_ms later.
	const char *delay_prefix;
	int64_t delay_before_ms;
	int delay_ms;
	/// Prefix; watches on it that began by forget_before_ms get 410.
	const char *forget_prefix;
	int64_t forget_before_ms;
	int64_t stale_ok_until_ms; ///< a sender resumed: stale orders are ignored
	json_t *ordered_sizes; ///< "service/domain" to servers ordered
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
void hosted_publish_conf(struct hosted *h, const char *const *keys);

/// Publish the configuration with one more team, which has one API key.
void hosted_publish_team(struct hosted *h, const char *name, const char *key);

/// Value of a key in the store.
///
/// @return text, free with free(); NULL if the key does not exist
char *hosted_get_value(struct hosted *h, const char *key);

/// Set the target weight version of model "m", which the engines serve.
void hosted_set_version(struct hosted *h, uint64_t version);

/// Set the target weight version of model "m2", which no engine serves.
void hosted_set_other_version(struct hosted *h, uint64_t version);

/// Publish a server's current entry.
void hosted_publish(struct hosted *h, struct hosted_server *s);

/// Delete a key of the store.
void hosted_delete(struct hosted *h, const char *key);

/// Delete a server's entry.
void hosted_withdraw(struct hosted *h, struct hosted_server *s);

/// Make a server leave: its entry says "draining" if announce is set, else it is
/// deleted.
/// hosted_server_return() makes it ready again.
void hosted_server_leave(struct hosted *h, struct hosted_server *s,
			 bool announce);
void hosted_server_return(struct hosted *h, struct hosted_server *s);

/// Never answer the watches on a prefix that are waiting now; later ones work.
void hosted_mute_watches(struct hosted *h, const char *prefix);

/// Delay the responses to the watches on a prefix that are waiting now.
void hosted_delay_watches(struct hosted *h, const char *prefix, int ms);

/// Answer the watches on a prefix that are waiting now with 410, and give the lists that
/// follow one item a page; their second pages are held.
void hosted_relist_held(struct hosted *h, const char *prefix);

/// Let the lists go on, with all items in a page.
void hosted_relist_release(struct hosted *h);

/// Publish the servers that are back after a request ended them.
void hosted_revive(struct hosted *h);

/// Longest time in ms from a server's leaving to the start of a run on it, among
/// the runs started since a time; 0 if there is none.
int64_t hosted_max_since_leaving_ms(struct hosted *h, int64_t since_ms);

/// Number of events of an item's stream: 60 if its id begins with "L", else 3 to 14.
int hosted_event_count(const char *item);

/// Number of runs with a request id, on all servers.
int hosted_run_count(struct hosted *h, const char *id);

/// Whether an item needs a reward: those with an odd number do.
bool hosted_needs_reward(const char *item);

/// Whether the reward call of an item always fails: item 1 of batches whose id
/// begins with "F".
bool hosted_reward_always_fails(const char *item);

/// Whether the reward call of an item matches no route: item 3 of batches whose id
/// begins with "N".
bool hosted_reward_unroutable(const char *item);

/// Check a result of a batch against what the fake's servers generate.
///
/// @return description of the first mismatch, NULL if there is none
const char *hosted_check_result(const json_t *result, const char *batch);

/* Used between the fake's own files. */
bool hosted_store_start(struct hosted *h);
bool hosted_server_start(struct hosted *h, int index);
void hosted_put(struct hosted *h, const char *key, json_t *value);
void hosted_put_bytes(struct hosted *h, const char *key, const char *bytes,
		      size_t n);
