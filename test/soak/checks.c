// Checks the logs of callers, servers and platform after the faults have ended.
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "soak.h"

enum {
	READ_PAUSE_MS = 50,
};

/* Orders runs by id. */
static int run_compare(const void *a, const void *b)
{
	const struct hosted_run *x = a;
	const struct hosted_run *y = b;

	return strcmp(x->id, y->id);
}

/* First run of an id in the sorted log; n is set to the number of its runs. */
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

/* When the revoked key was next restored after a call was sent; a call that waited
 * until then may run. */
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
		soak_broken(k,
			    "booking %s ran after a response that it had not",
			    c->id);
	for (int i = 0; c->late_key && i < runs; i++) {
		if (r[i].at_ms >= restored)
			continue;
		soak_broken(k, "booking %s ran with a revoked key", c->id);
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
			soak_broken(k,
				    "batch %s was refused but its item %s ran",
				    b->id, item);
	}
}

/* Check that an accepted batch completes and reads the same at every node. */
static void check_accepted(struct soak *k, struct soak_batch *b, int64_t end)
{
	int node = 0;

	while (!batch_whole(b) && clock_now_ms() < end) {
		batch_read(k, b, node++ % k->ns.n_entry, 0);
		soak_pause(READ_PAUSE_MS);
	}
	if (!batch_whole(b))
		soak_broken(k, "batch %s was accepted but is not complete",
			    b->id);
	batch_read(k, b, node % k->ns.n_entry, 0);
}

/* A booking after all faults ended. */
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
			soak_broken(k, "node %d did not become ready again", i);
	}
	for (int i = 0; i < k->ns.n_entry; i++) {
		int status = book_end(k, i);

		/* A node that lost the store retries it at intervals. */
		while (status != 200 && clock_now_ms() < end) {
			soak_pause(READ_PAUSE_MS);
			status = book_end(k, i);
		}
		if (status != 200)
			soak_broken(k, "node %d serves no bookings again: %d",
				    i, status);
	}
}

/* Why the sending node is not to blame for a late run; NULL if it is. A node must know
 * that a server leaves if it ran, reached the store and the store was healthy. */
static const char *excuse(const struct soak *k, const struct hosted_run *r,
			  int node)
{
	int64_t since = r->at_ms - SOAK_CONTACT_MS;

	/* As if the server left once the store had been healthy for long enough. */
	if (r->at_ms - k->down_ms <= SOAK_CONTACT_MS + SOAK_LEAVE_MS)
		return "store fault";
	if (node < 0)
		return NULL;
	if (k->node_bad_ms[node] >= since)
		return "node fault";
	if (k->store_bad_ms[node] >= since)
		return "fault on the node's link to the store";
	if (k->server_bad_ms[r->server] >= since)
		return "fault on the server's link";
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
			soak_note(
				k,
				"run %s of node %d late on server %d, excused: %s",
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
		soak_broken(k, "%d usage reports conflict with an earlier one",
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
