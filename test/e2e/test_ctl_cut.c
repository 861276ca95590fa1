// catkinctl and nodes whose answers are cut: it asks the next node, and says of a write
// that its outcome is unknown.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <cmocka.h>

#include "support/addr.h"
#include "support/cut_server.h"
#include "support/proc.h"

enum {
	ADMIN_PORT = 8001,
	CTL_TIMEOUT_MS = 30000,
	NODES = 2,
	ARGS_MAX = 8,
	EXIT_OUTCOME_UNKNOWN = 3,
};

static struct cut_server *nodes[NODES];
static char urls[NODES][64];

static const char whole[] = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n"
			    "{\"from\":\"second\"}";

/* Each is cut: within its head, and within a body without a length. */
static const char *const cut[] = {
	"HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
	"HTTP/1.1 200 OK\r\n\r\n{\"from\":\"first\",\"rev\":7}",
};

enum {
	CUTS = sizeof(cut) / sizeof(cut[0]),
};

static void answer(int node, const char *text)
{
	cut_server_set(nodes[node], text, strlen(text));
}

/* Run catkinctl at the first n nodes. Returns its exit code. */
static int run_ctl(int n, const char *const *args, char *out, size_t len)
{
	static int runs;
	const char *argv[2 * NODES + ARGS_MAX] = {"catkinctl"};
	struct proc p;
	char name[32];
	int argc = 1;
	int status = 0;
	FILE *f;

	for (int i = 0; i < n; i++) {
		argv[argc++] = "--node";
		argv[argc++] = urls[i];
	}
	while (*args)
		argv[argc++] = *args++;
	snprintf(name, sizeof(name), "cut%d", runs++);
	assert_true(proc_start(&p, name, argv));
	assert_true(proc_wait(&p, CTL_TIMEOUT_MS, &status));
	f = fopen(p.log, "r");
	assert_non_null(f);
	out[fread(out, 1, len - 1, f)] = '\0';
	fclose(f);
	remove(p.log);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static void test_cut_answer_to_read_not_shown(void **state)
{
	static const char *const args[] = {"status", NULL};
	int wrong = 0;

	answer(1, whole);
	for (int i = 0; i < CUTS; i++) {
		char out[1024];
		int rc;

		answer(0, cut[i]);
		rc = run_ctl(NODES, args, out, sizeof(out));
		if (rc == 0 && strcmp(out, "from: second\n") == 0)
			continue;
		wrong++;
		print_message("cut %d: exit %d, shown '%s'\n", i, rc, out);
	}
	assert_int_equal(wrong, 0);
}

static int count_known_outcomes(const char *const *args)
{
	int known = 0;

	for (int i = 0; i < CUTS; i++) {
		char out[1024];
		int before = cut_server_requests(nodes[0]);
		int rc;

		answer(0, cut[i]);
		rc = run_ctl(1, args, out, sizeof(out));
		assert_true(cut_server_requests(nodes[0]) > before);
		if (rc == EXIT_OUTCOME_UNKNOWN)
			continue;
		known++;
		print_message("cut %d: exit %d, shown '%s'\n", i, rc, out);
	}
	return known;
}

static void test_cut_answer_to_edit_not_accepted(void **state)
{
	static const char *const args[] = {"team",   "add", "a",
					   "--wait", "0",   NULL};

	assert_int_equal(count_known_outcomes(args), 0);
}

static void test_cut_answer_to_clear_not_called_unsent(void **state)
{
	static const char *const args[] = {"suspects", "clear", "id", NULL};

	assert_int_equal(count_known_outcomes(args), 0);
}

static int start(void **state)
{
	for (int i = 0; i < NODES; i++) {
		char ip[16];

		nodes[i] = cut_server_start(addr_ip(i, ip), ADMIN_PORT);
		if (!nodes[i])
			return -1;
		snprintf(urls[i], sizeof(urls[i]), "http://%s:%d", ip,
			 ADMIN_PORT);
	}
	return 0;
}

static int stop(void **state)
{
	for (int i = 0; i < NODES; i++)
		cut_server_stop(nodes[i]);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_cut_answer_to_read_not_shown),
		cmocka_unit_test(test_cut_answer_to_edit_not_accepted),
		cmocka_unit_test(test_cut_answer_to_clear_not_called_unsent),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
