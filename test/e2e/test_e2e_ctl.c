// catkinctl against running daemons: exit codes, and only the key on stdout.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/http.h"
#include "support/sys.h"

enum {
	CTL_TIMEOUT_MS = 60000,
	ARGS_MAX = 12,
	NODE_UNREACHABLE = 1, ///< case flag: the only node given is unreachable
	FIRST_UNREACHABLE = 2, ///< case flag: the first node given is
	STORE_HANGS = 4, ///< case flag: the store does not answer writes
};

static struct sys sys;

static const struct {
	const char *args[ARGS_MAX];
	int exit_code;
	int flags;
	const char *output; ///< expected substring, NULL for any output
} cases[] = {
	{{"team", "add", "a"}, 0, 0, "in force on 3 of 3"},
	{{"team", "add", "a"}, 1, 0, "conf-exists"},
	{{"team", "add", "b"}, 0, FIRST_UNREACHABLE, NULL},
	{{"route", "add", "r", "--engine", "--team", "a"}, 0, 0, NULL},
	{{"route", "add", "x", "--engine", "--service", "s"},
	 4,
	 0,
	 "ctl-usage"},
	{{"route", "change", "r", "open", "yes"}, 0, 0, NULL},
	{{"route", "change", "r", "colour", "red"}, 1, 0, "conf-op"},
	{{"key", "grant", "nobody"}, 1, 0, "conf-absent"},
	{{"key", "withdraw", "abcdefghijkl"}, 1, 0, "conf-absent"},
	{{"set", "queue.max", "50"}, 0, 0, NULL},
	{{"set", "queue.max", "many"}, 4, 0, "conf-range"},
	{{"set", "no.such", "1"}, 4, 0, "conf-field"},
	{{"set", "queue.max", "60", "--base", "1"}, 2, 0, "conf-clash"},
	{{"set", "slot.max", "9", "--base", "1"}, 0, 0, NULL},
	{{"except", "team", "a", "queue.max", "5"}, 4, 0, "reason"},
	{{"except", "team", "a", "queue.max", "5", "--reason", "trial"},
	 0,
	 0,
	 NULL},
	{{"get", "queue.max"}, 0, 0, "trial"},
	{{"unexcept", "team", "a", "queue.max"}, 0, 0, NULL},
	{{"unexcept", "team", "a", "queue.max"}, 1, 0, "conf-absent"},
	{{"domain", "out", "d3"}, 4, 0, "reason"},
	{{"domain", "out", "d3", "--reason", "racks"}, 0, 0, NULL},
	{{"domain", "in", "d3"}, 0, 0, NULL},
	{{"status"}, 0, 0, "domain: d1"},
	{{"--json", "status"}, 0, 0, "\"domain\":\"d1\""},
	{{"watch", "--count", "1"}, 0, 0, "conf.rev"},
	{{"usage"}, 0, 0, "node: n1"},
	{{"fly"}, 4, 0, "no such command"},
	{{"status"}, 5, NODE_UNREACHABLE, "ctl-unreachable"},
	{{"team", "add", "c"}, 5, NODE_UNREACHABLE, "ctl-unreachable"},
	{{"team", "add", "d"}, 3, STORE_HANGS, "conf-unknown"},
};

/// Run catkinctl.
///
/// @param[out] out  its standard output and standard error
/// @return exit code
static int run_ctl(const char *const *args, int flags, char *out, size_t len)
{
	static int run_count;
	const char *argv[ARGS_MAX + 8] = {"catkinctl"};
	struct proc p;
	char name[32];
	int status = -1;
	int n = 1;
	FILE *f;

	if (flags & (NODE_UNREACHABLE | FIRST_UNREACHABLE)) {
		argv[n++] = "--node";
		argv[n++] = "http://127.255.255.1:9";
	}
	if (!(flags & NODE_UNREACHABLE)) {
		argv[n++] = "--node";
		argv[n++] = sys.nodes[0].admin;
	}
	while (*args)
		argv[n++] = *args++;
	snprintf(name, sizeof(name), "ctl%d", run_count++);
	assert_true(proc_start(&p, name, argv));
	assert_true(proc_wait(&p, CTL_TIMEOUT_MS, &status));
	f = fopen(p.log, "r");
	assert_non_null(f);
	out[fread(out, 1, len - 1, f)] = '\0';
	fclose(f);
	remove(p.log);
	return WEXITSTATUS(status);
}

static void set_platform_fault(const char *body)
{
	char url[128];

	snprintf(url, sizeof(url), "%s/fake/fault", sys.platform_url);
	json_decref(http_json(body ? "POST" : "DELETE", url, NULL, body, NULL));
}

static bool membership_known(void *ctx)
{
	char url[128];
	json_t *j;
	size_t n;

	snprintf(url, sizeof(url), "%s/admin/conf/force?rev=0",
		 sys.nodes[0].admin);
	j = http_json("GET", url, NULL, NULL, NULL);
	n = json_array_size(json_object_get(j, "in_force")) +
	    json_array_size(json_object_get(j, "missing"));
	json_decref(j);
	return n == 3;
}

static int setup(void **state)
{
	struct sys_opts opts = {.domains = 3, .nodes_per_domain = 1};

	if (!sys_start(&sys, &opts))
		return -1;
	return wait_until(membership_known, NULL, CTL_TIMEOUT_MS) ? 0 : -1;
}

static int teardown(void **state)
{
	sys_stop(&sys);
	return 0;
}

static void test_exit_codes(void **state)
{
	char out[16384];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int exit_code;

		if (cases[i].flags & STORE_HANGS)
			set_platform_fault(
				"{\"path\":\"/kv/conf\",\"method\":\"PUT\","
				"\"mode\":\"hang\",\"count\":-1}");
		exit_code = run_ctl(cases[i].args, cases[i].flags, out,
				    sizeof(out));
		set_platform_fault(NULL);
		if (exit_code != cases[i].exit_code ||
		    (cases[i].output && !strstr(out, cases[i].output)))
			fail_msg("case %zu: %s %s: exit %d, wanted %d: %s", i,
				 cases[i].args[0],
				 cases[i].args[1] ? cases[i].args[1] : "",
				 exit_code, cases[i].exit_code, out);
	}
}

/// Standard output has only the key; everything else is on standard error.
static void test_key_alone_on_stdout(void **state)
{
	const char *const args[] = {"key", "grant", "a", "--wait", "0", NULL};
	char out[256];

	assert_int_equal(run_ctl(args, 0, out, sizeof(out)), 0);
	assert_int_equal(strncmp(out, "ck_", 3), 0);
	assert_int_equal(strcspn(out, "\n"), strlen(out) - 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_exit_codes),
		cmocka_unit_test(test_key_alone_on_stdout),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
