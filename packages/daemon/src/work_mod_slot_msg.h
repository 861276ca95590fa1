// Peer messages that request and grant slots, many servers in each.
#pragma once

#include "work_mod_msg.h"

enum {
	SLOT_MSG_SERVERS_MAX = 128, ///< servers in one message
};

struct slot_ask_item {
	uint64_t server; ///< hash of its id
	struct slot_request ask;
};

/// PEER_SLOT_ASK.
struct slot_asks {
	uint64_t node; ///< hash of the node's incarnation
	size_t n;
	struct slot_ask_item items[SLOT_MSG_SERVERS_MAX];
};

struct slot_permit_item {
	uint64_t server; ///< hash of its id
	struct slot_permit permit;
	struct work_load load;
};

/// PEER_SLOT_PERMIT: grants and load reports.
struct slot_permits {
	size_t n;
	struct slot_permit_item items[SLOT_MSG_SERVERS_MAX];
};

/// Buffer a slot request; slot_asks_flush() sends them by coordinator.
void slot_asks_add(struct core *c, const char *coordinator, uint64_t server,
		   const struct slot_request *ask);
void slot_asks_flush(struct core *c);
bool slot_asks_read(const void *buf, size_t len, struct slot_asks *m);

void slot_permits_send(struct core *c, const struct core_peer_run *to,
		       const struct slot_permits *m);
bool slot_permits_read(struct core *c, const void *buf, size_t len,
		       struct slot_permits *m);
