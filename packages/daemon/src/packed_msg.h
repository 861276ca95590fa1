// Parts of the daemons' messages in msgpack; what does not have the expected type
// is refused.
#pragma once

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/arena.h"
#include "base/err.h"

/// Write a text, "" for NULL.
void packed_text(msgpack_packer *pk, const char *text);
void packed_bool(msgpack_packer *pk, bool v);

/// Whether an object is an array of n members.
bool packed_is_array(const msgpack_object *o, uint32_t n);

/* Each reads one member and returns false if it has another type. */
bool packed_take_uint(const msgpack_object *o, uint64_t *out);
bool packed_take_bool(const msgpack_object *o, bool *out);
/// A span of at most INT32_MAX milliseconds.
bool packed_take_ms(const msgpack_object *o, int64_t *out);
/// A text without NUL, copied into the arena.
bool packed_take_text(const msgpack_object *o, struct arena *a,
		      const char **out);
/// Any bytes, copied into the arena with a NUL behind them.
bool packed_take_bytes(const msgpack_object *o, struct arena *a,
		       const char **out, size_t *len);

/// Read a message.
///
/// @param take  reads the object; false refuses it
/// @return ERR_OK or ERR_PARSE
enum err packed_read(const void *data, size_t len,
		     bool (*take)(const msgpack_object *o, void *ctx),
		     void *ctx);
