// Inside of a membership.
#pragma once

#include "rec.h"
#include "remote.h"
#include "wire.h"

enum {
	SELF = 0, ///< place of this node's own record
};

struct action_node {
	struct action_node *next;
	struct member_action a;
	char data[]; ///< body of a message
};

struct member {
	struct member_opts opts; ///< strings are copies
	char id[MEMBER_ID_MAX];
	char domain[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX];
	struct rng rng;
	int64_t now_ms;
	int64_t start_ms;
	int64_t beat_ms; ///< next heartbeat
	int64_t probe_ms; ///< next look for nodes, more often after the start
	struct rec_table t;
	struct remote remotes[MEMBER_DOMAINS]; ///< other failure domains
	int n_remotes;
	bool dirty; ///< links, records or remotes changed
	bool keys_changed; ///< own values, told with the next heartbeat
	int64_t report_ms; ///< next look at the own reports
	uint64_t digest;
	uint64_t gen;
	struct member_view *views;
	size_t n_views;
	size_t views_cap;
	struct member_domain domains[MEMBER_DOMAINS + 1];
	size_t n_domains;
	struct action_node *head, **tail;
	struct action_node *taken; ///< handed out last
};

// actions.c

void act_connect(struct member *m, const char *node, const char *addr);
void act_reset(struct member *m, const char *node, const char *addr);
void act_disconnect(struct member *m, const char *node);
void act_send(struct member *m, const char *node, enum member_msg type,
	      const void *buf, size_t len);

// beat.c

/// A part of the own record changed: a new version, to be told.
void own_changed(struct member *m, enum rec_part part);

/// Parts of the own record.
///
/// @param[out] out  REC_PARTS items
/// @return count
int own_items(const struct member *m, struct wire_item *out);

/// Ask for a connection if there is none.
void need_connection(struct member *m, struct rec *r);

/// Send a heartbeat with parts of records.
void beat_send(struct member *m, struct rec *to, const struct wire_item *items,
	       int n);

/// Tell the neighbours what changed: all of it with a heartbeat, links alone
/// at any time.
void beat_neighbours(struct member *m, bool beat);

/// Look for a few nodes that are not alive.
void beat_probe(struct member *m, int count);

// take.c

/// Whether a node may be answered again already.
bool may_reply(struct member *m, struct rec *r);

enum err beat_take(struct member *m, const char *from, const void *buf,
		   size_t len);
// versions.c

/// Send the versions of all records.
void versions_send(struct member *m, struct rec *to);

enum err versions_take(struct member *m, const char *from, const void *buf,
		       size_t len);

// reach.c

/// Own links from what was heard lately.
///
/// @return true if they changed
bool reach_own_links(struct member *m);

/// Recompute who is alive, and what follows from it.
void reach_update(struct member *m);

/// Let suspected members die and dead ones be forgotten.
void reach_expire(struct member *m);

/// Whether a node of the own domain was heard lately.
bool reach_heard(const struct member *m, const struct rec *r);

// ring.c

/// Choose this node's neighbours among the members alive.
void ring_update(struct member *m);

// summary.c

/// Summary of the own domain for another one.
void summary_own(const struct member *m, const char *to,
		 struct member_domain *out);

/// Query the domains that this node watches.
void summary_beat(struct member *m);

/// Own reports from what was heard lately, told when they changed.
void summary_reports(struct member *m);

/// Hashes of the domains that this node watches and hears.
///
/// @return count
int summary_heard_domains(const struct member *m, uint32_t *out);

/// Note domains that were heard and are not any more.
void summary_lapse(struct member *m);

/// Whether any node of the domain was heard lately.
bool summary_heard(const struct member *m, const struct remote *r);

enum err summary_take(struct member *m, const char *from, const void *buf,
		      size_t len);

// view.c

/// Rebuild the views and domains.
void view_update(struct member *m);
