// Schedules weight loads when several models share the servers of a service:
// decides which server loads which version of which model next. Does no I/O.
//
// Load pattern: every trainer publishes a weight version every few seconds, and a
// load keeps a server from new work for about a second. Each model is therefore
// assigned a share of the servers, and only those load its weights, a few at a
// time. Servers too old for a new step come first, starting with the model that
// has the fewest usable servers.
//
// Steps of some models are twice the work of others. With equal shares their
// trainers fall behind while servers of other models idle, so shares are
// proportional to work.
//
// A server that is one version behind can still serve the newest step, so loading
// it costs more than it gains while samples wait. If a model's demand is known,
// such servers are loaded when no sample waits, and otherwise only until half of
// the model's servers will remain usable when the next version is published.
#pragma once

#include "base/err.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rollplan/load_limit.h"
#include "site/server.h"

enum {
	ROLLPLAN_MODELS_MAX = 128, ///< models in a plan
	ROLLPLAN_PENDING_MAX = 64, ///< outstanding orders
};

struct rollplan_opts {
	int max_loads; ///< concurrent loads over all models, until loads show another limit
	int64_t load_max_ms; ///< assumed duration of a load until one was seen
	int64_t order_timeout_ms; ///< timeout after which an order counts as lost
	int64_t due_ms; ///< allowed for a step from its submission, 0 if not known
};

/// Demand of a model for servers, summed over all nodes.
struct rollplan_demand {
	int waiting; ///< samples waiting for a server
	int running; ///< samples at servers
	int64_t overdue_ms; ///< of the open step that is most overdue, or 0
	int64_t as_of_ms; ///< time at which this was true
};

struct rollplan_model {
	char name[SITE_NAME_SIZE];
	uint64_t version; ///< target of its servers
	double work; ///< per step, in any unit; 0 if not known
	struct rollplan_demand demand;
	bool demand_known;
	uint64_t noted_version; ///< version that published_ms belongs to
	int64_t published_ms; ///< when the plan first saw noted_version
	int64_t publish_gap_ms; ///< since the previous version, 0 if not known
};

/// An outstanding order.
struct rollplan_pending {
	htab_handle server;
	char model[SITE_NAME_SIZE];
	uint64_t version;
	int64_t sent_ms;
	bool failed; ///< refused or undelivered; kept until its retry
	bool busy; ///< the server is carrying out another order
	bool accepted; ///< the server began with it when it was sent
	bool end_visible; ///< the server has requests, whose responses show the end
	int concurrent; ///< most loads in progress at once, itself included
};

struct rollplan {
	struct rollplan_opts opts;
	struct rollplan_model models[ROLLPLAN_MODELS_MAX];
	int n_models;
	struct rollplan_pending pending[ROLLPLAN_PENDING_MAX];
	int n_pending;
	int64_t now_ms; ///< time of the last rollplan_next_order()
	struct load_limit limit;
};

/// Reason for a load, least urgent first.
enum rollplan_reason {
	ROLLPLAN_NONE, ///< no load
	ROLLPLAN_IDLE, ///< one version behind, no sample waits
	ROLLPLAN_RESERVE, ///< one behind, kept usable for the next version
	ROLLPLAN_BEHIND, ///< one behind, demand not known
	ROLLPLAN_STALE, ///< too old for any new step
};

/// Order for a server to load weights.
struct rollplan_order {
	htab_handle server;
	const char *model; ///< owned by the plan
	uint64_t version;
	enum rollplan_reason reason;
};

/// Number of servers assigned to a model, by state.
struct rollplan_count {
	int owned; ///< all of them
	int usable; ///< at most one version behind, loading ones included
	int current; ///< at the target version, or ordered to load it
	int loading; ///< usable ones with a load in progress
};

void rollplan_init(struct rollplan *p, const struct rollplan_opts *opts);

/// Set the target version of a model.
///
/// @return ERR_OK, ERR_FULL for a new model when the plan is full
enum err rollplan_set_target(struct rollplan *p, const char *model,
			     uint64_t version);

/// Set the work per step of a model, relative to other models. If not known, it
/// counts as the mean of the others.
void rollplan_set_work(struct rollplan *p, const char *model, double work);

/// Set the demand of a model, unless it is outdated. Without a demand of the last
/// 1.5 s, every server that is behind is loaded.
void rollplan_set_demand(struct rollplan *p, const char *model,
			 const struct rollplan_demand *demand);

/// Servers assigned to a model, as many as its share: first those with its newest
/// weights, then unassigned ones.
///
/// @param service   service whose servers are shared
/// @param[out] out  handles
/// @param cap       capacity of out
/// @return number of handles
int rollplan_model_servers(const struct rollplan *p,
			   const struct site_servers *t, const char *service,
			   const char *model, htab_handle *out, int cap);

/// Choose the next order that may be sent now, and record it as sent.
///
/// @return false if there is none
bool rollplan_next_order(struct rollplan *p, const struct site_servers *t,
			 const char *service, int64_t now,
			 struct rollplan_order *out);

/// Count the servers of a model; all 0 if it is unknown.
struct rollplan_count rollplan_count(const struct rollplan *p,
				     const struct site_servers *t,
				     const char *service, const char *model,
				     int64_t now);

/// @return name for logs
const char *rollplan_reason_name(enum rollplan_reason reason);

/// Record that an order was refused or its server unreachable: retry after 300 ms.
void rollplan_order_failed(struct rollplan *p, htab_handle server, int64_t now);

/// Record that a server carries out an order: its duration will be known.
void rollplan_order_accepted(struct rollplan *p, htab_handle server);

/// Record that a server may be loading other weights: it is carrying out an earlier
/// order, or its answer was lost. It counts as a load for the usual duration, and gets
/// another order only then.
/// Load pattern: loads slow down, and the orders of the next version meet servers that
/// are not done with the last one. Repeating these orders at once would hold back those
/// to servers that are free.
void rollplan_order_busy(struct rollplan *p, htab_handle server, int64_t now);

/// Record that a server was seen to have a version.
///
/// @param ended_now  its load has just ended, so that the duration is known; else it may
///                   have ended long ago, as after an idle time
void rollplan_load_ended(struct rollplan *p, htab_handle server,
			 const char *model, uint64_t version, bool ended_now,
			 int64_t now);
