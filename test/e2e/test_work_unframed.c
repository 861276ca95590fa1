// A backend server's answer without length and chunks whose connection is closed within
// its body: the caller gets no part of it as an answer, here or by way of a peer.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "support/ctl.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	START_TIMEOUT_MS = 30000,
};

static struct sys sys;

/* Book at a node. Returns the status; res is freed by the caller. */
static int book(int node, struct http_res *res)
{
	char url[128];
	struct http_opts o = {
		.method = "POST",
		.url = url,
		.body = "{\"call\":\"cut\"}",
	};

	snprintf(url, sizeof(url), "%s/v1/call/desk/book", sys.nodes[node].url);
	return http_call(&o, res);
}

static bool call_works(void *ctx)
{
	struct http_res res;
	int status = book(*(int *)ctx, &res);

	http_free(&res);
	return status == 200;
}

/* The second domain has no server: its node asks the first one's. */
static int start(void **state)
{
	struct sys_opts o = {
		.domains = 2,
		.nodes_per_domain = 1,
		.services_per_domain = 1,
		.empty_domain = 2,
	};

	if (!sys_start(&sys, &o) || !CTL_RUN_OK(&sys, "route", "add", "desk",
						"--service", "desk", "--open"))
		return -1;
	for (int i = 0; i < sys.n_nodes; i++) {
		if (!wait_until(call_works, &i, START_TIMEOUT_MS))
			return -1;
	}
	return 0;
}

static int stop(void **state)
{
	sys_stop(&sys);
	return 0;
}

static void cut_next_answer(void)
{
	char url[128];
	int status;

	snprintf(url, sizeof(url), "%s/fake/fault", sys.servers[0].url);
	json_decref(http_json("POST", url, NULL,
			      "{\"mode\":\"drop_unframed\",\"count\":1}",
			      &status));
	assert_int_equal(status, 200);
}

static void test_cut_answer_not_passed_on(void **state)
{
	int passed_on = 0;

	for (int i = 0; i < sys.n_nodes; i++) {
		struct http_res res;

		cut_next_answer();
		book(i, &res);
		print_message("node %d: curl %d, status %d, run %s, body %s\n",
			      i, res.curl, res.status, res.run,
			      res.body ? res.body : "");
		passed_on += res.status != 502 || strcmp(res.run, "maybe") != 0;
		http_free(&res);
	}
	assert_int_equal(passed_on, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut_answer_not_passed_on),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
