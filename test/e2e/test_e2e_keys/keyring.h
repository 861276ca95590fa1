// The keys that a test made, and searches for their secrets.
#pragma once

#include <stdbool.h>

#include "key/key.h"

enum {
	KEYRING_MAX = 64,
};

struct keyring {
	struct key_record records[KEYRING_MAX];
	char texts[KEYRING_MAX][KEY_TEXT_LEN + 1];
	int n;
};

/// Whether a text holds a secret, salt or hash of any key.
bool keyring_in_text(const struct keyring *ring, const char *text);

/// Fail the test if a file holds one.
void keyring_assert_file(const struct keyring *ring, const char *path);

/// Fail the test if the answer to GET BASE/PATH holds one.
void keyring_assert_url(const struct keyring *ring, const char *base,
			const char *path);
