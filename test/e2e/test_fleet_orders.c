// Daemons order the wanted number of servers, each once, despite a lost server,
// a killed duty holder, a lost reply and no available cheap servers.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/http.h"
#include "support/sys.h"

enum {
	SPARES = 6,
	WANTED = 3,
	WAIT_TIMEOUT_MS = 60000,
};

static struct sys sys;
static int queried_node; ///< index of the node whose servers are read

static int platform_request(const char *method, const char *path,
			    const char *body)
{
	char url[128];
	int status;

	snprintf(url, sizeof(url), "%s%s", sys.platform_url, path);
	json_decref(http_json(method, url, NULL, body, &status));
	return status;
}

/* Number of servers in a state, by the admin API. */
static int servers_in_state(const char *state)
{
	char url[128];
	json_t *j, *row;
	size_t i;
	int n = 0;

	snprintf(url, sizeof(url), "%s/admin/servers",
		 sys.nodes[queried_node].admin);
	j = http_json("GET", url, NULL, NULL, NULL);
	json_array_foreach(json_object_get(j, "servers"), i, row) {
		json_t *st = json_object_get(row, "state");

		n += strcmp(json_string_value(st), state) == 0;
	}
	json_decref(j);
	return n;
}

/* Number of distinct order ids that the platform received. */
static int start_order_count(void)
{
	char url[128];
	json_t *j, *row, *ids = json_object();
	size_t i;
	int n;

	snprintf(url, sizeof(url), "%s/fake/log", sys.platform_url);
	j = http_json("GET", url, NULL, NULL, NULL);
	json_array_foreach(json_object_get(j, "log"), i, row) {
		json_object_set(ids,
				json_string_value(json_object_get(row, "id")),
				row);
	}
	n = (int)json_object_size(ids);
	json_decref(ids);
	json_decref(j);
	return n;
}

static bool wanted_servers_live(void *ctx)
{
	return servers_in_state("live") == WANTED;
}

static bool orders_sent(void *ctx)
{
	return start_order_count() >= *(const int *)ctx;
}

/* Index of the duty holder, -1 for none. */
static int duty_holder(void)
{
	char url[128];
	const char *value;
	json_t *j;
	int node;

	snprintf(url, sizeof(url), "%s/kv/duty/fleet/d1", sys.platform_url);
	j = http_json("GET", url, NULL, NULL, NULL);
	value = json_string_value(json_object_get(j, "value"));
	node = !value ? -1 : strstr(value, sys.nodes[1].id) ? 1 : 0;
	json_decref(j);
	return node;
}

/* Wait until so many orders are sent and the wanted servers are live. */
static void assert_orders_settle(int orders)
{
	assert_true(wait_until(orders_sent, &orders, WAIT_TIMEOUT_MS));
	assert_true(wait_until(wanted_servers_live, NULL, WAIT_TIMEOUT_MS));
	assert_int_equal(start_order_count(), orders);
}

static void add_spares(void)
{
	for (int i = 0; i < SPARES; i++) {
		char body[192];

		snprintf(body, sizeof(body),
			 "{\"id\":\"spare-%d\",\"addr\":\"127.0.0.1:%d\","
			 "\"domain\":\"d1\",\"kind\":\"engine\","
			 "\"state\":\"spare\"}",
			 i, i + 1);
		assert_int_equal(platform_request("POST", "/fake/vms", body),
				 200);
	}
}

static void test_wanted_servers_ordered(void **state)
{
	add_spares();
	assert_orders_settle(WANTED);
}

static void test_lost_server_with_lost_reply(void **state)
{
	platform_request(
		"POST", "/fake/fault",
		"{\"path\":\"/orders\",\"mode\":\"drop_reply\",\"count\":1}");
	assert_int_equal(platform_request("DELETE", "/fake/vms/spare-0", NULL),
			 200);
	assert_orders_settle(WANTED + 1);
}

static bool duty_moved(void *ctx)
{
	return duty_holder() == !*(const int *)ctx;
}

/* The successor's VM list lags: it must not repeat orders in progress. */
static void test_successor_repeats_no_order(void **state)
{
	int orders = WANTED + 2;
	int node = duty_holder();

	queried_node = !node;
	assert_int_equal(platform_request("DELETE", "/fake/vms/spare-1", NULL),
			 200);
	assert_true(wait_until(orders_sent, &orders, WAIT_TIMEOUT_MS));
	proc_kill(&sys.nodes[node].proc);
	assert_true(wait_until(duty_moved, &node, WAIT_TIMEOUT_MS));
	assert_orders_settle(orders);
	assert_int_equal(platform_request("DELETE", "/fake/vms/spare-2", NULL),
			 200);
	assert_orders_settle(orders + 1);
}

static int setup(void **state)
{
	static const char *const args[] = {"--vm-lag", "2000", NULL};
	const struct sys_opts opts = {
		.domains = 1,
		.platform_args = args,
		.nodes_per_domain = 2,
		.settings =
			"[fleet]\norder = 1\nstep = 100ms\nmin_engines = 3\n"
			"[duty]\nttl = 1s\nmargin = 300ms\n"
			"net_delay = 200ms\n",
	};

	return sys_start(&sys, &opts) ? 0 : -1;
}

static int teardown(void **state)
{
	sys_stop(&sys);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wanted_servers_ordered),
		cmocka_unit_test(test_lost_server_with_lost_reply),
		cmocka_unit_test(test_successor_repeats_no_order),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
