// Membership types that the daemon's modules use as well.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	MEMBER_ID_MAX = 64, ///< bytes of an id, domain or address with NUL
	MEMBER_CONTACTS = 6, ///< contacts in one other domain
	MEMBER_DOMAINS = 32, ///< other failure domains
};

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
};

/// Small integers that each node publishes. Each change is sent to the whole failure
/// domain: use coarse values, such as a flag instead of an age.
enum member_key {
	MEMBER_CONF_REVISION, ///< revision of the active configuration
	MEMBER_KV_REACHABLE, ///< 1 while the node can reach the KV store
	MEMBER_FREE_CAPACITY, ///< free capacity, in coarse steps
	MEMBER_ENGINE_DEMAND,
	MEMBER_SERVICE_DEMAND,
	MEMBER_KEYS
};

struct member_view {
	char id[MEMBER_ID_MAX];
	char domain[MEMBER_ID_MAX];
	enum member_state state;
	bool draining;
	int64_t last_alive_ms; ///< last time at which it was alive
};

struct member_contact {
	char id[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX]; ///< "IP:port"
};

/// Summary of a failure domain, possibly the node's own.
struct member_domain {
	char name[MEMBER_ID_MAX];
	bool heard; ///< a member of it was heard recently
	int32_t alive; ///< live members
	int32_t draining; ///< live members that are draining
	int64_t min[MEMBER_KEYS]; ///< least value among the live members
	int64_t max[MEMBER_KEYS]; ///< greatest value
	struct member_contact contacts[MEMBER_CONTACTS];
	int n_contacts;
};
