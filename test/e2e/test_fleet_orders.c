// Daemons order exactly the wanted number of backend servers, each once, even
// if a server is lost, the duty holder is killed, a reply is lost or no cheap
// servers are available.
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
	WAIT_MS = 60000,
};

static struct sys sys;
static int asked; ///< index of the node whose servers are read

static int fake(const char *method, const char *path, const char *body)
{
	char url[128];
	int status;

	snprintf(url, sizeof(url), "%s%s", sys.platform_url, path);
	json_decref(http_json(method, url, NULL, body, &status));
	return status;
}

/* Number of servers in a state, by the admin API. */
static int servers(const char *state)
{
	char url[128];
	json_t *j, *row;
	size_t i;
	int n = 0;

	snprintf(url, sizeof(url), "%s/admin/servers", sys.nodes[asked].admin);
	j = http_json("GET", url, NULL, NULL, NULL);
	json_array_foreach(json_object_get(j, "servers"), i, row) {
		json_t *st = json_object_get(row, "state");

		n += strcmp(json_string_value(st), state) == 0;
	}
	json_decref(j);
	return n;
}

/* Number of distinct order ids that the platform received. */
static int starts(void)
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

static bool wanted_live(void *ctx)
{
	return servers("live") == WANTED;
}

static bool ordered(void *ctx)
{
	return starts() >= *(const int *)ctx;
}

/* Index of the duty holder, -1 for none. */
static int holder(void)
{
	char url[128];
	const char *value;
	json_t *j;
	int who;

	snprintf(url, sizeof(url), "%s/kv/duty/fleet/d1", sys.platform_url);
	j = http_json("GET", url, NULL, NULL, NULL);
	value = json_string_value(json_object_get(j, "value"));
	who = !value ? -1 : strstr(value, sys.nodes[1].id) ? 1 : 0;
	json_decref(j);
	return who;
}

/* Wait until so many orders are sent and the wanted servers are live. */
static void settle(int orders)
{
	assert_true(wait_until(ordered, &orders, WAIT_MS));
	assert_true(wait_until(wanted_live, NULL, WAIT_MS));
	assert_int_equal(starts(), orders);
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
		assert_int_equal(fake("POST", "/fake/vms", body), 200);
	}
}

static void test_as_many_as_wanted(void **state)
{
	add_spares();
	settle(WANTED);
}

static void test_lost_server_and_lost_answer(void **state)
{
	fake("POST", "/fake/fault",
	     "{\"path\":\"/orders\",\"mode\":\"drop_reply\",\"count\":1}");
	assert_int_equal(fake("DELETE", "/fake/vms/spare-0", NULL), 200);
	settle(WANTED + 1);
}

static bool moved(void *ctx)
{
	return holder() == !*(const int *)ctx;
}

/* The successor's VM list lags: it must not repeat orders in progress. */
static void test_killed_holder(void **state)
{
	int orders = WANTED + 2;
	int who = holder();

	asked = !who;
	assert_int_equal(fake("DELETE", "/fake/vms/spare-1", NULL), 200);
	assert_true(wait_until(ordered, &orders, WAIT_MS));
	proc_kill(&sys.nodes[who].proc);
	assert_true(wait_until(moved, &who, WAIT_MS));
	settle(orders);
	assert_int_equal(fake("DELETE", "/fake/vms/spare-2", NULL), 200);
	settle(orders + 1);
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
		cmocka_unit_test(test_as_many_as_wanted),
		cmocka_unit_test(test_lost_server_and_lost_answer),
		cmocka_unit_test(test_killed_holder),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
