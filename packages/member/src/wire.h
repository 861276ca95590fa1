// Messages between nodes, in msgpack.
#pragma once

#include <msgpack.h>

#include "rec.h"

struct wire_beat {
	char domain[MEMBER_ID_MAX]; ///< of the sender
	bool hears_you;
	uint64_t digest; ///< of the versions of the members that it has alive
	struct rec *recs; ///< owned, with their reports
	int n_recs;
};

struct wire_version {
	uint32_t hash;
	uint64_t inc;
	uint32_t seq;
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

/// Append a message to a buffer.
void wire_put_beat(msgpack_sbuffer *buf, const char *domain, bool hears_you,
		   uint64_t digest, const struct rec *const *recs, int n);
void wire_put_versions(msgpack_sbuffer *buf, const char *domain,
		       const struct wire_version *v, int n);
void wire_put_summary(msgpack_sbuffer *buf, bool reply,
		      const struct member_domain *d);

/// Read a message; nothing is left to free on an error.
///
/// @return ERR_OK, ERR_PARSE, ERR_NOMEM
enum err wire_get_beat(const void *buf, size_t len, struct wire_beat *out);
enum err wire_get_versions(const void *buf, size_t len,
			   struct wire_versions *out);
enum err wire_get_summary(const void *buf, size_t len,
			  struct wire_summary *out);

void wire_beat_clear(struct wire_beat *b);
