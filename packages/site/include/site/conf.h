// The operators' configuration as it is in force: routes, services, teams, keys.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

enum {
	SITE_NAME = 64, ///< bytes of a name with its NUL
	SITE_ADDR = 64, ///< bytes of "IP:port" with its NUL
	SITE_KEY_HASH = 16, ///< bytes kept of a key
	SITE_TARGETS = 8, ///< services of a route
};

/// What may be done with a request of a route.
enum site_kind {
	SITE_ONCE, ///< may run at most once
	SITE_IDEMPOTENT, ///< may run more than once
	SITE_BATCH, ///< takes batches of generations
};

struct site_target {
	const char *service;
	int weight;
};

struct site_route {
	const char *name;
	const char *host;
	const char *prefix; ///< of the path
	enum site_kind kind;
	bool streaming; ///< answers with a stream of events
	bool open; ///< needs no key
	struct site_target targets[SITE_TARGETS];
	int n_targets;
	int64_t timeout_ms; ///< longest time that a caller is kept, 0 for none
	int64_t target_ms; ///< time within which an answer is on time
	int max_servers; ///< servers that one request may be sent to
	int64_t results_due_ms; ///< of a batch, from its submission
	int64_t give_up_ms; ///< items may be given up this long after submission
	bool one_version; ///< a sample may have one weight version only
};

/// Failure domain in which servers can be ordered.
struct site_sizing_domain {
	const char *name;
	double price; ///< of a server's second, against other domains
};

/// How many servers may be ordered of a service.
struct site_sizing {
	int min; ///< servers of a domain
	int max; ///< servers of a domain, 0: none can be ordered
	int64_t boot_ms; ///< from an order to a server that serves
	struct site_sizing_domain *domains;
	int n_domains;
};

struct site_service {
	const char *name;
	struct site_sizing sizing;
	int64_t cold_ms; ///< a server is cold for this long after its start
	double cold_rate; ///< requests a second that a cold server bears, 0: any
	int64_t memory_tokens; ///< of an engine, 0 for a plain service
};

struct site_key {
	uint8_t hash[SITE_KEY_HASH];
	int team; ///< index into teams
};

struct site_conf {
	struct arena arena; ///< owns all of it
	uint64_t version;
	struct site_route *routes;
	size_t n_routes;
	struct site_service *services;
	size_t n_services;
	const char **teams;
	size_t n_teams;
	struct site_key *keys; ///< sorted by hash after site_conf_seal()
	size_t n_keys;
	bool has_teams; ///< routes need a key unless they are open
};

/// Free a configuration.
///
/// @param conf  configuration or NULL
void site_conf_free(struct site_conf *conf);

/// Hash of a caller's key; the key itself is never kept.
void site_key_hash(const char *key, uint8_t hash[SITE_KEY_HASH]);

/// Sort the keys; call once all are in.
///
/// @return ERR_OK, ERR_INVALID if a key is of no team of the list
enum err site_conf_seal(struct site_conf *conf);

/// Route of a request: longest prefix of the path on that host.
///
/// @return route, NULL if there is none
const struct site_route *site_conf_route(const struct site_conf *conf,
					 const char *host, const char *path);

/// Service for one request of a route, by the weights of its targets.
///
/// @param roll  any number; equal ones give the same service
/// @return name, "" for a route without targets
const char *site_route_service(const struct site_route *r, uint64_t selector);

/// Service by name, NULL if it is not in the configuration.
const struct site_service *site_conf_service(const struct site_conf *conf,
					     const char *name);

/// Team that holds a key.
///
/// @param bearer  key, may be NULL
/// @return team's name, NULL for no or an unknown key
const char *site_conf_team(const struct site_conf *conf, const char *bearer);
