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
	SITE_SERVERS = 4096, ///< most servers known at once
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

struct site_server {
	htab_handle self;
	struct site_server_entry entry;
	uint64_t rev; ///< store revision of the entry
	uint32_t round; ///< list in which it was seen last
	int64_t cold_until_ms;
	int64_t lapsed_ms; ///< entry went during an outage; 0 while it stands
	bool leaving; ///< an answer said so; no entry of this start takes it back
	int running; ///< this node's requests there
	int failures; ///< in a row
	int64_t avoid_until_ms; ///< no work before, unless nothing else is left
	struct site_health health; ///< of short calls
	double pace_ms; ///< between two events of its streams, 0 if not known
	int pace_events; ///< that the pace was taken from
	int64_t paced_ms; ///< time of the last of them
	double cold_credit; ///< requests that may be sent while it is cold
	int64_t cold_credit_ms; ///< time of the credit
};

/// Domains that operators took out, and the servers.
struct site_servers;

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
	double cold_rate; ///< of the service, 0 for none
	double pace_ms; ///< usual pace of the service, 0 if not known
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
/// @param store_back_ms  since when the store answers, 0 while it is away
void site_servers_expire(struct site_servers *t, int64_t now,
			 int64_t store_back_ms);

/// Take a failure domain out, or back in.
void site_servers_domain_out(struct site_servers *t, const char *domain,
			     bool out);

/// Forget all domains that are out; before the full list is read again.
void site_servers_domains_in(struct site_servers *t);

/// @return server, NULL for a stale handle
struct site_server *site_servers_get(const struct site_servers *t,
				     htab_handle h);

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

/// Weight version of a model at a server, 0 if it does not have the model.
uint64_t site_server_version(const struct site_server *s, const char *model);

/// Choose a server for one request.
///
/// Load pattern: steady load with a few slow or failing servers. The share of
/// busy slots decides; a server that failed just now comes last, so that one
/// bad server costs one attempt instead of many.
///
/// @return server, NULL if none will do
struct site_server *site_servers_choose(struct site_servers *t, int64_t now,
					const struct site_ask *ask);

/// A request begins at a server.
void site_server_begin(struct site_server *s, int64_t now);

/// A request ended there.
///
/// @param ok  false: it showed that the server can't be used at present
void site_server_end(struct site_server *s, int64_t now, bool ok);

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
/// there, so that it holds when half of the servers turn slow.
///
/// @return milliseconds, 0 if not known
double site_servers_pace(const struct site_servers *t, const char *service,
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
