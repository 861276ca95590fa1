// Checks the logs of callers, servers and platform after the faults have ended.
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "soak.h"

enum {
	READ_PAUSE_MS = 50,
	OUTAGES = 2, ///< of two servers each
	OUTAGE_MS = 1500, ///< until they are known again
	OUTAGE_LOOKUPS = 6, ///< at a time
};

/* Orders runs by id. */
static int run_compare(const void *a, const void *b)
{
	const struct hosted_run *x = a;
	const struct hosted_run *y = b;

	return strcmp(x->id, y->id);
}

/* First run of an id in the sorted log; n is set to the number of its runs. */
static const struct hosted_run *find_runs(const struct hosted *h,
					  const char *id, int *n)
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

/* When the key was next restored after a call was sent: it may run from then on. */
static int64_t next_restore_ms(const struct soak *k, int64_t sent_ms)
{
	for (int i = 0; i < k->n_restored; i++) {
		if (k->restored_ms[i] >= sent_ms)
			return k->restored_ms[i];
	}
	return INT64_MAX;
}

static void check_call(struct soak *k, const struct soak_call *c)
{
	int64_t restored_at_ms = next_restore_ms(k, c->sent_ms);
	const struct hosted_run *r;
	int runs;

	r = find_runs(&k->h, c->id, &runs);
	if (c->non_idempotent && runs > 1)
		soak_violation(k, "booking %s ran %d times", c->id, runs);
	if (c->non_idempotent && c->promised_not_run && runs)
		soak_violation(
			k, "booking %s ran after a response that it had not",
			c->id);
	for (int i = 0; c->key_revoked && i < runs; i++) {
		if (r[i].start_ms >= restored_at_ms)
			continue;
		soak_violation(k, "booking %s ran with a revoked key", c->id);
	}
}

static void check_refused_batch(struct soak *k, const struct soak_batch *b)
{
	char item[64];

	for (int i = 0; i < SOAK_BATCH_ITEMS; i++) {
		int runs;

		snprintf(item, sizeof(item), "%s.%d", b->id, i);
		find_runs(&k->h, item, &runs);
		if (runs)
			soak_violation(
				k, "batch %s was refused but its item %s ran",
				b->id, item);
	}
}

/* Check that an accepted batch completes and reads the same at every node. */
static void check_accepted_batch(struct soak *k, struct soak_batch *b,
				 int64_t deadline)
{
	int node = 0;

	while (!batch_complete(b) && clock_now_ms() < deadline) {
		batch_read(k, b, node++ % k->ns.n_entry, 0);
		soak_sleep(READ_PAUSE_MS);
	}
	if (!batch_complete(b))
		soak_violation(k, "batch %s was accepted but is not complete",
			       b->id);
	batch_read(k, b, node % k->ns.n_entry, 0);
}

/* A booking after all faults ended. */
static int book_after_faults(struct soak *k, int node)
{
	struct response a;
	int status;

	node_call(&k->ns, node, "POST", "/book/end", "k1", "end", "end", &a);
	status = a.status;
	response_free(&a);
	return status;
}

struct lookup {
	struct soak *k;
	int node;
	pthread_t thread;
};

static void *look_up(void *ctx)
{
	const struct lookup *l = ctx;

	book_after_faults(l->k, l->node);
	return NULL;
}

/* Servers crash under the booking by which the recovery is seen: it did not end them. */
static void crash_under_lookups(struct soak *k)
{
	struct lookup lookups[OUTAGE_LOOKUPS];

	k->h.crash_bookings = true;
	for (int i = 0; i < OUTAGE_LOOKUPS; i++) {
		lookups[i] = (struct lookup){k, i % k->ns.n_entry, 0};
		pthread_create(&lookups[i].thread, NULL, look_up, &lookups[i]);
	}
	for (int i = 0; i < OUTAGE_LOOKUPS; i++)
		pthread_join(lookups[i].thread, NULL);
	k->h.crash_bookings = false;
	soak_sleep(OUTAGE_MS);
	hosted_revive(&k->h);
}

static void check_recovery(struct soak *k, int64_t deadline)
{
	for (int i = 0; i < k->ns.n; i++) {
		int64_t left_ms = deadline - clock_now_ms();

		if (!node_wait_ready(&k->ns, i, left_ms > 0 ? (int)left_ms : 1))
			soak_violation(k, "node %d did not become ready again",
				       i);
	}
	for (int i = 0; i < k->ns.n_entry; i++) {
		int status = book_after_faults(k, i);

		/* A node that lost the store retries it at intervals. */
		while (status != 200 && clock_now_ms() < deadline) {
			soak_sleep(READ_PAUSE_MS);
			status = book_after_faults(k, i);
		}
		if (status != 200)
			soak_violation(k,
				       "node %d serves no bookings again: %d",
				       i, status);
	}
}

/* Why a late run is not the sending node's fault; NULL if it is. A node must know that a
 * server leaves if it ran, reached the store and the store was healthy. */
static const char *late_run_excuse(const struct soak *k,
				   const struct hosted_run *r, int node)
{
	int64_t since = r->start_ms - SOAK_HEALTHY_MS;

	/* As if the server left once the store had been healthy for long enough. */
	if (r->start_ms - k->store_down_ms <= SOAK_HEALTHY_MS + SOAK_LEAVE_MS)
		return "store fault";
	if (node < 0)
		return NULL;
	if (k->node_fault_ms[node] >= since)
		return "node fault";
	if (k->store_fault_ms[node] >= since)
		return "fault on the node's link to the store";
	if (k->server_fault_ms[r->server] >= since)
		return "fault on the server's link";
	return NULL;
}

void leaving_check(struct soak *k)
{
	pthread_mutex_lock(&k->h.lock);
	for (; k->n_checked_runs < k->h.n_runs; k->n_checked_runs++) {
		const struct hosted_run *r = &k->h.runs[k->n_checked_runs];
		int node = node_of_run(&k->ns, r);
		const char *excuse = late_run_excuse(k, r, node);

		if (r->since_leaving_ms <= SOAK_LEAVE_MS)
			continue;
		k->n_late_runs++;
		if (excuse)
			soak_log(
				k,
				"run %s of node %d late on server %d, excused: %s",
				r->id, node, r->server, excuse);
		else
			soak_violation(
				k,
				"run %s of node %d reached server %d %lld "
				"ms after it left",
				r->id, node, r->server,
				(long long)r->since_leaving_ms);
	}
	pthread_mutex_unlock(&k->h.lock);
}

static void check_platform(struct soak *k)
{
	if (k->h.usage_conflicts)
		soak_violation(k,
			       "%d usage reports conflict with an earlier one",
			       k->h.usage_conflicts);
	for (int i = 0; i < HOSTED_SERVERS; i++) {
		if (k->h.servers[i].stale_orders)
			soak_violation(k, "server %d got %d stale orders", i,
				       k->h.servers[i].stale_orders);
	}
}

void checks_run(struct soak *k)
{
	int64_t deadline = clock_now_ms() + k->opts.recover_ms;

	leaving_check(k);
	for (int i = 0; i < OUTAGES; i++)
		crash_under_lookups(k);
	check_recovery(k, deadline);
	for (int i = 0; i < k->n_batches; i++) {
		if (k->batches[i].accepted)
			check_accepted_batch(k, &k->batches[i], deadline);
	}
	pthread_mutex_lock(&k->h.lock);
	qsort(k->h.runs, (size_t)k->h.n_runs, sizeof(k->h.runs[0]),
	      run_compare);
	for (int i = 0; i < k->n_calls; i++)
		check_call(k, &k->calls[i]);
	for (int i = 0; i < k->n_batches; i++) {
		if (!k->batches[i].accepted && !k->batches[i].outcome_unknown)
			check_refused_batch(k, &k->batches[i]);
	}
	check_platform(k);
	pthread_mutex_unlock(&k->h.lock);
}
