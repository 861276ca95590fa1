// The operators' configuration in force: routes, services, teams and keys.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

enum {
	SITE_NAME_SIZE = 64, ///< bytes of a name, including the NUL
	SITE_ADDR_SIZE = 64, ///< bytes of "IP:port", including the NUL
	SITE_KEY_HASH_SIZE = 16, ///< bytes of a key's hash
};

/// How often a request of a route may be run.
enum site_route_kind {
	SITE_AT_MOST_ONCE, ///< at most once
	SITE_IDEMPOTENT, ///< may be retried
	SITE_BATCH, ///< batches of generations
};

struct site_route_target {
	const char *service;
	int weight;
};

struct site_route {
	const char *name;
	const char *host;
	const char *prefix; ///< path prefix
	enum site_route_kind kind;
	bool streaming; ///< responses are event streams
	bool open; ///< needs no key
	struct site_route_target *targets;
	int n_targets;
	/// Longest time that a caller waits, 0 for no limit.
	int64_t timeout_ms;
	int64_t target_ms; ///< target latency: later responses count as late
	int max_servers; ///< most servers that one request may be sent to
	int64_t results_due_ms; ///< deadline of a batch, from its submission
	/// Items may be abandoned this long after submission.
	int64_t give_up_ms;
	bool one_version; ///< all of a sample must come from one weight version
};

/// Failure domain in which servers can be ordered.
struct site_sizing_domain {
	const char *name;
	/// Relative price of a server-second, compared between domains.
	double price;
};

/// Limits on the number of servers ordered for a service.
struct site_sizing {
	int min; ///< servers per domain
	int max; ///< servers per domain, 0: none can be ordered
	int64_t boot_ms; ///< from an order until the server takes requests
	struct site_sizing_domain *domains;
	int n_domains;
};

struct site_service {
	const char *name;
	struct site_sizing sizing;
	int64_t cold_ms; ///< a server is cold for this long after its start
	/// Requests/s that a cold server can take, 0: no limit.
	double cold_rate;
	int64_t memory_tokens; ///< memory of an engine, 0 for a plain service
};

struct site_key {
	uint8_t hash[SITE_KEY_HASH_SIZE];
	int team; ///< index into teams
};

struct site_conf {
	struct arena arena; ///< owns all memory of the configuration
	uint64_t version;
	struct site_route *routes;
	size_t n_routes;
	struct site_service *services;
	size_t n_services;
	const char **teams;
	size_t n_teams;
	struct site_key *keys; ///< sorted by hash after site_conf_sort_keys()
	size_t n_keys;
	bool has_teams; ///< routes need a key unless they are open
};

/// Free a configuration.
///
/// @param conf  configuration or NULL
void site_conf_free(struct site_conf *conf);

/// Hash a caller's key; the key itself is never stored.
void site_key_hash(const char *key, uint8_t hash[SITE_KEY_HASH_SIZE]);

/// Sort the keys for lookup; call when all keys are in the list.
///
/// @return ERR_OK, ERR_INVALID if the team index of a key is out of range
enum err site_conf_sort_keys(struct site_conf *conf);

/// Find the route of a request: the longest matching path prefix of the host.
///
/// @return route, NULL if there is none
const struct site_route *site_conf_route(const struct site_conf *conf,
					 const char *host, const char *path);

/// Pick the service for one request of a route, by the weights of its targets.
///
/// @param roll  any number; equal numbers give the same service
/// @return name, "" for a route without targets
const char *site_route_service(const struct site_route *r, uint64_t selector);

/// Find a service by name, NULL if it is not configured.
const struct site_service *site_conf_service(const struct site_conf *conf,
					     const char *name);

/// Find the team of a key.
///
/// @param bearer  key, may be NULL
/// @return team's name, NULL if the key is missing or unknown
const char *site_conf_team_of_key(const struct site_conf *conf,
				  const char *bearer);
