// Plan of weight loads when several models share the servers of a service:
// which server is ordered to load which version of which model next. Pure.
//
// Load pattern: every trainer names a version every few seconds, and a load
// keeps a server from new work for about a second. Each model therefore has its
// share of the servers, and only those are ordered, a few at a time: first those
// that can't serve a step any more, of the model that has the fewest that can.
//
// Steps of some models are twice the work of others. With equal shares their
// trainers fall behind while other models' servers idle: shares go by the work.
//
// A server that is one version behind still serves the newest step, so loading it
// costs more than it brings while samples wait. Where the plan is told what a model
// needs, such servers are loaded when nothing waits, and otherwise only as many as
// must have the named version for half of them to stay usable at the next one.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "site/server.h"

enum {
	ROLLPLAN_MODELS_MAX = 16, ///< models of a plan
	ROLLPLAN_PENDING_MAX = 64, ///< orders not settled yet
};

struct rollplan_opts {
	int at_once; ///< loads in progress, over all models
	int64_t load_ms; ///< after an order: its load is over, seen or not
	int64_t late_ms; ///< after an order: it counts as lost
	int64_t due_ms; ///< of a step, from its submission; 0 if not known
};

/// What the samples of a model need, over all nodes.
struct rollplan_demand {
	int waiting; ///< samples that wait for a server
	int running; ///< samples at servers
	int64_t overdue_ms; ///< of the oldest open step, past its due time
	int64_t as_of_ms; ///< when this was so
};

struct rollplan_model {
	char name[SITE_NAME];
	uint64_t version; ///< that its servers shall have
	double work; ///< of a step, in any unit; 0 if not known
	struct rollplan_demand demand;
	bool demand_known; ///< a need was told
	uint64_t noted_version; ///< version whose naming is noted
	int64_t published_ms; ///< when the plan first saw it
	int64_t publish_gap_ms; ///< from the version before, 0 if not known
};

struct rollplan_pending {
	htab_handle server;
	char model[SITE_NAME];
	uint64_t version;
	int64_t sent_ms;
	bool failed; ///< refused: kept until it may be given again
};

struct rollplan {
	struct rollplan_opts opts;
	struct rollplan_model models[ROLLPLAN_MODELS_MAX];
	int n_models;
	struct rollplan_pending pending[ROLLPLAN_PENDING_MAX];
	int n_pending;
	int64_t now_ms; ///< of the last rollplan_next()
};

/// Why a server is loaded, least urgent first.
enum rollplan_reason {
	ROLLPLAN_NONE, ///< it is not
	ROLLPLAN_IDLE, ///< one version behind, and no sample waits
	ROLLPLAN_RESERVE, ///< one behind, to stay usable at the next version
	ROLLPLAN_BEHIND, ///< one behind; what the model needs is not known
	ROLLPLAN_STALE, ///< no new step may use it
};

/// An order to give.
struct rollplan_order {
	htab_handle server;
	const char *model; ///< lives as long as the plan
	uint64_t version;
	enum rollplan_reason reason;
};

/// Servers of a model, as the plan sees them.
struct rollplan_count {
	int owned; ///< its share
	int usable; ///< a version behind at most, loading ones included
	int current; ///< that have the named version, or were ordered to load it
	int loading; ///< usable ones whose load is in progress
};

void rollplan_init(struct rollplan *p, const struct rollplan_opts *opts);

/// A model shall have a version.
void rollplan_target(struct rollplan *p, const char *model, uint64_t version);

/// What a step of a model takes, against other models. Models whose work is not
/// known count as the mean of the others.
void rollplan_set_work(struct rollplan *p, const char *model, double work);

/// What a model's samples need. Without a need of the last 1.5 s, every server
/// that is behind is loaded.
void rollplan_set_demand(struct rollplan *p, const char *model,
			 const struct rollplan_demand *demand);

/// Servers that a model's work goes to: those with the newest weights of it,
/// then those that no other model counts on, as many as its share.
///
/// @param service  service whose servers are shared
/// @param[out] out  handles
/// @param cap       entries of out
/// @return count
int rollplan_model_servers(const struct rollplan *p,
			   const struct site_servers *t, const char *service,
			   const char *model, htab_handle *out, int cap);

/// Next order that may be given now; it counts as given.
///
/// @return false when there is none
bool rollplan_next(struct rollplan *p, const struct site_servers *t,
		   const char *service, int64_t now,
		   struct rollplan_order *out);

/// Servers of a model.
struct rollplan_count rollplan_count(const struct rollplan *p,
				     const struct site_servers *t,
				     const char *service, const char *model,
				     int64_t now);

/// @return name for logs
const char *rollplan_reason_name(enum rollplan_reason reason);

/// An order was refused, or its server could not be reached: give it again
/// later.
void rollplan_order_failed(struct rollplan *p, htab_handle server, int64_t now);
