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
	WAIT_TIMEOUT_MS = 30000,
	WITHDRAWAL_S = 3, ///< until generations stop after a withdrawal
	OBSERVE_S = 2, ///< observation after the bound
	SAMPLES = 4000, ///< far more than can complete during the test
	BODY_LEN = 1024,
};

static struct sys sys;
static char key[256];

static long generations_started(void)
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

static bool generation_started(void *ctx)
{
	return generations_started() > 0;
}

static bool batch_accepted(void *ctx)
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
		SAMPLES);
	status = http_call(&o, &res);
	http_free(&res);
	return status == 202 || status == 200;
}

static void withdraw_key(void)
{
	char id[64];

	snprintf(id, sizeof(id), "%.*s", (int)strcspn(key + 3, "_"), key + 3);
	assert_true(CTL_RUN_OK(&sys, "key", "withdraw", id));
}

static void test_withdrawal_stops_generation(void **state)
{
	long started_at_bound;

	assert_true(wait_until(batch_accepted, NULL, WAIT_TIMEOUT_MS));
	assert_true(wait_until(generation_started, NULL, WAIT_TIMEOUT_MS));
	withdraw_key();
	sleep(WITHDRAWAL_S);
	started_at_bound = generations_started();
	sleep(OBSERVE_S);
	printf("generations started: %ld until the bound, %ld after it\n",
	       started_at_bound, generations_started() - started_at_bound);
	assert_true(started_at_bound < SAMPLES);
	assert_int_equal(generations_started(), started_at_bound);
}

/* Generation resumes once the team has a key again. */
static void test_new_key_resumes_generation(void **state)
{
	long before = generations_started();

	assert_int_equal(ctl_grant(&sys, "depot", key, sizeof(key)), 0);
	for (int i = 0;
	     i < WAIT_TIMEOUT_MS / 100 && generations_started() == before; i++)
		usleep(100000);
	assert_true(generations_started() > before);
}

static int start(void **state)
{
	const struct sys_opts o = {
		.domains = 1,
		.nodes_per_domain = 2,
		.engines_per_domain = 2,
	};

	assert_true(sys_start(&sys, &o));
	assert_true(CTL_RUN_OK(&sys, "team", "add", "depot"));
	assert_true(CTL_RUN_OK(&sys, "route", "add", "policy", "--engine"));
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
		cmocka_unit_test(test_withdrawal_stops_generation),
		cmocka_unit_test(test_new_key_resumes_generation),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
