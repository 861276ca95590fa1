// The record that a node publishes, and the table of records.
#pragma once

#include "member/member.h"

enum {
	REC_MAX = 512, ///< nodes of a failure domain
	REC_HEARD = 24, ///< heard nodes that one record lists
	REC_NONE = -1,
};

/// Parts of a record, versioned and sent separately: a change costs only its part.
enum rec_part {
	PART_LINKS, ///< identity and links; sent at once
	PART_VALUES, ///< the node's values; sent with the next heartbeat
	PART_REPORTS, ///< summaries of other domains, without contacts
	PART_CONTACTS, ///< contacts in other domains
	REC_PARTS
};

struct rec {
	char id[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX];
	uint32_t hash; ///< of the id
	uint64_t inc; ///< incarnation, 0 if no record was received yet
	uint32_t seq[REC_PARTS]; ///< versions within the incarnation, from 1
	bool draining;
	bool left;
	int64_t keys[MEMBER_KEYS];
	uint32_t heard[REC_HEARD]; ///< hashes of the nodes it hears
	int n_heard;
	uint32_t domains[MEMBER_DOMAINS]; ///< hashes of the domains it hears
	int n_domains;
	struct member_domain *reports; ///< owned
	int n_reports;

	/* Local state, not sent. */
	char dial_addr[MEMBER_ID_MAX]; ///< to connect to; "" if unknown
	bool addr_fixed; ///< dial_addr is from the settings
	bool seed; ///< never removed
	bool reachable; ///< a path of links leads to it
	bool connected; ///< a connection was requested
	bool changed[REC_PARTS]; ///< to be sent to the neighbours
	uint32_t known_to[REC_PARTS]; ///< bit mask of neighbours that have it
	int neighbour_bit; ///< index among the neighbours, their bit
	bool neighbour; ///< on the ring
	bool hears_us; ///< according to its last heartbeat
	int mismatches; ///< consecutive heartbeats with another digest
	int64_t heard_ms; ///< last message from it, 0 for never
	int64_t heard_us_ms; ///< last time that it heard this node
	int64_t reset_ms; ///< last new connection
	int64_t last_reply_ms; ///< last reply to it between heartbeats
	int64_t alive_ms; ///< last time at which it was alive
	int64_t lost_ms; ///< when it stopped being alive
	enum member_state state;
};

struct rec_table {
	struct rec *recs[REC_MAX];
	int n;
};

/// Hash by which records refer to an id.
uint32_t rec_hash(const char *id);

/// Find a node by id or hash.
///
/// @return index, REC_NONE if unknown
int rec_find(const struct rec_table *t, const char *id);
int rec_find_hash(const struct rec_table *t, uint32_t hash);

/// Add a node that is not in the table.
///
/// @return index, REC_NONE if full, out of memory or the hash is in use
int rec_add(struct rec_table *t, const char *id, int64_t now_ms);

/// Remove a node; the last one moves to its index.
void rec_del(struct rec_table *t, int i);

/// Apply a received part if it is newer.
///
/// @param src   decoded record; may lose its reports
/// @param seq   version of the part
/// @return true if it was newer
bool rec_merge(struct rec *dst, struct rec *src, enum rec_part part,
	       uint32_t seq);

/// Find the record's report of a domain.
///
/// @return report, NULL if there is none
struct member_domain *rec_report(const struct rec *r, const char *domain);

/// Whether a record says that its node hears a domain.
bool rec_hears_domain(const struct rec *r, const char *domain);

/// Free the reports of a record.
void rec_clear(struct rec *r);

/// Free all records.
void rec_table_clear(struct rec_table *t);
