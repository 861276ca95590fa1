// Creates and checks keys with libsodium.
#include "key/key.h"

#include <sodium.h>
#include <string.h>

static const char key_prefix[] = "ck_";
static const char id_digits[] = "abcdefghijklmnopqrstuvwxyz0123456789";
static const char hex_digits[] = "0123456789abcdef";

enum {
	KEY_PREFIX_LEN = 3,
	KEY_SECRET_BYTES = 32,
	KEY_SECRET_POS = KEY_PREFIX_LEN + KEY_ID_LEN + 1,
};

static void key_hash(const unsigned char *salt, const char *secret,
		     unsigned char *hash)
{
	crypto_generichash(hash, KEY_HASH_BYTES, (const unsigned char *)secret,
			   KEY_SECRET_LEN, salt, KEY_SALT_BYTES);
}

enum err key_generate(struct key_record *rec, char *text)
{
	unsigned char salt[KEY_SALT_BYTES];
	unsigned char hash[KEY_HASH_BYTES];
	unsigned char secret[KEY_SECRET_BYTES];
	size_t digits = sizeof(id_digits) - 1;

	if (sodium_init() < 0)
		return ERR_SYS;
	for (size_t i = 0; i < KEY_ID_LEN; i++)
		rec->id[i] = id_digits[randombytes_uniform((uint32_t)digits)];
	rec->id[KEY_ID_LEN] = '\0';
	randombytes_buf(salt, sizeof(salt));
	randombytes_buf(secret, sizeof(secret));
	memcpy(text, key_prefix, KEY_PREFIX_LEN);
	memcpy(text + KEY_PREFIX_LEN, rec->id, KEY_ID_LEN);
	text[KEY_SECRET_POS - 1] = '_';
	sodium_bin2base64(text + KEY_SECRET_POS, KEY_SECRET_LEN + 1, secret,
			  sizeof(secret),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	key_hash(salt, text + KEY_SECRET_POS, hash);
	sodium_bin2hex(rec->salt, sizeof(rec->salt), salt, sizeof(salt));
	sodium_bin2hex(rec->hash, sizeof(rec->hash), hash, sizeof(hash));
	sodium_memzero(secret, sizeof(secret));
	return ERR_OK;
}

enum err key_id(const char *text, char *id)
{
	id[0] = '\0';
	if (!text || !*text)
		return ERR_KEY_MISSING;
	if (strlen(text) != KEY_TEXT_LEN ||
	    strncmp(text, key_prefix, KEY_PREFIX_LEN) != 0 ||
	    text[KEY_SECRET_POS - 1] != '_' ||
	    strspn(text + KEY_PREFIX_LEN, id_digits) != KEY_ID_LEN)
		return ERR_KEY_UNKNOWN;
	memcpy(id, text + KEY_PREFIX_LEN, KEY_ID_LEN);
	id[KEY_ID_LEN] = '\0';
	return ERR_OK;
}

bool key_record_valid(const char *salt, const char *hash)
{
	return salt && hash && strlen(salt) == KEY_SALT_HEX &&
	       strspn(salt, hex_digits) == KEY_SALT_HEX &&
	       strlen(hash) == KEY_HASH_HEX &&
	       strspn(hash, hex_digits) == KEY_HASH_HEX;
}

bool key_verify(const struct key_record *rec, const char *text)
{
	unsigned char salt[KEY_SALT_BYTES];
	unsigned char expected[KEY_HASH_BYTES];
	unsigned char hash[KEY_HASH_BYTES];

	if (!key_record_valid(rec->salt, rec->hash) ||
	    strlen(text) != KEY_TEXT_LEN)
		return false;
	sodium_hex2bin(salt, sizeof(salt), rec->salt, KEY_SALT_HEX, NULL, NULL,
		       NULL);
	sodium_hex2bin(expected, sizeof(expected), rec->hash, KEY_HASH_HEX,
		       NULL, NULL, NULL);
	key_hash(salt, text + KEY_SECRET_POS, hash);
	return sodium_memcmp(hash, expected, sizeof(hash)) == 0;
}
