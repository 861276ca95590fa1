// Index of the servers: by id, and for each service bit sets of its servers
// from which a choice takes candidates without looking at the others.
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "site/server.h"

enum {
	INDEX_WORD_BITS = 64,
	INDEX_WORDS = SITE_SERVERS_MAX / INDEX_WORD_BITS,
	INDEX_BLOCK_WORDS = 8, ///< words
	INDEX_BLOCKS = INDEX_WORDS / INDEX_BLOCK_WORDS,
	INDEX_ID_BUCKETS = 8192, ///< hash chains, a power of 2
	INDEX_QUARTERS = 4,
};

/// Words that vector instructions take at once.
typedef uint64_t index_block __attribute__((
	vector_size(INDEX_BLOCK_WORDS * sizeof(uint64_t)), aligned(8)));

/// Servers of a service, a bit for each place.
union index_set {
	uint64_t bits[INDEX_WORDS];
	index_block blocks[INDEX_BLOCKS];
};

/// Servers that share a failure domain, or a weight version of a model.
struct index_tag {
	char name[SITE_NAME];
	uint32_t hash; ///< of the name
	uint64_t version; ///< 0 for a domain
	int n; ///< servers; 0: the tag is free
	union index_set servers;
};

struct index_member {
	struct site_server *server; ///< while the place is used
};

struct index_group {
	struct index_group *next;
	char service[SITE_NAME];
	uint32_t hash; ///< of the service
	int n; ///< servers
	int words; ///< that may have bits
	int n_usable;
	struct index_member *members;
	int cap; ///< of places
	union index_set used;
	union index_set usable; ///< site_server_usable()
	/// Usable, calm, and below a quarter, half, three quarters, all of the
	/// slots.
	union index_set load_below[INDEX_QUARTERS];
	/// Not avoided. A server that failed gets in again by
	/// index_group_end_avoidance() or with its next success.
	union index_set not_avoided;
	/// Were ordered to load a version: they may have it before their entry says so.
	union index_set ordered;
	int64_t avoidance_end_ms; ///< earliest end of a server's avoidance
	int64_t avoidance_checked_ms; ///< last look for such ends
	struct index_tag *tags;
	int n_tags;
	/// Servers that lack some tag for want of memory: always candidates.
	union index_set untagged;
	bool has_untagged;
	struct site_speeds speeds; ///< kept between two looks at them
	int64_t speeds_updated_ms; ///< time of the last look, 0 for none
	double pace_ms; ///< kept between two looks at all paces
	int64_t pace_updated_ms; ///< time of that look, 0 for none
};

struct server_index {
	htab_handle ids[INDEX_ID_BUCKETS]; ///< heads of the chains
	struct index_group *groups; ///< list
};

void server_index_free(struct server_index *ix);

/// @return server, NULL if there is none
struct site_server *server_index_find(const struct server_index *ix,
				      const struct htab *tab, const char *id);

/// @return group, NULL if the service has no servers
struct index_group *server_index_group(const struct server_index *ix,
				       const char *service);

/// Take a server in, with all that its entry says.
///
/// @return ERR_OK or ERR_NOMEM
enum err server_index_add(struct server_index *ix, struct site_server *s,
			  bool usable);
void server_index_del(struct server_index *ix, const struct htab *tab,
		      struct site_server *s);

/// The server's `running`, slots or avoidance changed.
void server_index_update_load(struct site_server *s);

/// site_server_usable() may have changed for the server.
void server_index_set_usable(struct site_server *s, bool usable);

/// The server was ordered to load a version.
void server_index_mark_ordered(struct site_server *s);

/// Let servers whose avoidance is over in again.
void index_group_end_avoidance(struct index_group *g, int64_t now);

/// Servers with a version of a model.
///
/// @param[out] out  with those whose versions the index could not take
void index_group_model(const struct index_group *g, const char *model,
		       uint64_t min_version, union index_set *out);

/// @return servers of a failure domain, NULL if there are none
const union index_set *index_group_domain(const struct index_group *g,
					  const char *domain);

/* Operations on the first words of sets. */

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
