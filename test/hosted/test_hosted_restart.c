// An entry node that was killed and started again gave its clients the answers that homes
// had for reads of its earlier process: other batches' totals, items and texts.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/rng.h"
#include "batches.h"

enum {
	ENTRY = 0, ///< the node that is killed
	OTHER_ENTRY = 1, ///< accepts the batches
	ROUNDS = 5,
	OLD_BATCHES = 4,
	OLD_ITEMS = 8, ///< of each
	NEW_ITEMS = 12,
	OLD_READERS = 12, ///< wait when the node is killed
	NEW_READERS = 40, ///< come afterwards
	NEW_READ_INTERVAL_MS = 12,
	READ_WAIT_MS = 1000,
	EVENT_MS = 100, ///< between events of a text
	READ_AFTER_MS = 330, ///< the first results come a second after a batch
	HOME_HELD_MAX_MS = 3000, ///< a home's process is stopped
	SETTLE_MS = 2500, ///< nodes connect to homes
	HOME_MS = 30000,
};

static struct hosted h;
static struct nodes ns;

static int setup(void **state)
{
	if (!hosted_start(&h))
		return -1;
	hosted_set_version(&h, 1);
	return nodes_start_default(&ns, &h) ? 0 : -1;
}

static int teardown(void **state)
{
	nodes_stop(&ns);
	hosted_stop(&h);
	return 0;
}

static void start_reader(struct node_caller *l, const char *batch)
{
	*l = (struct node_caller){.ns = &ns, .node = ENTRY, .method = "GET"};
	snprintf(l->path, sizeof(l->path), "/catkinpath/lots/%s?after=0",
		 batch);
	node_caller_start(l);
}

/* @return signs of another batch in a reader's answer */
static int join_reader(struct node_caller *l, const char *batch, int total,
		       int *answered)
{
	json_t *page, *results;
	int n = 0;

	node_caller_join(l);
	page = json_loadb(l->answer.body ? l->answer.body : "", l->answer.len,
			  0, NULL);
	results = json_object_get(page, "results");
	if (l->answer.status == 200 && l->answer.body)
		n = json_integer_value(json_object_get(page, "total")) != total;
	for (size_t i = 0; i < json_array_size(results); i++) {
		const char *id = json_string_value(
			json_object_get(json_array_get(results, i), "id"));

		n += !id || strncmp(id, batch, strlen(batch)) != 0;
	}
	*answered += l->answer.status == 200;
	json_decref(page);
	response_free(&l->answer);
	return n;
}

static void submit(const char *id, int items)
{
	char *body = batch_body(id, items, 1);
	struct response a;
	char path[64];

	snprintf(path, sizeof(path), "/learn/%s", id);
	node_call(&ns, OTHER_ENTRY, "POST", path, "k1", id, body, &a);
	assert_int_equal(a.status, 202);
	response_free(&a);
	free(body);
}

/* What happens while the old readers wait, drawn for each round but the first. */
struct trouble {
	int kills; ///< of the entry node, one after the other
	int down_ms; ///< between its end and its next start
	bool home_killed; ///< it answers with a new process, or not at all
	int home_held_ms; ///< its process is stopped for so long
};

static struct trouble draw_trouble(struct rng *rng, int round)
{
	struct trouble t = {.kills = 1, .down_ms = 20};

	if (round == 0)
		return t;
	t.kills = 1 + (int)rng_below(rng, 2);
	t.down_ms = (int)rng_below(rng, 150);
	t.home_killed = rng_below(rng, 3) == 0;
	if (!t.home_killed && rng_below(rng, 2))
		t.home_held_ms = (int)rng_below(rng, HOME_HELD_MAX_MS);
	return t;
}

static void start_trouble(const struct trouble *t, int home)
{
	if (t->home_held_ms)
		proc_signal(&ns.list[home].proc, SIGSTOP);
	if (t->home_killed) {
		proc_kill(&ns.list[home].proc);
		assert_true(node_start(&ns, home));
	}
	for (int i = 0; i < t->kills; i++) {
		proc_kill(&ns.list[ENTRY].proc);
		usleep((useconds_t)t->down_ms * 1000);
		assert_true(node_start(&ns, ENTRY));
	}
}

/* @return signs of other batches in the answers */
static int run_round(int round, const struct trouble *t, int home,
		     int *answered)
{
	struct node_caller old[OLD_READERS], new[NEW_READERS];
	int64_t held_until_ms;
	char id[OLD_BATCHES][32], own[32];
	int foreign = 0, ignored = 0;

	snprintf(own, sizeof(own), "Lnew%d", round);
	submit(own, NEW_ITEMS);
	for (int i = 0; i < OLD_BATCHES; i++) {
		snprintf(id[i], sizeof(id[i]), "old%d-%d", round, i);
		submit(id[i], OLD_ITEMS);
	}
	usleep(READ_AFTER_MS * 1000);
	for (int i = 0; i < OLD_READERS; i++)
		start_reader(&old[i], id[i % OLD_BATCHES]);
	usleep(25 * 1000);
	held_until_ms = clock_now_ms() + t->home_held_ms;
	start_trouble(t, home);
	usleep(500 * 1000);
	for (int i = 0; i < NEW_READERS; i++) {
		usleep(NEW_READ_INTERVAL_MS * 1000);
		start_reader(&new[i], own);
	}
	if (held_until_ms > clock_now_ms())
		usleep((useconds_t)(held_until_ms - clock_now_ms()) * 1000);
	if (t->home_held_ms)
		proc_signal(&ns.list[home].proc, SIGCONT);
	for (int i = 0; i < OLD_READERS; i++)
		foreign += join_reader(&old[i], id[i % OLD_BATCHES], OLD_ITEMS,
				       &ignored);
	for (int i = 0; i < NEW_READERS; i++)
		foreign += join_reader(&new[i], own, NEW_ITEMS, answered);
	return foreign;
}

static void test_no_answer_of_an_earlier_process(void **state)
{
	const char *text = getenv("RESTART_SEED");
	uint64_t seed = text ? strtoull(text, NULL, 0) : 1;
	struct rng rng = {seed};
	int answered = 0;
	long dropped = 0;

	batch_wait_home_owner(&ns, clock_now_ms() + HOME_MS);
	ns.wait_ms = READ_WAIT_MS;
	h.event_ms = EVENT_MS;
	for (int round = 0; round < ROUNDS; round++) {
		struct trouble t = draw_trouble(&rng, round);
		int home, foreign;
		char id[32];
		long n;

		usleep(SETTLE_MS * 1000);
		snprintf(id, sizeof(id), "probe%d", round);
		submit(id, 2);
		home = batch_owner(&ns, id);
		assert_true(home >= 0);
		foreign = run_round(round, &t, home, &answered);
		if (foreign)
			fail_msg("RESTART_SEED=%llu, round %d: %d signs of "
				 "other batches",
				 (unsigned long long)seed, round, foreign);
		n = node_metric(&ns, ENTRY,
				"catkinpath_peer_other_process_total");
		dropped += n > 0 ? n : 0;
	}
	assert_true(answered > 0);
	/* Otherwise no reply of a home reached another process. */
	assert_true(dropped > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_no_answer_of_an_earlier_process),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
