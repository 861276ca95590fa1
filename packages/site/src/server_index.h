// Index of the servers: by id, and bit sets per service, from which a choice takes its
// candidates without scanning all servers.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "site/server.h"

enum {
	INDEX_WORD_BITS = 64,
	INDEX_WORDS = SITE_SERVERS_MAX / INDEX_WORD_BITS,
	INDEX_BLOCK_WORDS = 8, ///< words per vector operation
	INDEX_BLOCKS = INDEX_WORDS / INDEX_BLOCK_WORDS,
	INDEX_ID_BUCKETS = 8192, ///< buckets, a power of 2
	INDEX_QUARTERS = 4,
};

typedef uint64_t index_block __attribute__((
	vector_size(INDEX_BLOCK_WORDS * sizeof(uint64_t)), aligned(8)));

/// Set of servers of a service, a bit per position in the group.
union index_set {
	uint64_t bits[INDEX_WORDS];
	index_block blocks[INDEX_BLOCKS];
};

/// Servers in a failure domain, or with a weight version of a model.
struct index_tag {
	char name[SITE_NAME_SIZE];
	uint32_t hash; ///< of the name
	uint64_t version; ///< weight version, 0 for a domain
	int n; ///< servers in the set; 0: the tag is free
	union index_set servers;
};

struct index_member {
	struct site_server *server; ///< valid if the position is used
};

/// Servers of a service.
struct index_group {
	struct index_group *next;
	char service[SITE_NAME_SIZE];
	uint32_t hash; ///< of the service
	int n; ///< servers
	int words; ///< words of the sets in use
	int n_usable;
	struct index_member *members;
	int cap; ///< allocated members
	union index_set used;
	union index_set usable; ///< site_server_usable()
	/// Usable, not avoided, and this node's requests take less than a quarter, half,
	/// three quarters, all of the slots.
	union index_set load_below[INDEX_QUARTERS];
	/// Not avoided. index_group_end_avoidance() or the
	/// next success adds a server again.
	union index_set not_avoided;
	/// Ordered to load a version: may have it before the entry shows it.
	union index_set ordered;
	int64_t avoidance_end_ms; ///< earliest avoid_until_ms of its servers
	int64_t avoidance_checked_ms;
	struct index_tag *tags;
	int n_tags;
	/// Servers for which a tag could not be added: always candidates.
	union index_set untagged;
	bool has_untagged;
	struct site_speeds speeds; ///< cached
	int64_t speeds_updated_ms; ///< time of `speeds`, 0 for none
	double pace_ms; ///< cached usual pace
	int64_t pace_updated_ms; ///< time of `pace_ms`, 0 for none
};

struct server_index {
	htab_handle ids[INDEX_ID_BUCKETS]; ///< buckets
	struct index_group *groups; ///< linked list
};

void server_index_free(struct server_index *ix);

/// @return server, NULL if there is none
struct site_server *server_index_find(const struct server_index *ix,
				      const struct htab *tab, const char *id);

/// @return group, NULL if the service has no servers
struct index_group *server_index_group(const struct server_index *ix,
				       const char *service);

/// Add a server with the tags of its entry.
///
/// @return ERR_OK or ERR_NOMEM
enum err server_index_add(struct server_index *ix, struct site_server *s,
			  bool usable);
void server_index_del(struct server_index *ix, const struct htab *tab,
		      struct site_server *s);

/// Update after a change of `running`, slots or avoidance.
void server_index_update_load(struct site_server *s);

/// Update with the current result of site_server_usable().
void server_index_set_usable(struct site_server *s, bool usable);

/// Record that the server was ordered to load a version.
void server_index_mark_ordered(struct site_server *s);

/// Add servers whose avoidance has ended to the sets again.
void index_group_end_avoidance(struct index_group *g, int64_t now);

/// Servers with at least a version of a model.
///
/// @param[out] out  includes the untagged servers
void index_group_model(const struct index_group *g, const char *model,
		       uint64_t min_version, union index_set *out);

/// @return servers in a failure domain, NULL if there are none
const union index_set *index_group_domain(const struct index_group *g,
					  const char *domain);

/* Operations on the first words of sets, in whole blocks. */

static inline void index_set_and(union index_set *set,
				 const union index_set *other, int words)
{
	for (int i = 0; i * INDEX_BLOCK_WORDS < words; i++)
		set->blocks[i] &= other->blocks[i];
}

static inline void index_set_or(union index_set *set,
				const union index_set *other, int words)
{
	for (int i = 0; i * INDEX_BLOCK_WORDS < words; i++)
		set->blocks[i] |= other->blocks[i];
}
