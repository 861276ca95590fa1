// A request that waits for a slot is refused as soon as its key is withdrawn.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/ctl.h"
#include "support/desk.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	CALL_DELAY_MS = 20000, ///< delay of the call that holds the only slot
	WAIT_TIMEOUT_MS = 30000,
};

struct caller {
	const char *key;
	pthread_t thread;
	struct http_res res;
};

static struct sys sys;
static struct desk desk;
static char second_key[DESK_KEY_MAX]; ///< second key of the team

static void *caller_main(void *arg)
{
	struct caller *c = arg;
	struct http_opts o = {
		.method = "POST",
		.url = desk.urls[0],
		.bearer = c->key,
		.body = "{\"call\":\"queued\"}",
		.timeout_ms = WAIT_TIMEOUT_MS,
	};

	http_call(&o, &c->res);
	return NULL;
}

static int waiting_requests(void)
{
	char url[96];
	json_t *status;
	json_t *pools;
	json_t *p;
	size_t i;
	int n = 0;

	snprintf(url, sizeof(url), "%s/admin/status", sys.nodes[0].admin);
	status = http_json("GET", url, NULL, NULL, NULL);
	pools = json_object_get(json_object_get(status, "work"), "pools");
	json_array_foreach(pools, i, p)
		n += (int)json_integer_value(json_object_get(p, "waiting"));
	json_decref(status);
	return n;
}

static bool one_request_waits(void *ctx)
{
	return waiting_requests() == 1;
}

static bool server_busy(void *ctx)
{
	char url[96];
	json_t *status;
	json_t *servers;
	int in_use;

	snprintf(url, sizeof(url), "%s/admin/status", sys.nodes[0].admin);
	status = http_json("GET", url, NULL, NULL, NULL);
	servers = json_object_get(json_object_get(status, "work"), "servers");
	in_use = (int)json_integer_value(
		json_object_get(json_array_get(servers, 0), "in_use"));
	json_decref(status);
	return in_use == 1;
}

static void delay_desk_call(void)
{
	char url[96];
	char body[96];
	int status;

	snprintf(url, sizeof(url), "%s/fake/fault", sys.servers[0].url);
	snprintf(body, sizeof(body),
		 "{\"mode\":\"slow\",\"count\":1,\"delay_ms\":%d}",
		 CALL_DELAY_MS);
	json_decref(http_json("POST", url, NULL, body, &status));
	assert_int_equal(status, 200);
}

static void test_withdrawn_key_refused_in_queue(void **state)
{
	struct caller first = {.key = desk.key};
	struct caller second = {.key = second_key};
	char id[64];

	delay_desk_call();
	pthread_create(&first.thread, NULL, caller_main, &first);
	assert_true(wait_until(server_busy, NULL, WAIT_TIMEOUT_MS));
	pthread_create(&second.thread, NULL, caller_main, &second);
	assert_true(wait_until(one_request_waits, NULL, WAIT_TIMEOUT_MS));
	snprintf(id, sizeof(id), "%.*s", (int)strcspn(second_key + 3, "_"),
		 second_key + 3);
	assert_true(CTL_RUN_OK(&sys, "key", "withdraw", id));
	pthread_join(second.thread, NULL);
	/* Refused for its key, not for a free slot or a stalled pool. */
	assert_int_equal(second.res.status, 401);
	assert_non_null(strstr(second.res.body, "\"key-withdrawn\""));
	assert_string_equal(second.res.run, "no");
	assert_true(server_busy(NULL));
	http_free(&second.res);
	/* Killing the desk ends the first call, whatever its outcome. */
	proc_kill(&sys.servers[0].proc);
	pthread_join(first.thread, NULL);
	http_free(&first.res);
}

static int start(void **state)
{
	const struct sys_opts o = {
		.domains = 1,
		.nodes_per_domain = 1,
		.services_per_domain = 1,
	};

	assert_true(desk_start(&sys, &o, &desk));
	assert_true(CTL_RUN_OK(&sys, "set", "slot.max", "1"));
	assert_int_equal(
		ctl_grant(&sys, "depot", second_key, sizeof(second_key)), 0);
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
		cmocka_unit_test(test_withdrawn_key_refused_in_queue),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
