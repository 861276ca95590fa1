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
	ATTEMPTS = 6, ///< of a submission
	READS = 60, ///< of a batch, before its trainer starts the next step
	KEY_IN = 4, ///< one booking in so many uses the key that gets revoked
	ONCE_IN = 2, ///< one booking in so many is non-idempotent
	STAY = 40, ///< calls on one connection
};

struct caller {
	struct soak *k;
	struct rng rng;
	int number;
	CURL *curl;
	int node;
	int left; ///< calls until another node is chosen
};

static bool promises_not_run(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Callers keep a connection for STAY calls, or until it breaks. */
static int node_of(struct caller *c, bool again)
{
	if (c->left-- <= 0 || again) {
		c->node = (int)rng_below(&c->rng, (uint64_t)c->k->ns.n_entry);
		c->left = STAY;
	}
	return c->node;
}

static void remember(struct soak *k, const struct soak_call *call)
{
	pthread_mutex_lock(&k->lock);
	if (k->n_calls < SOAK_CALLS)
		k->calls[k->n_calls++] = *call;
	pthread_mutex_unlock(&k->lock);
}

static void check_answer(struct soak *k, const struct soak_call *call,
			 const struct answer *a)
{
	if (a->status == 200 && (strcmp(a->seal, "seal") != 0 || !a->body ||
				 strcmp(a->body, call->id) != 0))
		soak_broken(k, "booking %s: response of another request: %s",
			    call->id, a->body ? a->body : "");
	if (a->status == 403 || a->status == 404)
		soak_broken(k, "booking %s: status %d for an existing route",
			    call->id, a->status);
}

static bool book(struct caller *c, int n, bool again)
{
	bool second = rng_below(&c->rng, KEY_IN) == 0;
	struct soak_call call = {.once = rng_below(&c->rng, ONCE_IN) == 0};
	int64_t revoked = c->k->revoked_ms;
	struct answer a;
	char path[64];
	bool ok;

	snprintf(call.id, sizeof(call.id), "b%d.%d", c->number, n);
	snprintf(path, sizeof(path), "/%s/%s", call.once ? "pay" : "book",
		 call.id);
	call.sent_ms = clock_now_ms();
	call.late_key =
		second && revoked && clock_now_ms() - revoked > SOAK_REVOKE_MS;
	node_call_on(c->curl, &c->k->ns, node_of(c, again), "POST", path,
		     second ? "k2" : "k1", call.id, call.id, &a);
	call.said_not_run = promises_not_run(a.status);
	check_answer(c->k, &call, &a);
	if (a.status == 401 && !second)
		soak_broken(c->k, "booking %s: status 401 for a valid key",
			    call.id);
	ok = a.status != 0;
	answer_free(&a);
	remember(c->k, &call);
	return ok;
}

static void *booker(void *ctx)
{
	struct caller *c = ctx;
	bool ok = true;

	for (int n = 0; !c->k->stop; n++) {
		ok = book(c, n, !ok);
		soak_pause(BOOK_PAUSE_MS);
	}
	curl_easy_cleanup(c->curl);
	free(c);
	return NULL;
}

bool batch_whole(const struct soak_batch *b)
{
	for (int i = 0; i < SOAK_ITEMS; i++) {
		if (!b->seen[i])
			return false;
	}
	return true;
}

static void see(struct soak *k, struct soak_batch *b, int at, json_t *result)
{
	const char *fault = hosted_result_fault(result, b->id);

	if (at >= SOAK_ITEMS) {
		soak_broken(k, "batch %s: result at position %d of %d", b->id,
			    at, SOAK_ITEMS);
		return;
	}
	if (b->seen[at] && !json_equal(b->seen[at], result))
		soak_broken(k, "batch %s: result at position %d changed", b->id,
			    at);
	if (b->seen[at])
		return;
	if (fault)
		soak_broken(k, "batch %s, position %d: %s", b->id, at, fault);
	for (int i = 0; i < SOAK_ITEMS; i++) {
		if (b->seen[i] && json_equal(json_object_get(b->seen[i], "id"),
					     json_object_get(result, "id")))
			soak_broken(k, "batch %s: same item at %d and %d",
				    b->id, i, at);
	}
	b->seen[at] = json_incref(result);
}

void batch_read(struct soak *k, struct soak_batch *b, int node, int after)
{
	json_t *page = read_results(&k->ns, node, b->id, after);
	json_t *results = json_object_get(page, "results");

	if (page &&
	    json_integer_value(json_object_get(page, "total")) != SOAK_ITEMS)
		soak_broken(k, "batch %s: wrong total", b->id);
	for (size_t i = 0; i < json_array_size(results); i++)
		see(k, b, after + (int)i, json_array_get(results, i));
	json_decref(page);
}

static struct soak_batch *batch_new(struct soak *k, int trainer, int step)
{
	struct soak_batch *b = NULL;

	pthread_mutex_lock(&k->lock);
	if (k->n_batches < SOAK_BATCHES)
		b = &k->batches[k->n_batches++];
	pthread_mutex_unlock(&k->lock);
	if (b)
		snprintf(b->id, sizeof(b->id), "t%d.%d", trainer, step);
	return b;
}

static void submit(struct caller *c, struct soak_batch *b)
{
	char *body = batch_body(b->id, SOAK_ITEMS, 1);
	char path[64];

	snprintf(path, sizeof(path), "/learn/%s", b->id);
	for (int i = 0; i < ATTEMPTS && !b->accepted && !c->k->stop; i++) {
		struct answer a;

		node_call_on(c->curl, &c->k->ns, node_of(c, true), "POST", path,
			     "k1", b->id, body, &a);
		b->accepted = a.status == 202;
		b->unsure |= !b->accepted && !promises_not_run(a.status);
		if (a.status == 401 || a.status == 404)
			soak_broken(c->k, "batch %s: refused with status %d",
				    b->id, a.status);
		answer_free(&a);
		if (!b->accepted)
			soak_pause(ATTEMPT_PAUSE_MS);
	}
	free(body);
}

static int first_unread(const struct soak_batch *b)
{
	int i = 0;

	while (i < SOAK_ITEMS && b->seen[i])
		i++;
	return i;
}

static void name_version(struct soak *k)
{
	pthread_mutex_lock(&k->lock);
	hosted_name_version(&k->h, ++k->version);
	pthread_mutex_unlock(&k->lock);
}

/* One training step: submit a batch, read it at several nodes, set the next weight
 * version. */
static void step(struct caller *c, int n)
{
	struct soak_batch *b = batch_new(c->k, c->number, n);

	if (!b)
		return;
	submit(c, b);
	for (int i = 0;
	     i < READS && b->accepted && !batch_whole(b) && !c->k->stop; i++) {
		int from = rng_below(&c->rng, 3) ? first_unread(b) : 0;

		batch_read(c->k, b, node_of(c, true), from);
		soak_pause(READ_PAUSE_MS);
	}
	if (c->number == 0)
		name_version(c->k);
}

static void *trainer(void *ctx)
{
	struct caller *c = ctx;

	for (int n = 0; !c->k->stop; n++) {
		step(c, n);
		soak_pause(TRAIN_PAUSE_MS);
	}
	curl_easy_cleanup(c->curl);
	free(c);
	return NULL;
}

bool callers_start(struct soak *k, pthread_t *threads, int *n)
{
	*n = 0;
	for (int i = 0; i < SOAK_BOOKERS + SOAK_TRAINERS; i++) {
		struct caller *c = calloc(1, sizeof(*c));
		bool books = i < SOAK_BOOKERS;

		if (!c)
			return false;
		c->k = k;
		c->number = books ? i : i - SOAK_BOOKERS;
		c->rng.state = k->opts.seed * 1000 + (uint64_t)i;
		c->curl = curl_easy_init();
		if (pthread_create(&threads[i], NULL, books ? booker : trainer,
				   c) != 0)
			return false;
		++*n;
	}
	return true;
}
