// Divides a VM's memory among the edges and the batches.
#include "core/memory.h"

#include "core/settings.h"
#include "peer/peer.h"

enum {
	PARTS = 24, ///< of the memory
	HTTP_SMALL_BYTES =
		1024 * 1024, ///< of other bodies beside the largest one
	/// Largest values that fit at least: one submission of that size with its copies.
	BATCH_LEAST_VALUES = 8,
	BATCH_BYTES = 256 * 1024 * 1024, ///< where the memory is not known
	/// Source: a node handles some thousand messages a second, of a few KB each.
	PEER_UNREAD_BYTES = 64 * 1024 * 1024,
};

struct share {
	int parts;
	int64_t limit; ///< bytes
	int64_t least; ///< bytes
};

static struct share share_of(const struct settings *s, enum memory_user user)
{
	switch (user) {
	case MEMORY_HTTP:
		return (struct share){8, settings_int(s, S_HTTP_MAX_HELD),
				      settings_int(s, S_HTTP_MAX_BODY) +
					      HTTP_SMALL_BYTES};
	case MEMORY_UPSTREAM:
		return (struct share){3, settings_int(s, S_UP_MAX_HELD), 0};
	case MEMORY_BATCHES:
		return (struct share){4, BATCH_BYTES,
				      settings_int(s, S_PLATFORM_VALUE_MAX) *
					      BATCH_LEAST_VALUES};
	default:
		return (struct share){3, PEER_UNREAD_BYTES, PEER_MSG_MAX};
	}
}

size_t memory_share(const struct settings *s, enum memory_user user)
{
	struct share share = share_of(s, user);
	int64_t bytes = settings_int(s, S_NODE_MEMORY) / PARTS * share.parts;

	if (!bytes || bytes > share.limit)
		bytes = share.limit;
	return (size_t)(bytes > share.least ? bytes : share.least);
}
