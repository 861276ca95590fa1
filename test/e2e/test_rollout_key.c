// A batch stops generating within seconds once its team has no key left.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/ctl.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	UP_MS = 30000,
	BOUND_S = 3, ///< until generations stop after a withdrawal
	WATCH_S = 2, ///< observation after the bound
	SLOTS = 4000, ///< far more than can complete during the test
	BODY_LEN = 1024,
};

static struct sys sys;
static char key[256];

static long started(void)
{
	long sum = 0;

	for (int i = 0; i < sys.n_servers; i++) {
		char url[96];
		json_t *j;

		snprintf(url, sizeof(url), "%s/fake/stats", sys.servers[i].url);
		j = http_json("GET", url, NULL, NULL, NULL);
		sum += (long)json_integer_value(json_object_get(j, "started"));
		json_decref(j);
	}
	return sum;
}

static bool has_started(void *ctx)
{
	return started() > 0;
}

static bool batch_taken(void *ctx)
{
	char url[96];
	char body[BODY_LEN];
	struct http_opts o = {
		.method = "POST", .url = url, .bearer = key, .body = body};
	struct http_res res;
	int status;

	snprintf(url, sizeof(url), "%s/v1/rollouts", sys.nodes[0].url);
	snprintf(
		body, sizeof(body),
		"{\"batch\":\"b1\",\"trainer\":\"t1\",\"step\":1,\"version\":1,"
		"\"max_staleness\":2,\"route\":\"policy\",\"groups\":[{"
		"\"group\":\"g\",\"prompt\":[1,2],\"n\":%d,"
		"\"max_tokens\":200}]}",
		SLOTS);
	status = http_call(&o, &res);
	http_free(&res);
	return status == 202 || status == 200;
}

static void withdraw(void)
{
	char id[64];

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(key + 3, "_"), key + 3);
	assert_true(CTL_OK(&sys, "key", "withdraw", id));
}

static void test_withdrawn(void **state)
{
	long at_bound;

	assert_true(wait_until(batch_taken, NULL, UP_MS));
	assert_true(wait_until(has_started, NULL, UP_MS));
	withdraw();
	sleep(BOUND_S);
	at_bound = started();
	sleep(WATCH_S);
	printf("generations started: %ld until the bound, %ld after it\n",
	       at_bound, started() - at_bound);
	assert_true(at_bound < SLOTS);
	assert_int_equal(started(), at_bound);
}

/* Generation resumes once the team has a key again. */
static void test_granted_again(void **state)
{
	long before = started();

	assert_int_equal(ctl_grant(&sys, "depot", key, sizeof(key)), 0);
	for (int i = 0; i < UP_MS / 100 && started() == before; i++)
		usleep(100000);
	assert_true(started() > before);
}

static int start(void **state)
{
	const struct sys_opts o = {
		.domains = 1,
		.nodes_per_domain = 2,
		.engines_per_domain = 2,
	};

	assert_true(sys_start(&sys, &o));
	assert_true(CTL_OK(&sys, "team", "add", "depot"));
	assert_true(CTL_OK(&sys, "route", "add", "policy", "--engine"));
	assert_int_equal(ctl_grant(&sys, "depot", key, sizeof(key)), 0);
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
		cmocka_unit_test(test_withdrawn),
		cmocka_unit_test(test_granted_again),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
