// Finds text that looks like a caller's key.
#pragma once

#include <stdbool.h>
#include <stddef.h>

/// Whether text holds a key: `ck_` at the start of a word, then at least
/// KEYSCAN_MIN_LEN key characters.
///
/// @param text  bytes, may hold NULs
/// @param len   bytes
bool keyscan(const char *text, size_t len);
