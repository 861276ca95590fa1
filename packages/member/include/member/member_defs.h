// Types of membership that modules of the daemon see as well.
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	MEMBER_ID_MAX = 64, ///< bytes of an id, domain or address with NUL
	MEMBER_CONTACTS = 6, ///< members of another domain that are known
	MEMBER_DOMAINS = 32, ///< failure domains
};

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
};

/// Small integers that each node tells of itself. Each change is sent to the
/// whole failure domain: set coarse values, such as a flag instead of an age.
enum member_key {
	MEMBER_CONF_REV, ///< revision of the configuration in force
	MEMBER_KV_FRESH, ///< 1 while the node has contact with the KV
	MEMBER_FREE, ///< free capacity, in steps
	MEMBER_USER_1,
	MEMBER_USER_2,
	MEMBER_KEYS
};

struct member_view {
	char id[MEMBER_ID_MAX];
	char domain[MEMBER_ID_MAX];
	enum member_state state;
	bool draining;
	int64_t last_heard_ms; ///< last time that it was alive
};

struct member_contact {
	char id[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX]; ///< "IP:port"
};

/// What is known of a failure domain, the node's own included.
struct member_domain {
	char name[MEMBER_ID_MAX];
	bool heard; ///< a member of it was heard lately
	int32_t alive; ///< members alive
	int32_t draining; ///< of them, draining
	int64_t min[MEMBER_KEYS]; ///< least value among its alive members
	int64_t max[MEMBER_KEYS]; ///< greatest value
	struct member_contact contacts[MEMBER_CONTACTS];
	int n_contacts;
};
