// Searches files and HTTP answers for the secrets of a test's keys.
#include "test_e2e_keys/keyring.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "support/http.h"

bool keyring_in_text(const struct keyring *ring, const char *text)
{
	for (int i = 0; i < ring->n; i++) {
		const char *secret =
			ring->texts[i] + KEY_TEXT_LEN - KEY_SECRET_LEN;

		if (strstr(text, secret) ||
		    strstr(text, ring->records[i].hash) ||
		    strstr(text, ring->records[i].salt))
			return true;
	}
	return false;
}

void keyring_assert_file(const struct keyring *ring, const char *path)
{
	FILE *f = fopen(path, "r");
	char line[8192];
	size_t lines = 0;

	assert_non_null(f);
	while (fgets(line, sizeof(line), f)) {
		lines++;
		if (keyring_in_text(ring, line))
			fail_msg("%s: %s", path, line);
	}
	fclose(f);
	print_message("%s: %zu lines clean\n", path, lines);
}

void keyring_assert_url(const struct keyring *ring, const char *base,
			const char *path)
{
	char url[192];
	struct http_opts o = {.method = "GET", .url = url};
	struct http_res res;

	snprintf(url, sizeof(url), "%s%s", base, path);
	assert_int_equal(http_call(&o, &res), 200);
	assert_false(keyring_in_text(ring, res.body));
	http_free(&res);
}
