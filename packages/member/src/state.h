// Internal state and functions of the membership.
#pragma once

#include "rec.h"
#include "remote.h"
#include "wire.h"

enum {
	SELF = 0, ///< index of this node's own record
};

struct action_node {
	struct action_node *next;
	struct member_action a;
	char data[]; ///< message of MEMBER_SEND
};

struct member {
	struct member_opts opts; ///< strings are copies
	char id[MEMBER_ID_MAX];
	char domain[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX];
	struct rng rng;
	int64_t now_ms;
	int64_t start_ms;
	int64_t next_heartbeat_ms;
	int64_t next_probe_ms; ///< more frequent after the start
	struct rec_table t;
	struct remote remotes[MEMBER_DOMAINS]; ///< other failure domains
	int n_remotes;
	bool dirty; ///< links, records or remotes changed
	bool values_changed; ///< own values, to be sent with the next heartbeat
	int64_t next_report_ms;
	uint64_t digest;
	uint64_t gen;
	struct member_view *views;
	size_t n_views;
	size_t views_cap;
	struct member_domain domains[MEMBER_DOMAINS + 1];
	size_t n_domains;
	struct action_node *head, **tail;
	struct action_node *last_action; ///< freed on the next call
};

// actions.c

void action_connect(struct member *m, const char *node, const char *addr);
void action_reset(struct member *m, const char *node, const char *addr);
void action_disconnect(struct member *m, const char *node);
void action_send(struct member *m, const char *node, enum member_msg type,
		 const void *buf, size_t len);

// heartbeat.c

/// Increment the version of a part of the own record, to be sent.
void own_part_changed(struct member *m, enum rec_part part);

/// List the parts of the own record.
///
/// @param[out] out  REC_PARTS items
/// @return count
int own_items(const struct member *m, struct wire_item *out);

/// Request a connection if there is none.
void ensure_connection(struct member *m, struct rec *r);

/// Send a heartbeat that carries parts of records.
void heartbeat_send(struct member *m, struct rec *to,
		    const struct wire_item *items, int n);

/// Send changes to the neighbours: all with a heartbeat, only links otherwise.
void heartbeat_neighbours(struct member *m, bool heartbeat);

/// Send heartbeats to a few nodes that are not alive.
void heartbeat_probe(struct member *m, int count);

// receive.c

/// Rate limit of replies to a node between heartbeats.
bool reply_allowed(struct member *m, struct rec *r);

enum err heartbeat_receive(struct member *m, const char *from, const void *buf,
			   size_t len);

// versions.c

/// Send the versions of the live members' records.
void versions_send(struct member *m, struct rec *to);

enum err versions_receive(struct member *m, const char *from, const void *buf,
			  size_t len);

// reach.c

/// Update the own links from recent messages.
///
/// @return true if they changed
bool reach_update_links(struct member *m);

/// Recompute who is alive, then ring, digest and views.
void reach_update(struct member *m);

/// Declare suspects dead after suspect_ms; remove the dead after forget_ms.
void reach_expire(struct member *m);

/// Whether a node of the own domain was heard within silence_ms.
bool reach_heard(const struct member *m, const struct rec *r);

// ring.c

/// Choose this node's neighbours among the live members.
void ring_update(struct member *m);

// summary.c

/// Summary of the own domain for another one; no contacts if `to` is NULL.
void summary_own(const struct member *m, const char *to,
		 struct member_domain *out);

/// Query the domains that this node watches.
void summary_query(struct member *m);

/// Update the own reports from the latest summaries; changes are sent.
void summary_update_reports(struct member *m);

/// Hashes of the domains that this node watches and hears.
///
/// @return count
int summary_heard_domains(const struct member *m, uint32_t *out);

/// Detect domains no longer heard; remove them after forget_ms.
void summary_expire(struct member *m);

/// Whether any node of a domain was heard within silence_ms.
bool summary_heard(const struct member *m, const struct remote *r);

enum err summary_receive(struct member *m, const char *from, const void *buf,
			 size_t len);

// view.c

/// Rebuild the views and domains.
void view_update(struct member *m);
