// Settings files: units, reporting of all errors at once, reload.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include "base/rng.h"
#include "core/settings.h"

#define VALID                                                 \
	"[node]\nid = n1\ndomain = d1\n"                      \
	"[http]\nlisten = 127.0.0.1:1\nadmin = 127.0.0.1:2\n" \
	"[platform]\nurl = http://127.0.0.1:3\n"              \
	"[peer]\nlisten = 127.0.0.1:4\n"

enum {
	VALID_LINES = 10,
	FUZZ_FILES = 2000,
};

static char path[256];
static char *errors;

static enum err load_settings_text(const char *text, size_t len,
				   struct settings **s)
{
	const char *dir = getenv("TMPDIR");
	size_t size;
	FILE *f;
	enum err e;

	snprintf(path, sizeof(path), "%s/catkin-settings-%d.ini",
		 dir ? dir : "/tmp", (int)getpid());
	f = fopen(path, "w");
	assert_non_null(f);
	fwrite(text, 1, len, f);
	fclose(f);
	free(errors);
	f = open_memstream(&errors, &size);
	e = settings_load(path, f, s);
	fclose(f);
	unlink(path);
	return e;
}

static void test_valid_file(void **state)
{
	static const char text[] =
		VALID "# comment\n; comment\n\n[http]\n"
		      "  max_body = 2MB\nidle_timeout = 1500ms\n"
		      "[peer]\nseeds = a@d1@127.0.0.1:5, b@d2@127.0.0.1:6\n";
	struct settings *s;

	assert_int_equal(load_settings_text(text, strlen(text), &s), ERR_OK);
	assert_string_equal(settings_str(s, S_NODE_ID), "n1");
	assert_int_equal(settings_int(s, S_HTTP_MAX_BODY), 2 << 20);
	assert_int_equal(settings_int(s, S_HTTP_IDLE), 1500);
	assert_int_equal(settings_int(s, S_HTTP_MAX_CONNS), 4096);
	assert_string_equal(settings_str(s, S_LOG_LEVEL), "info");
	settings_free(s);
}

static void test_long_line(void **state)
{
	char text[8192] = VALID "seeds = ";
	struct settings *s;

	for (int i = 0; i < 100; i++)
		sprintf(text + strlen(text), "%snode%d@d1@127.0.0.1:%d",
			i ? "," : "", i, 1000 + i);
	assert_int_equal(load_settings_text(text, strlen(text), &s), ERR_OK);
	assert_non_null(strstr(settings_str(s, S_PEER_SEEDS), "node99@"));
	settings_free(s);
}

/// Each error is reported with its line, key, and what is allowed.
static void test_each_error_is_reported(void **state)
{
	static const struct {
		const char *text;
		const char *expected; ///< part of the error
	} cases[] = {
		{"[http]\nmax_body = 4", "max_body: \"4\" can't be used"},
		{"[http]\nmax_body = 4XB", "units B, KB, MB, GB"},
		{"[http]\nmax_body = 1B", "1KB to 64MB"},
		{"[http]\nmax_body = 99999999999999999999GB", "max_body"},
		{"[http]\nidle_timeout = -3s", "units ms, s, m, h"},
		{"[http]\nidle_timeout =", "idle_timeout"},
		{"[http]\nmax_connections = 12s", "16 to 65000"},
		{"[http]\nlisten = here", "already set in line 5"},
		{"[http]\nnonsense = 1", "[http] nonsense: unknown key"},
		{"[nowhere]\nid = 1", "[nowhere] id: unknown key"},
		{"[log]\nlevel = loud", "err, warning, notice, info or debug"},
		{"[peer]\nseeds = a@b", "id@domain@IP:port"},
		{"[peer]\nseeds = a@b@1.2.3:4", "id@domain@IP:port"},
		{"[log]\nthis is no pair", "not a setting"},
		{"[log\nlevel = info", "not a setting"},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char text[1024];
		char line[32];
		struct settings *s;

		snprintf(text, sizeof(text), VALID "%s\n", cases[i].text);
		/* The error is in the last line, except for a malformed section. */
		snprintf(line, sizeof(line), ".ini:%d: ",
			 VALID_LINES + (cases[i].text[4] == '\n' ? 1 : 2));
		assert_int_equal(load_settings_text(text, strlen(text), &s),
				 ERR_SETTINGS);
		assert_null(s);
		if (!strstr(errors, cases[i].expected))
			fail_msg("%s: %s", cases[i].text, errors);
		assert_non_null(strstr(errors, line));
	}
}

static int count_lines(const char *s)
{
	int n = 0;

	for (; *s; s++)
		n += *s == '\n';
	return n;
}

static void test_all_errors_reported(void **state)
{
	static const char text[] = "[node]\nid = a b\nbad = 1\n"
				   "[http]\nlisten = x\nmax_body = 1\n"
				   "nothing\n";
	struct settings *s;

	assert_int_equal(load_settings_text(text, strlen(text), &s),
			 ERR_SETTINGS);
	/* Five wrong lines; domain, admin, url and peer listen are missing. */
	assert_int_equal(count_lines(errors), 9);
	assert_non_null(strstr(errors, ".ini:2: [node] id: \"a b\""));
	assert_non_null(strstr(errors, "[platform] url: missing"));
}

static void test_no_file(void **state)
{
	struct settings *s;
	FILE *f = tmpfile();

	assert_int_equal(settings_load("/nonexistent/x.ini", f, &s),
			 ERR_SETTINGS);
	assert_null(s);
	fclose(f);
}

static void test_reload(void **state)
{
	static const char newer[] =
		VALID "[http]\nmax_body = 1MB\nmax_connections = 99\n"
		      "[log]\nlevel = debug\n";
	struct settings *s, *newer_settings;

	assert_int_equal(load_settings_text(VALID, strlen(VALID), &s), ERR_OK);
	assert_int_equal(
		load_settings_text(newer, strlen(newer), &newer_settings),
		ERR_OK);
	settings_reload(s, newer_settings);
	assert_int_equal(settings_int(s, S_HTTP_MAX_BODY), 1 << 20);
	assert_string_equal(settings_str(s, S_LOG_LEVEL), "debug");
	/* Not reloadable: the old value stays in force. */
	assert_int_equal(settings_int(s, S_HTTP_MAX_CONNS), 4096);
	settings_free(s);
	settings_free(newer_settings);
}

/// Randomly corrupted files are loaded or refused with an error, without a crash.
static void test_corrupted_files(void **state)
{
	struct rng rng = {4};

	printf("seed 4\n");
	for (int i = 0; i < FUZZ_FILES; i++) {
		char text[] = VALID;
		size_t len = strlen(text);
		struct settings *s;

		for (int k = 0; k < 4; k++)
			text[rng_below(&rng, len)] = (char)rng_next(&rng);
		if (load_settings_text(text, rng_below(&rng, len + 1), &s) ==
		    ERR_OK)
			settings_free(s);
		else
			assert_true(count_lines(errors) > 0);
	}
}

static int cleanup(void **state)
{
	free(errors);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_valid_file),
		cmocka_unit_test(test_long_line),
		cmocka_unit_test(test_each_error_is_reported),
		cmocka_unit_test(test_all_errors_reported),
		cmocka_unit_test(test_no_file),
		cmocka_unit_test(test_reload),
		cmocka_unit_test(test_corrupted_files),
	};

	return cmocka_run_group_tests(tests, NULL, cleanup);
}
