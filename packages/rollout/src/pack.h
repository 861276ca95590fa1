// Flat msgpack messages: one array, written and read in order.
#pragma once

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "rollout/slots.h"

struct pack {
	msgpack_sbuffer items;
	msgpack_packer packer;
	size_t n;
};

struct unpack {
	msgpack_unpacked un;
	size_t next;
	bool bad; ///< an item was missing, invalid or of another type
};

/// Start a message.
void pack_init(struct pack *p);

void pack_u64(struct pack *p, uint64_t v);
void pack_str(struct pack *p, const char *s);
void pack_bin(struct pack *p, const void *data, size_t len);
void pack_slots(struct pack *p, const struct slots *s);

/// Finish a message.
///
/// @param[out] len  bytes
/// @return bytes to free(), NULL when out of memory
void *pack_end(struct pack *p, size_t *len);

/// Start reading; buf must outlive the reader.
void unpack_init(struct unpack *u, const void *buf, size_t len);

uint64_t unpack_u64(struct unpack *u);

/// @param cap  size of dst in bytes; a longer string sets bad
void unpack_str(struct unpack *u, char *dst, size_t cap);

/// @return bytes inside the message, NULL on error
const void *unpack_bin(struct unpack *u, size_t *len);

/// @param[out] out  empty list
void unpack_slots(struct unpack *u, struct slots *out);

/// Finish reading.
///
/// @return ERR_OK if every item was read and valid, else ERR_PARSE
enum err unpack_end(struct unpack *u);
