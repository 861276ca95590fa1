// Backend servers as they announce themselves, and what this node knows of
// each. Pure: entries and `now` in, choices out.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/htab.h"
#include "site/conf.h"
#include "site/health.h"

enum {
	SITE_SERVERS_MAX = 4096, ///< most servers known at once
	SITE_MODELS = 8, ///< models of a server
	/// A server that is alive announces itself again within this time after
	/// an outage of the store.
	SITE_LAPSE_MS = 2200,
};

struct site_model {
	char name[SITE_NAME];
	uint64_t version; ///< of its weights
};

/// What a server says of itself.
struct site_server_entry {
	char id[SITE_NAME]; ///< new at most starts
	char service[SITE_NAME];
	char addr[SITE_ADDR]; ///< "IP:port"
	char domain[SITE_NAME];
	int64_t started_ms; ///< wall clock of its start, 0 if not said
	int slots; ///< requests that it serves at once
	bool leaving; ///< takes no new work
	bool cheap; ///< may be reclaimed at short notice
	int64_t cold_left_ms; ///< still slow for this long
	struct site_model models[SITE_MODELS];
	int n_models;
};

/// How far a load order is.
enum site_order_state {
	SITE_ORDER_SENT, ///< on its way, or without an answer
	SITE_ORDER_ACCEPTED, ///< the server loads
	SITE_ORDER_FAILED, ///< it surely does not
};

/// Notice of a load order that the leader gave.
struct site_order {
	const char *server; ///< id
	int64_t started_ms; ///< incarnation, as its entry says it
	const char *model;
	uint64_t version;
	int64_t sent_ms; ///< by this node's clock
	enum site_order_state state;
};

/// Load that a server was ordered to do.
struct site_weight_load {
	char model[SITE_NAME];
	uint64_t version; ///< 0: none
	int64_t sent_ms; ///< of the order
	bool accepted;
	int64_t expected_from_ms; ///< not expected to have the version before
};

struct index_group;

/// The index of server_index.h is kept up to date by the functions below: a
/// change of `running`, `avoid_until_ms` or of what site_server_usable() looks
/// at needs server_index_update_load() or server_index_set_usable() after it.
struct site_server {
	htab_handle self;
	struct index_group *group; ///< of its service
	int group_pos; ///< in the group
	htab_handle id_next; ///< in the chain of its id's hash
	struct site_server_entry entry;
	uint64_t rev; ///< store revision of the entry
	uint32_t list_round; ///< list in which it was seen last
	int64_t cold_until_ms;
	int64_t lapsed_ms; ///< entry went during an outage; 0 while it stands
	bool leaving; ///< an answer said so; no entry of this start takes it back
	int running; ///< this node's requests there
	int64_t tokens; ///< expected memory of this node's samples there
	int others; ///< requests of other nodes there, by their reports
	int sent_in_round; ///< requests begun less those ended since a choice in claim_round
	uint32_t claim_round; ///< round of the claims of the last choice
	int failures; ///< in a row
	int rejections; ///< in a row: answers that a request did not run
	struct site_weight_load load;
	int64_t avoid_until_ms; ///< no work before, unless nothing else is left
	struct site_health health; ///< of short calls
	double pace_ms; ///< between two events of its streams, 0 if not known
	int pace_events; ///< that the pace was taken from
	int64_t pace_updated_ms; ///< time of the last of them
	double run_pace_ms; ///< mean pace of its recent runs, 0 if not known
	double cold_credit; ///< requests that may be sent while it is cold
	int64_t cold_credit_ms; ///< time of the credit
};

/// Speeds of a service's servers.
struct site_speeds {
	bool uneven; ///< some are much faster than most
	double fast_ms; ///< pace of the fast ones
	double typical_ms; ///< pace of most
	double fast_share; ///< part of the servers that are fast
};

/// Which servers a request prefers where speeds are uneven.
enum site_speed {
	SITE_ANY_SPEED,
	SITE_FAST_FIRST,
	SITE_SLOW_FIRST, ///< the fast ones are left to others
};

/// Domains that operators took out, and the servers.
struct site_servers;

/// Other nodes that send requests of this kind at the same time: each takes its
/// share of a server's free slots, until reports tell what the others took.
struct site_claims {
	int others; ///< count
	int rank; ///< those of them that may take an odd slot before this node
	uint32_t round; ///< changes with each report
	uint64_t
		min_version; ///< servers with older weights are of no use to them
};

/// What a request needs of a server.
struct site_ask {
	const char *service;
	const char *model; ///< NULL for a plain service
	uint64_t min_version; ///< of the model's weights
	const char *domain; ///< own failure domain, preferred
	const htab_handle * not ; ///< servers that were tried
	int n_not;
	bool only_free; ///< only servers with a slot that this node sees free
	int share; ///< percent of a server's slots that may be busy, 0 for all
	struct site_claims claims; ///< with only_free
	double cold_rate; ///< of the service, 0 for none
	double pace_ms; ///< usual pace of the service, 0 if not known
	int64_t memory_tokens; ///< of an engine, 0: its memory does not bind
	int64_t tokens; ///< expected of the request
	enum site_speed speed;
	struct site_speeds speeds; ///< with a preference
	bool live; ///< short call: servers that did badly lately come last
	const char *away; ///< failure domain that is better avoided, or NULL
};

/// What a short call is to show beside its answer.
enum site_probe {
	SITE_PROBE_SERVER = 1, ///< whether its server is back
	SITE_PROBE_DOMAIN = 2, ///< whether its server's failure domain is back
};

/// @return table, NULL when out of memory
struct site_servers *site_servers_new(void);

/// @param t  table or NULL
void site_servers_free(struct site_servers *t);

/// Take an entry. A server that started again is a new one: handles to the
/// earlier one are stale.
///
/// @param rev  store revision; older ones change nothing
/// @return ERR_OK or ERR_FULL
enum err site_servers_put(struct site_servers *t, uint64_t rev, int64_t now,
			  const struct site_server_entry *e);

/// An entry is gone.
///
/// @param outage  the store was away: the server is kept until
///                site_servers_expire() says that it had time to come back
void site_servers_gone(struct site_servers *t, const char *id, int64_t now,
		       bool outage);

/// All entries are about to be put again: those that are not put before
/// site_servers_end_list() are gone.
void site_servers_begin_list(struct site_servers *t);
void site_servers_end_list(struct site_servers *t, int64_t now, bool outage);

/// Drop servers whose entry lapsed in an outage and did not come back.
///
/// @param store_up_since_ms  since when the store answers, 0 while it is away
void site_servers_expire(struct site_servers *t, int64_t now,
			 int64_t store_up_since_ms);

/// Take a failure domain out, or back in.
void site_servers_domain_out(struct site_servers *t, const char *domain,
			     bool out);

/// Forget all domains that are out; before the full list is read again.
void site_servers_domains_in(struct site_servers *t);

/// @return server, NULL for a stale handle
struct site_server *site_servers_get(const struct site_servers *t,
				     htab_handle h);

/// Server of an id in a message, which no NUL ends.
///
/// @return its handle, 0 if it is not known
htab_handle site_servers_named(const struct site_servers *t, const char *id,
			       size_t len);

/// Walk the servers.
///
/// @param[in,out] iter  start with 0
struct site_server *site_servers_next(const struct site_servers *t,
				      size_t *iter);

/// An answer of a server said that it leaves. This holds for that start of the
/// server, whatever its entry says, and also if the entry goes and comes back.
///
/// Load pattern: answers tell of a leaving before the store does, and at nodes that
/// are cut off from the store nothing else does.
///
/// @param h  handle, may be stale
/// @return id, NULL if nothing is new
const char *site_servers_leave(struct site_servers *t, htab_handle h);

/// Whether a server may get new work at all.
bool site_server_usable(const struct site_servers *t,
			const struct site_server *s);

/// Servers of a service that may get new work at all.
int site_servers_usable(const struct site_servers *t, const char *service);

/// Servers that a request could go to if they had a free place.
int site_servers_fitting(const struct site_servers *t,
			 const struct site_ask *req);

/// Weight version of a model at a server, 0 if it does not have the model.
uint64_t site_server_version(const struct site_server *s, const char *model);

/// Take a notice of a load order; one that is older than what is known of the
/// server changes nothing.
///
/// @return ERR_OK, or ERR_NOT_FOUND: no server of that id and incarnation
enum err site_servers_ordered(struct site_servers *t, int64_t now,
			      const struct site_order *o);

/// Whether a server loads weights and gets no new work: until its entry shows the
/// version, or 1 s after the order.
bool site_server_is_loading(const struct site_server *s, int64_t now);

/// Whether a server has a version of a model's weights or a newer one, by its entry
/// or by an order, and does not load.
bool site_server_has_version(const struct site_server *s, int64_t now,
			     const char *model, uint64_t min_version);

/// Version that a request has to name, since it is sent to a server on the basis
/// of an order and not of the server's entry.
///
/// @return version, 0: the entry alone allows it
uint64_t site_server_expects(const struct site_server *s, int64_t now,
			     const char *model, uint64_t min_version);

/// Choose a server for one request.
///
/// Load pattern: steady load with a few slow or failing servers. The share of
/// busy slots decides; a server that failed just now comes last, so that one
/// bad server costs one attempt instead of many. All servers of a small service
/// are compared; of a large one some, most of them of the own failure domain,
/// which are drawn from those that the index holds for free. A server that fits
/// is found whenever there is one.
///
/// @return server, NULL if none will do
struct site_server *site_servers_choose(struct site_servers *t, int64_t now,
					const struct site_ask *req);

/// A request begins at a server.
void site_server_begin(struct site_server *s, int64_t now);

/// A sample begins or ends there: change what its memory is expected to hold.
///
/// Load pattern: engines with memory for a few long samples. A sample that no longer
/// fits is put back and read in again, and the step waits for it.
///
/// @param tokens  negative at the end
void site_server_reserve(struct site_server *s, int64_t tokens);

/// A request ended there.
///
/// @param ok  false: it showed that the server can't be used at present
void site_server_end(struct site_server *s, int64_t now, bool ok);

/// A server rejected a request without running it, because it is full or loads.
///
/// Load pattern: several nodes send to the same engines. A rejection says nothing
/// against the server, so it is left alone for the time of a place to come free;
/// only ten such times in a row without a success or an event are a failure.
///
/// @param expected  version that the request named and the server does not have,
///                  0 for none
void site_server_rejected(struct site_server *s, int64_t now,
			  uint64_t expected);

/// A request ended there and shows nothing of the server.
void site_server_drop(struct site_server *s);

/// A short call begins at a server.
///
/// @return bits of enum site_probe, for site_server_call_end()
int site_server_call(struct site_servers *t, struct site_server *s,
		     int64_t now);

/// A short call showed something, once a call.
///
/// @param probe  of site_server_call()
/// @return true if the server is left alone from now on
bool site_server_call_end(struct site_servers *t, struct site_server *s,
			  int64_t now, enum site_outcome how, int probe);

/// An event of a stream came some time after the one before.
void site_server_paced(struct site_server *s, int64_t now, double ms);

/// Usual pace of a service's servers: that of the quarter which is fastest ends
/// there, so that it holds when half of the servers turn slow. For a large
/// service it is taken from some of the servers, every 100 ms.
///
/// @return milliseconds, 0 if not known
double site_servers_pace(struct site_servers *t, const char *service,
			 int64_t now);

/// How many times slower than usual a server is.
///
/// Load pattern: a third of the engines slow at once. Streams that run there are
/// worth moving, since reading their prompt and text elsewhere costs little
/// beside the events that are left.
///
/// @param usual_ms  of site_servers_pace()
/// @return 1 where it is not known
double site_server_slowness(const struct site_server *s, int64_t now,
			    double usual_ms);

/// Speeds of a service's servers.
///
/// Load pattern: a quarter of the engines is twice as fast as the others. A step ends
/// with its longest samples, so these belong on the fast ones, and short ones, which
/// have time to spare, on the others.
///
/// @param[out] out  not uneven while too few are known
void site_servers_speeds(struct site_servers *t, const char *service,
			 int64_t now, struct site_speeds *out);

/// A run ended there, or went on elsewhere.
///
/// @param events  that it made there
/// @param ms      from the first of them to the last
void site_server_ran(struct site_server *s, int events, int64_t ms);

/// Whether a server is one of the fast ones.
bool site_server_fast(const struct site_server *s,
		      const struct site_speeds *speeds);

/// Time between two events of a stream that a server is expected to take.
///
/// @return milliseconds, the typical pace where it is not known
double site_server_expected_pace(const struct site_server *s, int64_t now,
				 const struct site_speeds *speeds);
