// API keys of teams: `ck_ID_SECRET`. Only the id, a salt and a hash are ever stored.
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "base/err.h"

enum {
	KEY_ID_LEN = 12, ///< characters of an id
	KEY_SECRET_LEN = 43, ///< characters of a secret: 32 bytes in base64url
	KEY_TEXT_LEN = 3 + KEY_ID_LEN + 1 + KEY_SECRET_LEN,
	KEY_SALT_BYTES = 16,
	KEY_HASH_BYTES = 32,
	KEY_SALT_HEX = 2 * KEY_SALT_BYTES,
	KEY_HASH_HEX = 2 * KEY_HASH_BYTES,
};

/// Stored form of a key.
struct key_record {
	char id[KEY_ID_LEN + 1];
	char salt[KEY_SALT_HEX + 1]; ///< lower-case hexadecimal
	char hash[KEY_HASH_HEX + 1]; ///< lower-case hexadecimal
};

/// Create a key from the system's random source.
///
/// @param[out] rec   record to store
/// @param[out] text  KEY_TEXT_LEN + 1 bytes: the key, to be shown once
/// @return ERR_OK, or ERR_SYS if there is no random source
enum err key_generate(struct key_record *rec, char *text);

/// Extract the id of a key.
///
/// @param text     key as sent by the caller, may be NULL
/// @param[out] id  KEY_ID_LEN + 1 bytes
/// @return ERR_OK, ERR_KEY_MISSING for NULL or "", ERR_KEY_UNKNOWN if malformed
enum err key_id(const char *text, char *id);

/// Check a key against its record, in constant time.
///
/// @param rec   record of the key's id
/// @param text  key as sent by the caller
/// @return true if the secret matches the record
bool key_verify(const struct key_record *rec, const char *text);

/// Whether a salt and a hash have the lengths and digits of a record.
bool key_record_valid(const char *salt, const char *hash);
