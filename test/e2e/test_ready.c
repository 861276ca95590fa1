// A new daemon reports ready to the load balancer only once it can grant slots
// of the servers it is the coordinator of; before that it would queue all requests.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/ctl.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	START_TIMEOUT_MS = 30000,
};

static struct sys sys;

static void wait_ready(int node)
{
	char url[96];

	snprintf(url, sizeof(url), "%s/readyz", sys.nodes[node].url);
	assert_true(sys_wait_status(url, 200, START_TIMEOUT_MS));
}

/* Number of servers that a node is the coordinator of, by its status. */
static int steward_count(int node, int *granting)
{
	char url[96];
	json_t *status;
	json_t *servers;
	json_t *v;
	size_t i;
	int n = 0;

	snprintf(url, sizeof(url), "%s/admin/status", sys.nodes[node].admin);
	status = http_json("GET", url, NULL, NULL, NULL);
	servers = json_object_get(json_object_get(status, "work"), "servers");
	*granting = 0;
	json_array_foreach(servers, i, v) {
		n += json_is_true(json_object_get(v, "steward"));
		*granting += json_is_true(json_object_get(v, "grants"));
	}
	json_decref(status);
	return n;
}

static void check_ready_nodes_grant(void)
{
	int coordinators = 0;

	for (int i = 0; i < sys.n_nodes; i++) {
		int granting;
		int n;

		wait_ready(i);
		n = steward_count(i, &granting);
		assert_int_equal(granting, n);
		coordinators += n;
	}
	assert_true(coordinators > 0);
}

static void test_ready_nodes_grant_after_start(void **state)
{
	check_ready_nodes_grant();
}

static void test_ready_nodes_grant_after_restart(void **state)
{
	for (int i = 0; i < sys.n_nodes; i++)
		proc_kill(&sys.nodes[i].proc);
	for (int i = 0; i < sys.n_nodes; i++)
		assert_true(sys_node_start(&sys, i));
	for (int i = 0; i < sys.n_nodes; i++) {
		char url[96];

		snprintf(url, sizeof(url), "%s/healthz", sys.nodes[i].url);
		assert_true(sys_wait_status(url, 200, START_TIMEOUT_MS));
	}
	check_ready_nodes_grant();
}

static int start(void **state)
{
	const struct sys_opts o = {
		.domains = 1,
		.nodes_per_domain = 2,
		.services_per_domain = 2,
		.engines_per_domain = 2,
	};
	const char *const team_args[] = {"team", "add", "depot", NULL};
	char out[4096];

	assert_true(sys_start(&sys, &o));
	assert_int_equal(ctl_run(&sys, team_args, out, sizeof(out)), 0);
	return 0;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ready_nodes_grant_after_start),
		cmocka_unit_test(test_ready_nodes_grant_after_restart),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
