// Reads and writes fields of msgpack messages; unexpected types are rejected.
#pragma once

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

/// Write a string, "" for NULL.
void packed_put_str(msgpack_packer *pk, const char *text);
void packed_put_bool(msgpack_packer *pk, bool v);

/// Whether an object is an array of n elements.
bool packed_is_array(const msgpack_object *o, uint32_t n);

/* Each reads one field, and returns false if it has another type. */
bool packed_get_uint(const msgpack_object *o, uint64_t *out);
bool packed_get_bool(const msgpack_object *o, bool *out);
/// Read a duration of at most INT32_MAX milliseconds.
bool packed_get_ms(const msgpack_object *o, int64_t *out);
/// Copy a string without NUL bytes into the arena.
bool packed_get_str(const msgpack_object *o, struct arena *a, const char **out);
/// Copy binary data into the arena, with a terminating NUL.
bool packed_get_bytes(const msgpack_object *o, struct arena *a,
		      const char **out, size_t *len);

/// Unpack a message.
///
/// @param take  reads the object; returns false to reject it
/// @return ERR_OK or ERR_PARSE
enum err packed_decode(const void *data, size_t len,
		       bool (*take)(const msgpack_object *o, void *ctx),
		       void *ctx);
