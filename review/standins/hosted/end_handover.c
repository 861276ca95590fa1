// Trainers end their batches while the node that runs them is stopped, to leave; what was
// read of the batches before is read again once nothing has happened for a while.
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "world.h"

enum {
	BATCHES = 10,
	ITEMS = 60, ///< of a batch, beside one slow item
	LISTED_MS = 30000, ///< until all but the slow items are read
	FIRST_END_MS = 80, ///< from SIGTERM to the first end
	END_STEP_MS = 5, ///< from one end to the next
	SETTLE_MS = 1000, ///< settle_ms of the deployment
	CONTACT_MS = 3500, ///< more than its contact_ms
	AGAIN_FROM = 50, ///< position from which a batch is read again
	AGAIN_MS = 4000,
	PROC_END_MS = 12000,
	READY_MS = 15000,
	ROUNDS = 5, ///< nodes that are stopped in turn
};

static struct world w;
static int round_no;

static void batch_id(int i, char *id, size_t len)
{
	snprintf(id, len, "R%dB%d", round_no, i);
}

/* Reads a batch from a position on, as a trainer does.
 *
 * @return the next position, -1 without a 200 */
static int read_from(int node, const char *id, int after, int *status)
{
	struct response a;
	char path[128];
	json_t *obj;
	int next = -1;

	snprintf(path, sizeof(path), "/catkinpath/lots/%s?after=%d", id, after);
	node_call(&w.ns, node, "GET", path, "k1", NULL, NULL, &a);
	*status = a.status;
	obj = a.status == 200 ? json_loadb(a.body, a.len, 0, NULL) : NULL;
	if (obj)
		next = (int)json_integer_value(json_object_get(obj, "next"));
	json_decref(obj);
	response_free(&a);
	return next;
}

static void read_all_before(void)
{
	int64_t until = clock_now_ms() + LISTED_MS;

	for (int i = 0; i < BATCHES; i++) {
		char id[16];
		int n = 0;
		int next, status;

		batch_id(i, id, sizeof(id));
		while (n < ITEMS && clock_now_ms() < until) {
			next = read_from(i % WORLD_ENTRIES, id, n, &status);
			n = next > n ? next : n;
		}
		world_note(&w, "read batch %s: %d results of %d", id, n,
			   ITEMS + 1);
		if (n < ITEMS)
			world_give_up(&w, "results did not come");
	}
}

/* Each trainer ends its own batch. */
static void end_batches(void)
{
	struct node_caller l[BATCHES];

	for (int i = 0; i < BATCHES; i++) {
		char id[16];

		l[i] = (struct node_caller){
			.ns = &w.ns,
			.node = i % WORLD_ENTRIES,
			.method = "DELETE",
		};
		batch_id(i, id, sizeof(id));
		snprintf(l[i].path, sizeof(l[i].path), "/catkinpath/lots/%s",
			 id);
		node_caller_start(&l[i]);
		world_sleep_ms(END_STEP_MS);
	}
	for (int i = 0; i < BATCHES; i++) {
		node_caller_join(&l[i]);
		world_note(&w, "ended batch R%dB%d at %s: status %d", round_no,
			   i, w.ns.list[i % WORLD_ENTRIES].id,
			   l[i].answer.status);
		response_free(&l[i].answer);
	}
}

/* Reads what was read before; counts the batches of which some of it does not come. */
static int count_lost(void)
{
	int lost = 0;

	for (int i = 0; i < BATCHES; i++) {
		int64_t until = clock_now_ms() + AGAIN_MS;
		char id[16];
		int empty = 0;
		int refused = 0;
		int status = 0;
		int n = AGAIN_FROM;

		batch_id(i, id, sizeof(id));
		while (n < ITEMS && clock_now_ms() < until) {
			int next = read_from(i % WORLD_ENTRIES, id, n, &status);

			empty += next == n;
			refused += next < 0;
			n = next > n ? next : n;
			if (next < 0)
				world_sleep_ms(200);
		}
		world_note(&w,
			   "read batch %s again from position %d: up to %d; "
			   "answers without a result that had been read: %d "
			   "with status 200, %d without (last status %d)",
			   id, AGAIN_FROM, n, empty, refused, status);
		lost += n < ITEMS && empty > 0;
	}
	return lost;
}

static void submit_all(void)
{
	for (int i = 0; i < BATCHES; i++) {
		char id[16];
		char *body;

		batch_id(i, id, sizeof(id));
		body = world_batch(id, "/learn/", ITEMS + 1);
		if (world_submit(&w, i % WORLD_ENTRIES, id, "/learn/", body) !=
		    202)
			world_give_up(&w, "a batch was not accepted");
		free(body);
	}
}

/* Stops the node that runs the batches, while their trainers end them. It is away when
 * they are read again, and comes back for the next round. */
static int play_round(void)
{
	struct node *n;
	char id[16];
	int home, lost;

	submit_all();
	read_all_before();
	batch_id(0, id, sizeof(id));
	home = world_runner(&w, id);
	if (home < WORLD_ENTRIES)
		world_give_up(&w, "no lead node runs the batches");
	world_sleep_ms(SETTLE_MS);
	n = &w.ns.list[home];
	if (world_trouble()) {
		world_note(&w, "SIGTERM to %s", n->id);
		proc_signal(&n->proc, SIGTERM);
		world_sleep_ms(FIRST_END_MS);
	}
	end_batches();
	if (!world_trouble()) {
		world_sleep_ms(CONTACT_MS);
		return count_lost();
	}
	if (!proc_wait(&n->proc, PROC_END_MS, NULL))
		world_give_up(&w, "a stopped node did not end");
	world_note(&w, "%s has ended", n->id);
	world_sleep_ms(CONTACT_MS);
	lost = count_lost();
	if (lost)
		return lost;
	if (!node_start(&w.ns, home) || !node_wait_ready(&w.ns, home, READY_MS))
		world_give_up(&w, "a stopped node did not come back");
	world_note(&w, "%s is back", n->id);
	return 0;
}

int main(void)
{
	char what[160];
	int lost = 0;

	world_slow_from = ITEMS;
	world_start(&w);
	w.ns.wait_ms = 1000;
	world_publish_conf(&w);
	world_sleep_ms(1000);
	for (; !lost && round_no < ROUNDS; round_no++)
		lost = play_round();
	snprintf(what, sizeof(what),
		 "after %d stops, %d of %d batches do not give results that "
		 "had been read",
		 round_no, lost, BATCHES);
	world_finish(&w, lost > 0, what);
}
