// Faulty servers sent bytes without end, in heads and in bodies: the node that called them
// kept them all, and ended with the requests of its other clients.
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "dup_server.h"
#include "nodes.h"

enum {
	CALLED = 0, ///< the node
	CALLERS = 64, ///< of endless answers at a time
	OTHERS = 40, ///< calls of another client meanwhile, one after the other
	DUP_SERVER_PORT = 7940,
	KNOWN_MS = 10000,
	HELD_MAX_BYTES = 110 * 1024 * 1024 / 8, ///< [node] memory, an eighth
};

static struct hosted h;
static struct nodes ns;
static struct dup_server server;
static atomic_bool done;

struct caller {
	pthread_t thread;
	int n;
	int kind;
};

static bool is_served(void *ctx)
{
	struct response a;
	bool ok;

	node_call(&ns, CALLED, "POST", "/book/known", "k1", "known", "x", &a);
	ok = a.status == 200;
	response_free(&a);
	return ok;
}

static int setup(void **state)
{
	struct hosted_server *s = &h.servers[HOSTED_ENGINES];

	if (!hosted_start(&h) ||
	    !dup_server_start(&server, h.ip, DUP_SERVER_PORT))
		return -1;
	snprintf(s->addr, sizeof(s->addr), "%s", server.addr);
	hosted_publish(&h, s);
	nodes_init(&ns, &h, NODES, NODES_ENTRY);
	ns.settings = "[node]\nmemory = 110MB\n";
	if (!nodes_start_all(&ns))
		return -1;
	return wait_until(is_served, NULL, KNOWN_MS) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static void *ask_endlessly(void *ctx)
{
	const struct caller *l = ctx;

	for (int i = 0; !done; i++) {
		struct response a;
		char id[48], body[64];

		snprintf(id, sizeof(id), "e%d-%d-%d", l->kind, l->n, i);
		snprintf(body, sizeof(body), "end%s", id);
		node_call(&ns, CALLED, "POST", "/book/e", "k1", id, body, &a);
		response_free(&a);
	}
	return NULL;
}

static long rss_kb(void)
{
	char path[64], line[128];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status",
		 (int)ns.list[CALLED].proc.pid);
	f = fopen(path, "re");
	while (f && fgets(line, sizeof(line), f)) {
		if (strncmp(line, "VmHWM:", 6) == 0)
			kb = strtol(line + 6, NULL, 10);
	}
	if (f)
		fclose(f);
	return kb;
}

/* What another client of the node gets while all servers' answers are endless. */
static void check_kind(int kind)
{
	static struct caller callers[CALLERS];
	long held_max = 0;
	int served = 0;

	atomic_store(&server.answer, kind);
	done = false;
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){.n = i, .kind = kind};
		pthread_create(&callers[i].thread, NULL, ask_endlessly,
			       &callers[i]);
	}
	for (int i = 0; i < OTHERS; i++) {
		struct response a;
		char id[32];
		long held;

		usleep(50000);
		snprintf(id, sizeof(id), "o%d-%d", kind, i);
		node_call(&ns, CALLED, "POST", "/book/o", "k1", id, id, &a);
		served += a.status == 200;
		response_free(&a);
		held = node_metric(&ns, CALLED,
				   "catkinpath_upstream_held_bytes");
		held_max = held > held_max ? held : held_max;
	}
	done = true;
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	print_message(
		"kind %d: %d of %d others answered, held %ld, rss %ld KB\n",
		kind, served, OTHERS, held_max, rss_kb());
	assert_false(proc_wait(&ns.list[CALLED].proc, 0, NULL));
	assert_in_range(held_max, 1, HELD_MAX_BYTES);
	assert_int_equal(served, OTHERS);
	atomic_store(&server.answer, DUP_ANSWER_WHOLE);
}

static void test_endless_answers_do_not_fill_the_memory(void **state)
{
	for (int k = DUP_ANSWER_ENDLESS_BODY; k < DUP_ANSWERS_ENDLESS_END; k++)
		check_kind(k);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_endless_answers_do_not_fill_the_memory),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
