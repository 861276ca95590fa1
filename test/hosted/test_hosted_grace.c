// A node that was told to stop took requests until the platform ended its process: those
// that came late were passed on and then cut off with no answer.
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "base/clock.h"
#include "nodes.h"

enum {
	STOPPED = 0, ///< the node
	GRACE_MS = 4000,
	CALLERS = 12,
	BOOKING_MS = 700, ///< less than a deadline
	/// A machine of the platform ends a process this long after SIGTERM at the earliest.
	KILLED_MS = GRACE_MS,
	CALMED_MS = 500, ///< load before the stop
};

static struct hosted h;
static struct nodes ns;
static atomic_bool done;
static atomic_int n_calls;

struct caller {
	pthread_t thread;
	int n;
	const char *path;
	int cut; ///< requests that a server got and nobody answered
	int answered;
};

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	for (int i = HOSTED_ENGINES; i < HOSTED_SERVERS; i++)
		h.servers[i].booking_ms = BOOKING_MS;
	nodes_init(&ns, &h, NODES, NODES_ENTRY);
	ns.settings = "[node]\ngrace = 4s\n";
	return nodes_start_all(&ns) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

/* Calls until the node is gone, half of the callers on connections that stay open. */
static void *call(void *ctx)
{
	struct caller *l = ctx;
	CURL *kept = curl_easy_init();

	for (int i = 0; !done; i++) {
		struct response a;
		char id[32];

		snprintf(id, sizeof(id), "g%d-%d", l->n, i);
		if (l->n % 2)
			node_call_with(kept, &ns, STOPPED, "POST", l->path,
				       "k1", id, id, &a);
		else
			node_call(&ns, STOPPED, "POST", l->path, "k1", id, id,
				  &a);
		l->cut += a.status == 0 && hosted_run_count(&h, id) > 0;
		l->answered += a.status == 200;
		n_calls++;
		if (a.status != 200)
			usleep(5000);
		response_free(&a);
	}
	curl_easy_cleanup(kept);
	return NULL;
}

static void test_no_request_is_cut_at_the_end_of_the_grace(void **state)
{
	struct caller callers[CALLERS] = {0};
	int64_t killed_ms;
	int cut = 0;
	int answered = 0;

	for (int i = 0; i < CALLERS; i++) {
		callers[i].n = i;
		callers[i].path = i % 3 ? "/book/g" : "/pay/g";
		pthread_create(&callers[i].thread, NULL, call, &callers[i]);
	}
	usleep(CALMED_MS * 1000);
	proc_signal(&ns.list[STOPPED].proc, SIGTERM);
	killed_ms = clock_now_ms() + KILLED_MS;
	if (!proc_wait(&ns.list[STOPPED].proc,
		       (int)(killed_ms - clock_now_ms()), NULL))
		proc_kill(&ns.list[STOPPED].proc);
	usleep(100 * 1000);
	done = true;
	for (int i = 0; i < CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		cut += callers[i].cut;
		answered += callers[i].answered;
	}
	print_message("%d calls, %d answered, %d passed on and cut off\n",
		      (int)n_calls, answered, cut);
	assert_int_equal(cut, 0);
	/* It served while it stopped. */
	assert_true(answered > CALLERS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_no_request_is_cut_at_the_end_of_the_grace),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
