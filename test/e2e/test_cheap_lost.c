// All cheap engines of a failure domain get 5 s notice and are then killed in
// mid-batch: the trainer still gets every sample exactly once and correct, and
// no booking is lost.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/ctl.h"
#include "support/desk.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	NOTICE_S = 5,
	START_TIMEOUT_MS = 30000,
	BATCH_TIMEOUT_MS = 120000,
	CALLS_PER_S = 10, ///< per caller
};

static const char lost_domain[] = "d2";
static struct sys sys;
static struct desk desk;

static bool in_lost_domain(const struct sys_server *v)
{
	return v->engine && strcmp(v->domain, lost_domain) == 0;
}

/* Generations started on the engines of the lost failure domain. */
static long generations_started(void)
{
	long sum = 0;

	for (int i = 0; i < sys.n_servers; i++) {
		char url[96];
		json_t *j;

		if (!in_lost_domain(&sys.servers[i]))
			continue;
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

static void send_leave_notices(void)
{
	for (int i = 0; i < sys.n_servers; i++) {
		const struct sys_server *v = &sys.servers[i];
		char url[96];
		char body[256];
		int status;

		if (!in_lost_domain(v))
			continue;
		snprintf(url, sizeof(url), "%s/fake/vms", sys.platform_url);
		snprintf(body, sizeof(body),
			 "{\"id\":\"%s\",\"addr\":\"%s\",\"domain\":\"%s\","
			 "\"kind\":\"engine\",\"service\":\"\",\"cheap\":true,"
			 "\"state\":\"leaving\"}",
			 v->id, v->url + strlen("http://"), v->domain);
		json_decref(http_json("POST", url, NULL, body, &status));
		assert_int_equal(status, 200);
	}
}

static void kill_lost_engines(void)
{
	for (int i = 0; i < sys.n_servers; i++) {
		if (in_lost_domain(&sys.servers[i]))
			proc_kill(&sys.servers[i].proc);
	}
}

static void start_trainer(struct proc *p)
{
	const char *argv[] = {"fake_trainer",
			      "--node",
			      sys.nodes[1].url,
			      "--node",
			      sys.nodes[0].url,
			      "--key",
			      desk.key,
			      "--route",
			      "policy",
			      "--trainer",
			      "t1",
			      "--step",
			      "1",
			      "--groups",
			      "300",
			      "--n",
			      "6",
			      "--max-tokens",
			      "400",
			      NULL};

	assert_true(proc_start(p, "trainer", argv));
}

static void test_batch_survives_loss_of_cheap_domain(void **state)
{
	struct load_count n;
	struct load *l;
	struct proc trainer;
	int status = -1;

	l = desk_start_load(&sys, &desk, "", CALLS_PER_S);
	start_trainer(&trainer);
	assert_true(wait_until(generation_started, NULL, START_TIMEOUT_MS));
	sleep(1);
	send_leave_notices();
	sleep(NOTICE_S);
	printf("%ld generations started on the cheap engines\n",
	       generations_started());
	/* The batch must still be open, or the loss would prove nothing. */
	assert_false(proc_wait(&trainer, 0, &status));
	kill_lost_engines();
	assert_true(proc_wait(&trainer, BATCH_TIMEOUT_MS, &status));
	load_take(l, &n);
	load_stop(l);
	printf("bookings: %d sent, %d answered\n", n.sent, n.answered);
	assert_true(WIFEXITED(status));
	assert_int_equal(WEXITSTATUS(status), 0);
	assert_int_equal(n.answered, n.sent);
}

static int start(void **state)
{
	static const char *const engine_args[] = {
		"--cheap", "--slots", "8", "--token-us", "2000", NULL};
	const struct sys_opts o = {
		.domains = 2,
		.nodes_per_domain = 1,
		.engines_per_domain = 3,
		.services_per_domain = 1,
		.engine_args = engine_args,
	};

	assert_true(desk_start(&sys, &o, &desk));
	assert_true(CTL_RUN_OK(&sys, "route", "add", "policy", "--engine"));
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
		cmocka_unit_test(test_batch_survives_loss_of_cheap_domain),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
