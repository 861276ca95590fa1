// Servers break answers off, send them twice or without a length: no caller gets a
// success that looks whole and is not its server's whole body, and what may not be
// repeated runs at most once.
#include <pthread.h>
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <curl/curl.h>

#include "base/rng.h"
#include "nodes.h"
#include "faulty_server.h"

enum {
	CALLERS = 4,
	CALLS = 150, ///< of each caller
	STOPPED = 0, ///< node that is stopped and started again
	FAULTY_PORT = 7940,
	NODE_MS =
		10000, ///< for a node to stop, or to start and know the servers
	RUNS_MAX = 4, ///< of a call: two attempts and what libcurl adds
	SHOWN_MAX = 3, ///< calls of each kind that are printed
	END_CHARS = 40, ///< of a body that are printed
};

/* What became of a call, those from WRONG_BODY on are not allowed. */
enum end {
	WHOLE,
	UNFRAMED,
	REFUSED,
	FAILED,
	WRONG_BODY,
	WRONG_ID,
	RAN_TWICE,
	REFUSED_RUN,
	NOT_SERVED,
	BROKEN,
	ENDS
};

static const char *const end_names[ENDS] = {"whole",
					    "without a length",
					    "refused or not reached",
					    "failed",
					    "WRONG BODY",
					    "WRONG ID",
					    "RAN TWICE",
					    "REFUSED AS NOT RUN",
					    "SOUND AND NOT SERVED",
					    "BROKEN OFF BY THE NODE"};

struct call {
	char id[32];
	const char *path;
	bool once; ///< may not be repeated
	struct response a;
	struct faulty_run runs[RUNS_MAX + 1]; ///< the last has len 0
	int n_runs;
};

static struct hosted h;
static struct nodes ns;
static struct faulty_server srv;
static struct call calls[CALLERS][CALLS];
static atomic_int n_done;

static bool is_served(void *ctx)
{
	static int n;
	struct response a;
	char id[32];
	bool ok;

	snprintf(id, sizeof(id), "known%d", n++);
	node_call(&ns, *(int *)ctx, "POST", "/book/s", "k1", id, id, &a);
	ok = a.status == 200;
	response_free(&a);
	return ok;
}

static int setup(void **state)
{
	const char *seed = getenv("FAULTY_SEED");
	bool ok;

	if (!hosted_start(&h) ||
	    !faulty_server_start(&srv, h.ip, FAULTY_PORT,
				 seed ? strtoull(seed, NULL, 10) : 1))
		return -1;
	for (int i = 0; i < FAULTY_ADDRS; i++) {
		struct hosted_server *s = &h.servers[HOSTED_ENGINES + i];

		snprintf(s->addr, sizeof(s->addr), "%s", srv.addrs[i]);
		hosted_publish(&h, s);
	}
	nodes_init(&ns, &h, NODES, NODES_ENTRY);
	/* All may be sent once more, or hedged. */
	ns.settings = "[front]\nhedge_percent = 100\n";
	ok = nodes_start_all(&ns);
	for (int i = 0; ok && i < NODES_ENTRY; i++)
		ok = wait_until(is_served, &i, NODE_MS);
	return ok ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static void *caller_run(void *ctx)
{
	struct call *l = ctx;
	struct rng r = {srv.seed ^ (uint64_t)(l - calls[0])};
	CURL *kept = curl_easy_init();

	for (int i = 0; i < CALLS; i++, l++, atomic_fetch_add(&n_done, 1)) {
		int node = (int)rng_below(&r, NODES_ENTRY);
		CURL *e = kept;

		snprintf(l->id, sizeof(l->id), "s%d", (int)(l - calls[0]));
		l->path = rng_below(&r, 3) ? "/book/s" : "/pay/s";
		l->once = l->path[1] == 'p';
		/* libcurl itself repeats what a closing connection takes along. */
		if (rng_below(&r, 2) || (l->once && node == STOPPED))
			e = curl_easy_init();
		node_call_with(e, &ns, node, "POST", l->path, "k1", l->id,
			       l->id, &l->a);
		if (e != kept)
			curl_easy_cleanup(e);
	}
	curl_easy_cleanup(kept);
	return NULL;
}

/* What a success is; without a length it may be short if a server stated none. */
static enum end success(const struct call *l, bool unframed)
{
	char body[FAULTY_BODY_MAX];
	size_t len = l->a.len;
	bool framed = *l->a.length || *l->a.coding;

	faulty_body(l->id, body);
	if (strcmp(l->a.id, l->id) != 0)
		return WRONG_ID;
	if (!l->a.complete)
		return BROKEN;
	if (len > strlen(body) || (len && memcmp(l->a.body, body, len) != 0) ||
	    (framed ? len < strlen(body) : !unframed))
		return WRONG_BODY;
	return framed ? WHOLE : UNFRAMED;
}

static enum end judge(const struct call *l)
{
	int status = l->a.status;
	bool refused = status == 503 || status == 429 || status == 408 ||
		       status == 421;
	bool sound = false, unframed = false;
	enum end end = refused ? REFUSED : FAILED;

	for (int i = 0; i < l->n_runs && i < RUNS_MAX; i++) {
		sound |= l->runs[i].sound;
		unframed |= l->runs[i].framing == FAULTY_UNFRAMED;
	}
	if (l->once && l->n_runs > 1)
		return RAN_TWICE;
	if (l->once && l->n_runs && refused)
		return REFUSED_RUN;
	if (!status)
		end = l->n_runs ? BROKEN : REFUSED;
	else if (status / 100 == 2)
		end = success(l, unframed);
	return sound && end != WHOLE && end < WRONG_BODY ? NOT_SERVED : end;
}

static void show(const struct call *l, enum end end)
{
	const struct response *a = &l->a;
	size_t skip = a->len > END_CHARS ? a->len - END_CHARS : 0;

	print_message("%s: %s %s: %d, %zu bytes, length \"%s\", ends \"%s\"\n",
		      end_names[end], l->path, l->id, a->status, a->len,
		      a->length, a->body ? a->body + skip : "");
	for (const struct faulty_run *r = l->runs; r->len; r++)
		print_message("  run: framing %d, %zu of %zu sent, next %d, "
			      "%zu of the copy, sound %d\n",
			      r->framing, r->sent, r->len, r->next, r->copied,
			      r->sound);
}

static void test_doubled_answer_does_not_look_whole(void **state)
{
	struct proc *stopped = &ns.list[STOPPED].proc;
	pthread_t threads[CALLERS];
	int counts[ENDS] = {0};
	int status = -1;
	bool started;

	for (int i = 0; i < CALLERS; i++)
		pthread_create(&threads[i], NULL, caller_run, calls[i]);
	while (atomic_load(&n_done) < CALLERS * CALLS / 2)
		usleep(1000);
	proc_signal(stopped, SIGTERM);
	started = proc_wait(stopped, NODE_MS, &status) &&
		  node_start(&ns, STOPPED) &&
		  node_wait_ready(&ns, STOPPED, NODE_MS);
	for (int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	for (int i = 0; i < CALLERS * CALLS; i++) {
		struct call *l = &calls[i / CALLS][i % CALLS];
		enum end end;

		l->n_runs = faulty_server_runs(&srv, l->id, l->runs, RUNS_MAX);
		end = judge(l);
		if (counts[end]++ < SHOWN_MAX && end >= WRONG_BODY)
			show(l, end);
		response_free(&l->a);
	}
	print_message("seed %llu: ", (unsigned long long)srv.seed);
	for (int i = 0; i < ENDS; i++)
		print_message("%d %s, ", counts[i], end_names[i]);
	print_message("%ld hedges at a node\n",
		      node_metric(&ns, 1, "catkinpath_work_hedges_total"));
	assert_true(started);
	assert_int_equal(status, 0);
	for (int i = WRONG_BODY; i < ENDS; i++)
		assert_int_equal(counts[i], 0);
	/* 7 in 24 of the first answers are sound; calls fail while a node is down. */
	assert_true(counts[WHOLE] >= CALLERS * CALLS / 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_doubled_answer_does_not_look_whole),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
