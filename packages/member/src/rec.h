// What one node tells of itself, and the table of such records.
#pragma once

#include "member/member.h"

enum {
	REC_MAX = 512, ///< nodes of a failure domain
	REC_HEARD = 24, ///< links that one record names
	REC_NONE = -1,
};

/// A record spreads in parts, each with a version of its own, so that a
/// change costs its own bytes only.
enum rec_part {
	PART_LINKS, ///< identity and links; told at once
	PART_VALUES, ///< the node's values; told with the next heartbeat
	PART_REPORTS, ///< summaries of other domains, without contacts
	PART_CONTACTS, ///< contacts in other domains
	REC_PARTS
};

struct rec {
	char id[MEMBER_ID_MAX];
	char addr[MEMBER_ID_MAX];
	uint32_t hash; ///< of the id
	uint64_t inc; ///< incarnation, 0 for a seed that was never heard
	uint32_t seq[REC_PARTS]; ///< versions within the incarnation, from 1
	bool draining;
	bool left;
	int64_t keys[MEMBER_KEYS];
	uint32_t heard[REC_HEARD]; ///< hashes of the nodes that it hears
	int n_heard;
	uint32_t domains[MEMBER_DOMAINS]; ///< hashes of the domains it hears
	int n_domains;
	struct member_domain *reports; ///< owned
	int n_reports;

	/* What this node knows of it by itself. */
	char dial[MEMBER_ID_MAX]; ///< address that is connected to
	bool fixed; ///< dial is from the settings
	bool seed; ///< never forgotten
	bool forward; ///< a path of links leads to it
	bool connected; ///< a connection was asked for
	bool changed[REC_PARTS]; ///< to be told to the neighbours
	uint32_t told_by[REC_PARTS]; ///< neighbours that have it, a bit each
	int at; ///< place among the neighbours, their bit
	bool neighbour; ///< on the ring
	bool hears_us; ///< by its last heartbeat
	int mismatches; ///< heartbeats in a row with another digest
	int64_t heard_ms; ///< last message from it, 0 for never
	int64_t heard_us_ms; ///< last time that it heard us
	int64_t reset_ms; ///< last new connection
	int64_t reply_ms; ///< last message outside the heartbeats
	int64_t alive_ms; ///< last time that it was alive
	int64_t lost_ms; ///< when it ceased to be alive
	enum member_state state;
};

struct rec_table {
	struct rec *recs[REC_MAX];
	int n;
};

/// Hash of an id, as records name it.
uint32_t rec_hash(const char *id);

/// Place of a node by id or hash.
///
/// @return index, REC_NONE if it is unknown
int rec_find(const struct rec_table *t, const char *id);
int rec_find_hash(const struct rec_table *t, uint32_t hash);

/// Add a node that is not there yet.
///
/// @return index, REC_NONE when full
int rec_add(struct rec_table *t, const char *id, int64_t now_ms);

/// Forget a node; the last one takes its place.
void rec_del(struct rec_table *t, int i);

/// Take what a newer part says.
///
/// @param src   record just decoded; may lose its reports
/// @param seq   version of the part
/// @return true if it was newer
bool rec_take(struct rec *dst, struct rec *src, enum rec_part part,
	      uint32_t seq);

/// Report of a domain.
///
/// @return report, NULL if there is none
struct member_domain *rec_report(const struct rec *r, const char *domain);

/// Whether a record says that its node hears a domain.
bool rec_hears_domain(const struct rec *r, const char *domain);

/// Free the parts of a record.
void rec_clear(struct rec *r);

/// Free all records.
void rec_table_clear(struct rec_table *t);
