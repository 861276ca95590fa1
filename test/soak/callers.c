// Threads that book and threads that train, each at randomly chosen nodes.
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "soak.h"

enum {
	BOOK_PAUSE_MS = 60,
	TRAIN_PAUSE_MS = 250,
	READ_PAUSE_MS = 150,
	ATTEMPT_PAUSE_MS = 200,
	SUBMIT_ATTEMPTS = 6, ///< of a submission
	READS_MAX = 60, ///< of a batch, before its trainer starts the next step
	REVOKED_KEY_ONE_IN = 4, ///< bookings; uses the key that gets revoked
	NON_IDEMPOTENT_ONE_IN = 2, ///< bookings
	CALLS_PER_NODE = 40, ///< calls on one connection
};

struct caller {
	struct soak *k;
	struct rng rng;
	int number;
	CURL *curl;
	int node;
	int calls_left; ///< calls until another node is chosen
};

static bool promises_not_run(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Callers keep a connection until it breaks or CALLS_PER_NODE are over. */
static int choose_node(struct caller *c, bool reconnect)
{
	if (c->calls_left-- <= 0 || reconnect) {
		c->node = (int)rng_below(&c->rng, (uint64_t)c->k->ns.n_entry);
		c->calls_left = CALLS_PER_NODE;
	}
	return c->node;
}

static void log_call(struct soak *k, const struct soak_call *call)
{
	pthread_mutex_lock(&k->lock);
	if (k->n_calls < SOAK_CALLS_MAX)
		k->calls[k->n_calls++] = *call;
	pthread_mutex_unlock(&k->lock);
}

static void check_response(struct soak *k, const struct soak_call *call,
			   const struct response *a)
{
	if (a->status == 200 && (strcmp(a->seal, "seal") != 0 || !a->body ||
				 strcmp(a->body, call->id) != 0))
		soak_violation(k, "booking %s: response of another request: %s",
			       call->id, a->body ? a->body : "");
	if (a->status == 403 || a->status == 404)
		soak_violation(k, "booking %s: status %d for an existing route",
			       call->id, a->status);
}

static bool run_booking(struct caller *c, int n, bool reconnect)
{
	bool use_revocable = rng_below(&c->rng, REVOKED_KEY_ONE_IN) == 0;
	struct soak_call call = {
		.non_idempotent =
			rng_below(&c->rng, NON_IDEMPOTENT_ONE_IN) == 0};
	int64_t revoked = c->k->revoked_ms;
	struct response a;
	char path[64];
	bool ok;

	snprintf(call.id, sizeof(call.id), "b%d.%d", c->number, n);
	snprintf(path, sizeof(path), "/%s/%s",
		 call.non_idempotent ? "pay" : "book", call.id);
	call.sent_ms = clock_now_ms();
	call.key_revoked = use_revocable && revoked &&
			   clock_now_ms() - revoked > SOAK_REVOKE_MS;
	node_call_with(c->curl, &c->k->ns, choose_node(c, reconnect), "POST",
		       path, use_revocable ? "k2" : "k1", call.id, call.id, &a);
	call.promised_not_run = promises_not_run(a.status);
	check_response(c->k, &call, &a);
	if (a.status == 401 && !use_revocable)
		soak_violation(c->k, "booking %s: status 401 for a valid key",
			       call.id);
	ok = a.status != 0;
	response_free(&a);
	log_call(c->k, &call);
	return ok;
}

static void *booking_thread(void *ctx)
{
	struct caller *c = ctx;
	bool ok = true;

	for (int n = 0; !c->k->stop; n++) {
		ok = run_booking(c, n, !ok);
		soak_sleep(BOOK_PAUSE_MS);
	}
	curl_easy_cleanup(c->curl);
	free(c);
	return NULL;
}

bool batch_complete(const struct soak_batch *b)
{
	for (int i = 0; i < SOAK_BATCH_ITEMS; i++) {
		if (!b->seen[i])
			return false;
	}
	return true;
}

static void check_result(struct soak *k, struct soak_batch *b, int position,
			 json_t *result)
{
	const char *error = hosted_check_result(result, b->id);

	if (position >= SOAK_BATCH_ITEMS) {
		soak_violation(k, "batch %s: result at position %d of %d",
			       b->id, position, SOAK_BATCH_ITEMS);
		return;
	}
	if (b->seen[position] && !json_equal(b->seen[position], result))
		soak_violation(k, "batch %s: result at position %d changed",
			       b->id, position);
	if (b->seen[position])
		return;
	if (error)
		soak_violation(k, "batch %s, position %d: %s", b->id, position,
			       error);
	for (int i = 0; i < SOAK_BATCH_ITEMS; i++) {
		if (b->seen[i] && json_equal(json_object_get(b->seen[i], "id"),
					     json_object_get(result, "id")))
			soak_violation(k, "batch %s: same item at %d and %d",
				       b->id, i, position);
	}
	b->seen[position] = json_incref(result);
}

void batch_read(struct soak *k, struct soak_batch *b, int node, int after)
{
	json_t *page = read_results(&k->ns, node, b->id, after);
	json_t *results = json_object_get(page, "results");

	if (page && json_integer_value(json_object_get(page, "total")) !=
			    SOAK_BATCH_ITEMS)
		soak_violation(k, "batch %s: wrong total", b->id);
	for (size_t i = 0; i < json_array_size(results); i++)
		check_result(k, b, after + (int)i, json_array_get(results, i));
	json_decref(page);
}

static struct soak_batch *add_batch(struct soak *k, int trainer_thread,
				    int train_step)
{
	struct soak_batch *b = NULL;

	pthread_mutex_lock(&k->lock);
	if (k->n_batches < SOAK_BATCHES_MAX)
		b = &k->batches[k->n_batches++];
	pthread_mutex_unlock(&k->lock);
	if (b)
		snprintf(b->id, sizeof(b->id), "t%d.%d", trainer_thread,
			 train_step);
	return b;
}

static void submit_batch(struct caller *c, struct soak_batch *b)
{
	char *body = batch_body(b->id, SOAK_BATCH_ITEMS, 1);
	char path[64];

	snprintf(path, sizeof(path), "/learn/%s", b->id);
	for (int i = 0; i < SUBMIT_ATTEMPTS && !b->accepted && !c->k->stop;
	     i++) {
		struct response a;

		node_call_with(c->curl, &c->k->ns, choose_node(c, true), "POST",
			       path, "k1", b->id, body, &a);
		b->accepted = a.status == 202;
		b->outcome_unknown |=
			!b->accepted && !promises_not_run(a.status);
		if (a.status == 401 || a.status == 404)
			soak_violation(c->k, "batch %s: refused with status %d",
				       b->id, a.status);
		response_free(&a);
		if (!b->accepted)
			soak_sleep(ATTEMPT_PAUSE_MS);
	}
	free(body);
}

static int first_unread_position(const struct soak_batch *b)
{
	int i = 0;

	while (i < SOAK_BATCH_ITEMS && b->seen[i])
		i++;
	return i;
}

static void set_next_version(struct soak *k)
{
	pthread_mutex_lock(&k->lock);
	hosted_set_version(&k->h, ++k->version);
	pthread_mutex_unlock(&k->lock);
}

/* Submit a batch, read it at several nodes, set the next weight version. */
static void train_step(struct caller *c, int n)
{
	struct soak_batch *b = add_batch(c->k, c->number, n);

	if (!b)
		return;
	submit_batch(c, b);
	for (int i = 0;
	     i < READS_MAX && b->accepted && !batch_complete(b) && !c->k->stop;
	     i++) {
		int after =
			rng_below(&c->rng, 3) ? first_unread_position(b) : 0;

		batch_read(c->k, b, choose_node(c, true), after);
		soak_sleep(READ_PAUSE_MS);
	}
	if (c->number == 0)
		set_next_version(c->k);
}

static void *trainer_thread(void *ctx)
{
	struct caller *c = ctx;

	for (int n = 0; !c->k->stop; n++) {
		train_step(c, n);
		soak_sleep(TRAIN_PAUSE_MS);
	}
	curl_easy_cleanup(c->curl);
	free(c);
	return NULL;
}

bool callers_start(struct soak *k, pthread_t *threads, int *n)
{
	*n = 0;
	for (int i = 0; i < SOAK_BOOKING_THREADS + SOAK_TRAINER_THREADS; i++) {
		struct caller *c = calloc(1, sizeof(*c));
		bool is_booking = i < SOAK_BOOKING_THREADS;

		if (!c)
			return false;
		c->k = k;
		c->number = is_booking ? i : i - SOAK_BOOKING_THREADS;
		c->rng.state = k->opts.seed * 1000 + (uint64_t)i;
		c->curl = curl_easy_init();
		if (pthread_create(&threads[i], NULL,
				   is_booking ? booking_thread : trainer_thread,
				   c) != 0)
			return false;
		++*n;
	}
	return true;
}
