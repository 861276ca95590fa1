// Detects text that looks like a caller's API key.
#include "keyscan.h"

#include <ctype.h>
#include <string.h>

enum {
	KEYSCAN_PREFIX_LEN = 3,
	KEYSCAN_KEY_LEN_MIN = 8,
};

static bool keyscan_is_key_char(char c)
{
	return isalnum((unsigned char)c) || c == '_' || c == '-' || c == '.';
}

bool keyscan_contains_key(const char *text, size_t len)
{
	for (size_t i = 0; i + KEYSCAN_PREFIX_LEN <= len; i++) {
		size_t n = 0;

		if (memcmp(text + i, "ck_", KEYSCAN_PREFIX_LEN) != 0)
			continue;
		if (i > 0 && keyscan_is_key_char(text[i - 1]))
			continue;
		while (i + KEYSCAN_PREFIX_LEN + n < len &&
		       keyscan_is_key_char(text[i + KEYSCAN_PREFIX_LEN + n]))
			n++;
		if (n >= KEYSCAN_KEY_LEN_MIN)
			return true;
	}
	return false;
}
