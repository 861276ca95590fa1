// Messages of the membership protocol, in msgpack.
#pragma once

#include <msgpack.h>

#include "rec.h"

/// One part of a record. A decoded record holds only this part.
struct wire_item {
	enum rec_part part;
	uint32_t seq;
	struct rec *rec; ///< owned if decoded
};

struct wire_heartbeat {
	char domain[MEMBER_ID_MAX]; ///< of the sender
	bool hears_you;
	uint64_t digest; ///< of the versions of the sender's live members
	struct wire_item *items; ///< owned
	int n_items;
};

struct wire_version {
	uint32_t hash;
	uint64_t inc;
	uint32_t seq[REC_PARTS];
};

struct wire_versions {
	char domain[MEMBER_ID_MAX];
	struct wire_version *v; ///< owned
	int n;
};

struct wire_summary {
	bool reply;
	struct member_domain d; ///< of the sender
};

/// Append an encoded message to a buffer.
void wire_put_heartbeat(msgpack_sbuffer *buf, const char *domain,
			bool hears_you, uint64_t digest,
			const struct wire_item *items, int n);
void wire_put_versions(msgpack_sbuffer *buf, const char *domain,
		       const struct wire_version *v, int n);
void wire_put_summary(msgpack_sbuffer *buf, bool reply,
		      const struct member_domain *d);

/// Decode a message; on an error, nothing is left to free.
///
/// @return ERR_OK, ERR_PARSE (also without memory)
enum err wire_get_heartbeat(const void *buf, size_t len,
			    struct wire_heartbeat *out);
enum err wire_get_versions(const void *buf, size_t len,
			   struct wire_versions *out);
enum err wire_get_summary(const void *buf, size_t len,
			  struct wire_summary *out);

void wire_heartbeat_clear(struct wire_heartbeat *b);
