// A small deployment on loopback: daemons with the settings of the deploy file's
// template, the project's stand-in of the platform, and a proxy between each daemon
// and the platform's store.
#pragma once

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "hosted.h"
#include "nodes.h"
#include "quiet.h"

enum {
	DEP_NODES = 10, ///< eight entry nodes, then one lead node a domain
	DEP_ENTRY_NODES = 8,
	DEP_TENANTS = 8, ///< t1 with the key k1, and so on
	DEP_LINK_PORT = 7980, ///< of the first node's proxy to the store
	/// Exit codes of a case.
	CASE_HELD = 0,
	CASE_BROKEN = 1,
	CASE_NOT_RUN = 2,
};

struct dep {
	struct hosted hosted;
	struct nodes nodes;
	struct quiet *links[DEP_NODES]; ///< of each node to the store
	uint64_t conf_version;
};

/// Whether the case runs with its disruption: TROUBLE=0 is without.
bool dep_trouble(void);

/// Write a line with the time since the start to record.txt.
void dep_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/// Start the platform and the daemons, publish the first configuration and wait until
/// all daemons are ready.
///
/// @return false if the case can't run
bool dep_start(struct dep *s);

/// Start a daemon again that has ended.
bool dep_restart_node(struct dep *s, int i);

void dep_stop(struct dep *s);

/// Publish the next version of the configuration.
///
/// @param extra_routes  JSON array of further routes, NULL for none; released
void dep_publish(struct dep *s, json_t *extra_routes);

/// Submit a batch once.
///
/// @param key   of the tenant
/// @param path  path of the batch, below the prefix of its route
/// @return HTTP status, 0 without an answer
int dep_submit(struct dep *s, int node, const char *key, const char *path,
	       const char *id, int items);

/// Node that the store names as a batch's owner, -1 for none.
int dep_owner(struct dep *s, const char *id);

/// Number of runs that servers began for a batch's items.
int dep_runs(struct dep *s, const char *batch);

/// Write the runs that the platform's servers began to record.txt.
void dep_record_runs(struct dep *s);

void dep_sleep_ms(int ms);
