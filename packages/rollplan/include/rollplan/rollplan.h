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
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "site/server.h"

enum {
	ROLLPLAN_MODELS = 16, ///< models of a plan
	ROLLPLAN_PENDING = 64, ///< orders not settled yet
};

struct rollplan_opts {
	int at_once; ///< loads in progress, over all models
	int64_t load_ms; ///< after an order: its load is over, seen or not
	int64_t late_ms; ///< after an order: it counts as lost
};

struct rollplan_model {
	char name[SITE_NAME];
	uint64_t version; ///< that its servers shall have
	double work; ///< of a step, in any unit; 0 if not known
};

struct rollplan_pending {
	htab_handle server;
	char model[SITE_NAME];
	uint64_t version;
	int64_t at_ms;
};

struct rollplan {
	struct rollplan_opts opts;
	struct rollplan_model models[ROLLPLAN_MODELS];
	int n_models;
	struct rollplan_pending pending[ROLLPLAN_PENDING];
	int n_pending;
};

/// An order to give.
struct rollplan_order {
	htab_handle server;
	const char *model; ///< lives as long as the plan
	uint64_t version;
};

void rollplan_init(struct rollplan *p, const struct rollplan_opts *opts);

/// A model shall have a version.
void rollplan_target(struct rollplan *p, const char *model, uint64_t version);

/// What a step of a model takes, against other models. Models whose work is not
/// known count as the mean of the others.
void rollplan_work(struct rollplan *p, const char *model, double work);

/// Servers that a model's work goes to: those with the newest weights of it,
/// then those that no other model counts on, as many as its share.
///
/// @param service  service whose servers are shared
/// @param[out] out  handles
/// @param cap       entries of out
/// @return count
int rollplan_share(const struct rollplan *p, const struct site_servers *t,
		   const char *service, const char *model, htab_handle *out,
		   int cap);

/// Next order that may be given now; it counts as given.
///
/// @return false when there is none
bool rollplan_next(struct rollplan *p, const struct site_servers *t,
		   const char *service, int64_t now,
		   struct rollplan_order *out);

/// An order was refused, or its server could not be reached: give it again
/// later.
void rollplan_failed(struct rollplan *p, htab_handle server, int64_t now);
