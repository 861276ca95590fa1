// Judges what was seen once all is well again.
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "soak.h"

enum {
	READ_PAUSE_MS = 50,
};

/* Runs by id, for counting. */
static int run_compare(const void *a, const void *b)
{
	const struct hosted_run *x = a;
	const struct hosted_run *y = b;

	return strcmp(x->id, y->id);
}

/* First of the runs of an id, after sorting; n is their count. */
static const struct hosted_run *runs_of(const struct hosted *h, const char *id,
					int *n)
{
	struct hosted_run key = {0};
	const struct hosted_run *end = h->runs + h->n_runs;
	const struct hosted_run *first;
	const struct hosted_run *r;

	*n = 0;
	strncpy(key.id, id, sizeof(key.id) - 1);
	first = bsearch(&key, h->runs, (size_t)h->n_runs, sizeof(key),
			run_compare);
	if (!first)
		return NULL;
	while (first > h->runs && strcmp(first[-1].id, id) == 0)
		first--;
	for (r = first; r < end && strcmp(r->id, id) == 0; r++)
		++*n;
	return first;
}

/* When the withdrawn key was given back after a call was sent: what waited until
 * then may run. */
static int64_t restored_after(const struct soak *k, int64_t sent_ms)
{
	for (int i = 0; i < k->n_restored; i++) {
		if (k->restored_ms[i] >= sent_ms)
			return k->restored_ms[i];
	}
	return INT64_MAX;
}

static void check_call(struct soak *k, const struct soak_call *c)
{
	int64_t restored = restored_after(k, c->sent_ms);
	const struct hosted_run *r;
	int runs;

	r = runs_of(&k->h, c->id, &runs);
	if (c->once && runs > 1)
		soak_broken(k, "booking %s ran %d times", c->id, runs);
	if (c->once && c->said_not_run && runs)
		soak_broken(k, "booking %s was said not to have run", c->id);
	for (int i = 0; c->late_key && i < runs; i++) {
		if (r[i].at_ms >= restored)
			continue;
		soak_broken(k, "booking %s ran with a withdrawn key", c->id);
	}
}

static void check_refused(struct soak *k, const struct soak_batch *b)
{
	char item[64];

	for (int i = 0; i < SOAK_ITEMS; i++) {
		int runs;

		snprintf(item, sizeof(item), "%s.%d", b->id, i);
		runs_of(&k->h, item, &runs);
		if (runs)
			soak_broken(k, "batch %s was refused and %s ran", b->id,
				    item);
	}
}

/* Every accepted batch comes to its end, and reads the same at every node. */
static void check_accepted(struct soak *k, struct soak_batch *b, int64_t end)
{
	int node = 0;

	while (!batch_whole(b) && clock_now_ms() < end) {
		batch_read(k, b, node++ % k->ns.n_entry, 0);
		soak_pause(READ_PAUSE_MS);
	}
	if (!batch_whole(b))
		soak_broken(k, "batch %s was accepted and is not whole", b->id);
	batch_read(k, b, node % k->ns.n_entry, 0);
}

/* A booking once all faults are over. */
static int book_end(struct soak *k, int node)
{
	struct answer a;
	int status;

	node_call(&k->ns, node, "POST", "/book/end", "k1", "end", "end", &a);
	status = a.status;
	answer_free(&a);
	return status;
}

static void check_served(struct soak *k, int64_t end)
{
	for (int i = 0; i < k->ns.n; i++) {
		int64_t left = end - clock_now_ms();

		if (!node_ready(&k->ns, i, left > 0 ? (int)left : 1))
			soak_broken(k, "node %d is not ready again", i);
	}
	for (int i = 0; i < k->ns.n_entry; i++) {
		int status = book_end(k, i);

		/* A node that had lost the store looks for it now and then. */
		while (status != 200 && clock_now_ms() < end) {
			soak_pause(READ_PAUSE_MS);
			status = book_end(k, i);
		}
		if (status != 200)
			soak_broken(k, "node %d serves nothing again: %d", i,
				    status);
	}
}

/* Why a late run is no fault of the node that sent it; NULL: it is one. A node must
 * know of a leaving if it ran, reached the store, and the store was well. */
static const char *excuse(const struct soak *k, const struct hosted_run *r,
			  int node)
{
	int64_t since = r->at_ms - SOAK_CONTACT_MS;

	/* As if it had left once the store was well for long enough. */
	if (r->at_ms - k->down_ms <= SOAK_CONTACT_MS + SOAK_LEAVE_MS)
		return "the store was disturbed";
	if (node < 0)
		return NULL;
	if (k->node_bad_ms[node] >= since)
		return "the node was disturbed";
	if (k->store_bad_ms[node] >= since)
		return "the node's way to the store was disturbed";
	if (k->server_bad_ms[r->server] >= since)
		return "the way to the server was disturbed";
	return NULL;
}

void leaves_check(struct soak *k)
{
	pthread_mutex_lock(&k->h.lock);
	for (; k->n_judged < k->h.n_runs; k->n_judged++) {
		const struct hosted_run *r = &k->h.runs[k->n_judged];
		int node = node_of_run(&k->ns, r);
		const char *why = excuse(k, r, node);

		if (r->after_leave_ms <= SOAK_LEAVE_MS)
			continue;
		k->n_late++;
		if (why)
			soak_note(k, "run %s of node %d late at server %d: %s",
				  r->id, node, r->server, why);
		else
			soak_broken(k,
				    "run %s of node %d reached server %d %lld "
				    "ms after it left",
				    r->id, node, r->server,
				    (long long)r->after_leave_ms);
	}
	pthread_mutex_unlock(&k->h.lock);
}

static void check_platform(struct soak *k)
{
	if (k->h.clashes)
		soak_broken(k, "%d windows were reported with two counts",
			    k->h.clashes);
	for (int i = 0; i < HOSTED_SERVERS; i++) {
		if (k->h.servers[i].stale_orders)
			soak_broken(k, "server %d got %d stale orders", i,
				    k->h.servers[i].stale_orders);
	}
}

void checks_run(struct soak *k)
{
	int64_t end = clock_now_ms() + k->opts.recover_ms;

	leaves_check(k);
	check_served(k, end);
	for (int i = 0; i < k->n_batches; i++) {
		if (k->batches[i].accepted)
			check_accepted(k, &k->batches[i], end);
	}
	pthread_mutex_lock(&k->h.lock);
	qsort(k->h.runs, (size_t)k->h.n_runs, sizeof(k->h.runs[0]),
	      run_compare);
	for (int i = 0; i < k->n_calls; i++)
		check_call(k, &k->calls[i]);
	for (int i = 0; i < k->n_batches; i++) {
		if (!k->batches[i].accepted && !k->batches[i].unsure)
			check_refused(k, &k->batches[i]);
	}
	check_platform(k);
	pthread_mutex_unlock(&k->h.lock);
}
