// Backend servers: their entries in the store, this node's load and health figures for
// each, and the choice of a server. No I/O and no clock.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/htab.h"
#include "site/conf.h"
#include "site/health.h"
#include "site/limit.h"

enum {
	SITE_SERVERS_MAX = 4096, ///< table capacity
	SITE_MODELS_MAX = 32, ///< models per server
	/// After a store outage, a live server registers again within this time.
	SITE_REREGISTER_MS = 2200,
};

struct site_model {
	char name[SITE_NAME_SIZE];
	uint64_t version; ///< of the weights
};

/// Entry that a server registers in the store.
struct site_server_entry {
	char id[SITE_NAME_SIZE]; ///< usually new at each start
	char service[SITE_NAME_SIZE];
	char addr[SITE_ADDR_SIZE]; ///< "IP:port"
	char domain[SITE_NAME_SIZE];
	int64_t started_ms; ///< wall clock, 0 if unknown
	int slots; ///< requests that it runs concurrently
	bool leaving; ///< draining: accepts no new work
	bool cheap; ///< may be reclaimed at short notice
	/// Remaining cold-start time, during which it is slow.
	int64_t cold_left_ms;
	struct site_model models[SITE_MODELS_MAX];
	int n_models;
	int n_models_left_out; ///< more than SITE_MODELS_MAX
};

/// Progress of an order to load weights.
enum site_order_state {
	SITE_ORDER_SENT, ///< in flight, or not answered
	SITE_ORDER_ACCEPTED, ///< the server is loading
	SITE_ORDER_FAILED, ///< the server is certainly not loading
	SITE_ORDER_LOADED, ///< a stream showed that the load has just ended
	SITE_ORDER_PRESENT, ///< the server has the version, perhaps for long
};

/// Notice that the leader ordered a server to load weights.
struct site_order {
	const char *server; ///< id
	int64_t started_ms; ///< incarnation, as in its entry
	const char *model;
	uint64_t version;
	int64_t sent_ms; ///< on this node's clock
	enum site_order_state state;
};

/// Last known order to load weights.
struct site_weight_load {
	char model[SITE_NAME_SIZE];
	uint64_t version; ///< 0: none
	int64_t sent_ms;
	bool accepted;
	int64_t expected_from_ms; ///< time from which it likely has the version
};

struct index_group;

/// A change of `running` or `avoid_until_ms` needs server_index_update_load(), one of an
/// input of site_server_usable() needs server_index_set_usable(); the functions below
/// call them.
struct site_server {
	htab_handle self;
	struct index_group *group; ///< of its service
	int group_pos; ///< its bit in the sets of the group
	htab_handle id_next; ///< next in the hash bucket of its id
	struct site_server_entry entry;
	uint64_t rev; ///< store revision of the entry
	/// When a response showed newer weights than the entry, 0: never.
	int64_t observed_ms;
	uint32_t list_round; ///< last full list that contained it
	int64_t cold_until_ms;
	/// When its entry vanished in a store outage; 0 if it exists.
	int64_t missing_since_ms;
	bool leaving; ///< a response said so; holds until the server restarts
	int running; ///< this node's requests in flight
	int64_t tokens; ///< expected memory of this node's samples
	int others; ///< requests of other nodes, by their reports
	/// Requests begun minus ended since a choice in claim_round.
	int sent_in_round;
	uint32_t claim_round; ///< claims round of the last choice
	int failures; ///< consecutive
	int rejections; ///< consecutive responses that a request was not run
	struct site_weight_load load;
	int64_t load_probe_ms; ///< last request of the model while its load was unseen
	/// Gets work before this time only if no other server can.
	int64_t avoid_until_ms;
	struct site_health health; ///< of short calls
	/// Time between two stream events, averaged; 0 if unknown.
	double pace_ms;
	int pace_events; ///< averaged in pace_ms
	int64_t pace_updated_ms;
	/// Mean time between events of recent runs, 0 if unknown.
	double run_pace_ms;
	struct site_limit limit; ///< of requests/s, that it named itself
	double cold_credit; ///< token bucket: requests allowed while it is cold
	int64_t cold_credit_ms; ///< time of cold_credit
};

/// Speeds of a service's servers.
struct site_speeds {
	bool uneven; ///< some are clearly slower than others
	double fast_pace_ms; ///< pace of the fast servers
	double typical_pace_ms; ///< median pace
	double fast_share; ///< fraction of fast servers, 0 to 1
};

/// Preference of a request where speeds are uneven.
enum site_speed_preference {
	SITE_ANY_SPEED,
	SITE_FAST_FIRST,
	SITE_SLOW_FIRST, ///< keeps the fast servers free for long samples
};

/// The servers, and the failure domains that operators took out of service.
struct site_servers;

/// Other nodes that send such requests concurrently: each takes its share of a server's
/// free slots until reports show what the others took.
struct site_claims {
	int others; ///< nodes
	int rank; ///< other nodes that get a remainder slot before this node
	uint32_t round; ///< changes with every report
	/// The other nodes can't use servers with older weights.
	uint64_t min_version;
};

/// Requirements of a request for the choice of a server.
struct site_request {
	const char *service;
	const char *model; ///< NULL for a plain service
	uint64_t min_version; ///< of the model's weights
	/// Only servers with older weights than these, 0 for all: others need them more.
	uint64_t below_version;
	const char *domain; ///< this node's failure domain, preferred
	const htab_handle * not ; ///< servers already tried, excluded
	int n_exclude;
	/// Only servers with a free slot, as known here.
	bool only_free;
	/// Percent of a server's slots that may be busy, 0 for all.
	int share;
	struct site_claims claims; ///< used with only_free
	double cold_rate; ///< requests/s per cold server, 0 for no limit
	double pace_ms; ///< usual pace of the service, 0 if unknown
	int64_t memory_tokens; ///< memory of an engine, 0 for no memory limit
	int64_t tokens; ///< expected memory use of the request
	enum site_speed_preference speed;
	struct site_speeds speeds; ///< used with a speed preference
	bool live; ///< short call: servers with recent bad outcomes come last
	const char *away; ///< failure domain to avoid if possible, or NULL
	/// Requests that wait: permits of a server with a limit are wanted if no other
	/// can take them. 0: only permits that this node has already are used.
	int waiting;
	bool spare_limited; ///< leave out servers with a limit
};

/// What a short call probes, besides its own purpose.
enum site_probe {
	SITE_PROBE_SERVER = 1, ///< whether its server has recovered
	/// Whether its server's failure domain has recovered.
	SITE_PROBE_DOMAIN = 2,
};

/// @return table, NULL when out of memory
struct site_servers *site_servers_new(void);

/// @param t  table or NULL
void site_servers_free(struct site_servers *t);

/// Add or update the server of an entry. A restarted server replaces the earlier
/// incarnation, whose handles become stale.
///
/// @param rev  store revision of the entry; older ones are ignored
/// @return ERR_OK or ERR_FULL
enum err site_servers_put(struct site_servers *t, uint64_t rev, int64_t now,
			  const struct site_server_entry *e);

/// Remove the server of a deleted entry.
///
/// @param outage  the store was down: the server stays until
///                site_servers_expire() removes it, unless it registers again
void site_servers_remove(struct site_servers *t, const char *id, int64_t now,
			 bool outage);

/// Begin a full list: site_servers_end_list() removes servers that were not put since,
/// as by site_servers_remove().
void site_servers_begin_list(struct site_servers *t);
void site_servers_end_list(struct site_servers *t, int64_t now, bool outage);

/// Remove servers that did not register within SITE_REREGISTER_MS after a store outage.
///
/// @param store_up_since_ms  time since which the store answers, 0 while it is down
void site_servers_expire(struct site_servers *t, int64_t now,
			 int64_t store_up_since_ms);

/// Take a failure domain out of service, or put it back.
///
/// @return ERR_OK, ERR_NOMEM
enum err site_servers_set_domain_out(struct site_servers *t, const char *domain,
				     bool out);

/// Read the full list of the domains out of service: between the two calls each of them
/// is set again, and those that are not are put back by the second call only.
void site_servers_begin_domains(struct site_servers *t);
void site_servers_end_domains(struct site_servers *t);

/// @return server, NULL for a stale handle
struct site_server *site_servers_get(const struct site_servers *t,
				     htab_handle h);

/// Look up a server by an id that is not NUL-terminated.
///
/// @return handle, 0 if there is no such server
htab_handle site_servers_lookup(const struct site_servers *t, const char *id,
				size_t len);

/// Iterate over the servers.
///
/// @param[in,out] iter  start with 0
/// @return next server, NULL at the end
struct site_server *site_servers_next(const struct site_servers *t,
				      size_t *iter);

/// Record that a response of a server announced its leaving. This holds until it
/// restarts, even if its entry says otherwise or is removed and added again.
/// Load pattern: responses announce a leaving before the store does; a node that is
/// cut off from the store learns it in no other way.
///
/// @param h  handle, may be stale
/// @return id, NULL if known already or the handle is unknown
const char *site_servers_mark_leaving(struct site_servers *t, htab_handle h);

/// Whether a server may get new work: it isn't leaving and its domain is in service.
bool site_server_usable(const struct site_servers *t,
			const struct site_server *s);

/// Number of servers of a service that may get new work.
int site_servers_count_usable(const struct site_servers *t,
			      const char *service);

/// Number of servers that could run a request, free slots or not.
int site_servers_count_eligible(const struct site_servers *t,
				const struct site_request *req);

/// Weight version of a model in a server's entry, 0 if it lacks the model.
uint64_t site_server_version(const struct site_server *s, const char *model);

/// Record the notice of a load order; one older than the pending order is ignored.
///
/// @return ERR_OK, or ERR_NOT_FOUND if no server has that id and incarnation
enum err site_servers_record_order(struct site_servers *t, int64_t now,
				   const struct site_order *o);

/// Record the version that a response of a server showed, if it is newer than that of
/// the entry. Entries of the next seconds, which may have been made before, do not
/// take it back.
/// Load pattern: a load lasts longer while many servers load, and the entry shows its
/// end up to a heartbeat later. Samples wait for servers that are ready.
///
/// @return whether it was newer
bool site_servers_observe_version(struct site_servers *t, htab_handle server,
				  int64_t now, const char *model,
				  uint64_t version);

/// Whether a server is loading weights and gets no new work: until its entry shows the
/// version, at most 1 s after the order.
bool site_server_is_loading(const struct site_server *s, int64_t now);

/// Whether a server was ordered to load a model's weights and nothing showed the end
/// yet. It gets one request of that model at a time; others are not affected by the load.
bool site_server_load_unseen(const struct site_server *s, int64_t now,
			     const char *model);

/// Record that a request of a model begins at a server: it probes an unseen load.
void site_server_probe_load(struct site_server *s, int64_t now,
			    const char *model);

/// Record that a server runs a request under older weights than it was ordered to load:
/// it is not loading.
void site_server_record_old_version(struct site_server *s, const char *model,
				    uint64_t version);

/// Whether a server has at least a version of a model's weights, by its entry (if it
/// isn't loading) or by an order that should be done by now.
bool site_server_has_version(const struct site_server *s, int64_t now,
			     const char *model, uint64_t min_version);

/// Version that a request must name because the choice of its server relies on a load
/// order, not on the server's entry.
///
/// @return version, 0 if no order is relied on
uint64_t site_server_expected_version(const struct site_server *s, int64_t now,
				      const char *model, uint64_t min_version);

/// Choose a server for one request.
/// Load pattern: steady load with a few slow or failing servers. The lowest share of
/// busy slots wins; a server that has just failed comes last, so that it costs one
/// attempt instead of many. All servers of a small service are compared; of a large one
/// a random sample of the free servers, most of them in the own failure domain. If any
/// eligible server exists, one is returned.
///
/// @return server, NULL if none is eligible
struct site_server *site_servers_choose(struct site_servers *t, int64_t now,
					const struct site_request *req);

/// Record the limit that an answer of a server named, or that another node knows of, as
/// by site_limit_observe().
bool site_servers_observe_limit(struct site_servers *t, htab_handle h,
				double per_s, int64_t named_ms);

/// Iterate over the servers whose limit this node has observed, also those that have
/// none any more.
///
/// @param[in,out] iter  start with 0
/// @return next server, NULL at the end
struct site_server *site_servers_next_limited(struct site_servers *t,
					      int *iter);

/// What limits mean for a service's requests that find no server now.
void site_servers_limit_outlook(const struct site_servers *t, int64_t now,
				const char *service,
				struct site_limit_outlook *out);

/// Record that a request begins at a server; it uses a permit if the server has a limit.
void site_server_begin(struct site_server *s, int64_t now);

/// Change the expected memory use when a sample begins or ends at a server.
/// Load pattern: engines with memory for a few long samples. A sample that no longer
/// fits is evicted and its prefill is repeated, which delays the whole step.
///
/// @param tokens  tokens to add, negative when the sample ends
void site_server_reserve(struct site_server *s, int64_t tokens);

/// Record that a request ended.
///
/// @param ok  false if it showed that the server can't be used now
void site_server_end(struct site_server *s, int64_t now, bool ok);

/// Record that a server rejected a request without running it, because it is full or
/// loading.
/// Load pattern: several nodes send to the same engines. A rejection is no fault of the
/// server, so it only gets a pause, long enough for a slot to become free. Ten such
/// pauses in a row without a success or a stream event count as a failure.
///
/// @param expected  version that the request named and the server lacks, 0 for none
void site_server_record_rejection(struct site_server *s, int64_t now,
				  uint64_t expected);

/// Record that a request ended, with no effect on the health figures.
void site_server_release(struct site_server *s);

/// Record that a short call begins at a server.
///
/// @return bits of enum site_probe, for site_server_call_end()
int site_server_call_begin(struct site_servers *t, struct site_server *s,
			   int64_t now);

/// Record the outcome of a short call, once per call.
///
/// @param probe  result of site_server_call_begin()
/// @return true if this ejects the server: it gets no calls for a time
bool site_server_call_end(struct site_servers *t, struct site_server *s,
			  int64_t now, enum site_outcome how, int probe);

/// Record a stream event.
///
/// @param ms  time since the previous event of the stream
void site_server_record_event(struct site_server *s, int64_t now, double ms);

/// Usual pace of a service's servers: the 25th percentile of their recent paces, which
/// stays valid when half of the servers become slow. For a large service it is computed
/// from a sample of the servers every 100 ms.
///
/// @return milliseconds between two events, 0 if unknown
double site_servers_usual_pace(struct site_servers *t, const char *service,
			       int64_t now);

/// Recent pace of a server divided by the usual pace.
/// Load pattern: a third of the engines become slow at the same time. Moving their
/// streams pays off, since a prefill of prompt and text elsewhere costs little compared
/// with the remaining events.
///
/// @param usual_ms  result of site_servers_usual_pace()
/// @return ratio, 1 if unknown
double site_server_slowness(const struct site_server *s, int64_t now,
			    double usual_ms);

/// Speeds of a service's servers.
/// Load pattern: a quarter of the engines is twice as fast as the others, or a third is
/// slower by a third. A step ends with its longest samples, so these should run on the
/// fast engines; short samples, which are not urgent, on the others.
///
/// @param[out] out  `uneven` is false while too few speeds are known
void site_servers_speeds(struct site_servers *t, const char *service,
			 int64_t now, struct site_speeds *out);

/// Record a run that ended at a server or moved to another one.
///
/// @param events  events of the run at this server
/// @param ms      time from the first to the last of these events
void site_server_record_run(struct site_server *s, int events, int64_t ms);

/// Whether a server is one of the fast servers of its service.
bool site_server_is_fast(const struct site_server *s,
			 const struct site_speeds *speeds);

/// Expected pace of a stream at a server: the recent pace, else that of past runs.
///
/// @return milliseconds, the typical pace if neither is known
double site_server_expected_pace(const struct site_server *s, int64_t now,
				 const struct site_speeds *speeds);
