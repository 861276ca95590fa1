// Keys created by a test, and searches for their secrets.
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

/// Whether a text contains the secret, salt or hash of any key.
bool keyring_in_text(const struct keyring *ring, const char *text);

/// Fail the test if a file contains one, or can't be opened.
void keyring_assert_file(const struct keyring *ring, const char *path);

/// Fail the test if the answer to GET BASE/PATH contains one or is not 200.
void keyring_assert_url(const struct keyring *ring, const char *base,
			const char *path);
