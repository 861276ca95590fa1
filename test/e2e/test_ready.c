// A new daemon reports ready to the load balancer only once it can grant slots
// of the servers it is the steward of; before that it would queue all requests.
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
	UP_MS = 30000,
};

static struct sys sys;

static void wait_ready(int node)
{
	char url[96];

	snprintf(url, sizeof(url), "%s/readyz", sys.nodes[node].url);
	assert_true(sys_wait_status(url, 200, UP_MS));
}

/* Number of servers that a node is the steward of, by its status. */
static int stewarded(int node, int *granting)
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

static void check_ready_grants(void)
{
	int stewards = 0;

	for (int i = 0; i < sys.n_nodes; i++) {
		int granting;
		int n;

		wait_ready(i);
		n = stewarded(i, &granting);
		assert_int_equal(granting, n);
		stewards += n;
	}
	assert_true(stewards > 0);
}

static void test_first_start(void **state)
{
	check_ready_grants();
}

static void test_all_restarted(void **state)
{
	for (int i = 0; i < sys.n_nodes; i++)
		proc_kill(&sys.nodes[i].proc);
	for (int i = 0; i < sys.n_nodes; i++)
		assert_true(sys_node_start(&sys, i));
	for (int i = 0; i < sys.n_nodes; i++) {
		char url[96];

		snprintf(url, sizeof(url), "%s/healthz", sys.nodes[i].url);
		assert_true(sys_wait_status(url, 200, UP_MS));
	}
	check_ready_grants();
}

static int start(void **state)
{
	const struct sys_opts o = {
		.domains = 1,
		.nodes_per_domain = 2,
		.services_per_domain = 2,
		.engines_per_domain = 2,
	};
	const char *const words[] = {"team", "add", "depot", NULL};
	char out[4096];

	assert_true(sys_start(&sys, &o));
	assert_int_equal(ctl_run(&sys, words, out, sizeof(out)), 0);
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
		cmocka_unit_test(test_first_start),
		cmocka_unit_test(test_all_restarted),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
