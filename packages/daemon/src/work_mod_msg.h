// Packs and validates peer messages, which are msgpack arrays.
#pragma once

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "work_mod_int.h"

/// Identifies a request at the node that forwarded it.
struct work_ref {
	uint32_t h; ///< htab handle on that node
	uint64_t id; ///< struct work.id on that node
};

/// Reads a message's fields in order. `malformed` stays set after an
/// invalid field.
struct work_reader {
	msgpack_unpacked msg;
	size_t next;
	bool malformed;
};

/// Parse a message.
///
/// @param fields  number of fields that the message must have
/// @return false for a malformed message; end with work_read_end() anyway
bool work_read_begin(struct work_reader *r, const void *buf, size_t len,
		     size_t fields);
uint64_t work_read_u64(struct work_reader *r, uint64_t max);

/// Read a string.
///
/// @param len  bytes of out, with the NUL
void work_read_str(struct work_reader *r, char *out, size_t len);

/// Read bytes, valid until work_read_end().
const char *work_read_bin(struct work_reader *r, size_t *len);
void work_read_ref(struct work_reader *r, struct work_ref *ref);
void work_read_end(struct work_reader *r);

void work_pack_str(msgpack_packer *pk, const char *s);
void work_pack_bin(msgpack_packer *pk, const void *data, size_t len);

/// Begin an array of fields that starts with a reference.
void work_pack_begin(msgpack_packer *pk, msgpack_sbuffer *sb, size_t fields,
		     const struct work_ref *ref);

/// Send a packed message and free the buffer.
enum err work_pack_send(struct core *c, const char *node,
			enum core_peer_msg type, msgpack_sbuffer *sb);

/// Send a packed reply and free the buffer.
enum err work_pack_reply(struct core *c, const struct core_peer_run *to,
			 enum core_peer_msg type, msgpack_sbuffer *sb);

/// Send a body after its first WORK_CHUNK_BYTES, as chunks of
/// [ref, offset, bytes].
///
/// @param to  process that the chunks are meant for, run 0 for any of the node
enum err work_send_chunks(struct core *c, const struct core_peer_run *to,
			  enum core_peer_msg type, const struct work_ref *ref,
			  const char *body, size_t len);

/// Chunk of a body, as work_send_chunks() sends it.
struct work_chunk {
	struct work_ref ref;
	uint64_t offset;
	const char *data;
	size_t len;
};
bool work_read_chunk(struct work_reader *r, const void *buf, size_t len,
		     struct work_chunk *chunk);
