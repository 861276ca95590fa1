// Virtual time and a key-value store with outages.
#include "sim_kv.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void sim_schedule(struct sim_clock *k, int64_t delay_ms, sim_event_fn fn,
		  void *ctx, uint64_t arg)
{
	assert(k->n < SIM_MAX_EVENTS);
	k->events[k->n++] = (struct sim_event){k->now_ms + delay_ms, k->order++,
					       fn, ctx, arg};
}

bool sim_run_next_event(struct sim_clock *k, int64_t end_ms)
{
	struct sim_event e;
	size_t best = 0;

	if (k->n == 0)
		return false;
	for (size_t i = 1; i < k->n; i++) {
		const struct sim_event *a = &k->events[i];
		const struct sim_event *b = &k->events[best];

		if (a->time_ms < b->time_ms ||
		    (a->time_ms == b->time_ms && a->order < b->order))
			best = i;
	}
	e = k->events[best];
	if (e.time_ms > end_ms)
		return false;
	k->events[best] = k->events[--k->n];
	k->now_ms = e.time_ms;
	e.fn(e.ctx, e.arg);
	return true;
}

static struct sim_item *kv_find(struct sim_kv *kv, const char *key)
{
	for (size_t i = 0; i < kv->n; i++) {
		if (strcmp(kv->items[i].key, key) == 0)
			return &kv->items[i];
	}
	return NULL;
}

static enum err kv_put(struct sim_kv *kv, const struct sim_kv_call *c,
		       uint64_t *rev)
{
	struct sim_item *it = kv_find(kv, c->key);

	if (!kv->ignore_prev_rev && (it ? it->rev : 0) != c->prev_rev)
		return ERR_KV_CONFLICT;
	if (!it) {
		assert(kv->n < SIM_MAX_KEYS);
		it = &kv->items[kv->n++];
		*it = (struct sim_item){0};
		snprintf(it->key, sizeof(it->key), "%s", c->key);
	}
	free(it->value);
	it->value = malloc(c->len + 1);
	memcpy(it->value, c->value, c->len);
	it->len = c->len;
	it->rev = ++kv->rev;
	*rev = it->rev;
	return ERR_OK;
}

static void kv_del(struct sim_kv *kv, const struct sim_kv_call *c)
{
	struct sim_item *it = kv_find(kv, c->key);

	if (!it || it->rev != c->prev_rev)
		return;
	free(it->value);
	*it = kv->items[--kv->n];
}

static int kv_by_key(const void *a, const void *b)
{
	return strcmp(((const struct claim_kv_item *)a)->key,
		      ((const struct claim_kv_item *)b)->key);
}

static size_t kv_read(struct sim_kv *kv, const struct sim_kv_call *c,
		      struct claim_kv_item *out)
{
	size_t n = 0;

	for (size_t i = 0; i < kv->n; i++) {
		const struct sim_item *it = &kv->items[i];
		size_t len = c->op == SIM_LIST ? strlen(c->key) : SIZE_MAX;

		if (len == SIZE_MAX ? strcmp(it->key, c->key) == 0
				    : strncmp(it->key, c->key, len) == 0)
			out[n++] = (struct claim_kv_item){it->key, it->value,
							  it->len, it->rev};
	}
	qsort(out, n, sizeof(*out), kv_by_key);
	return n;
}

void sim_kv_exec(struct sim_kv *kv, const struct sim_kv_call *call,
		 void (*fn)(void *ctx, const struct claim_kv_result *res),
		 void *ctx)
{
	struct claim_kv_item items[SIM_MAX_KEYS];
	struct claim_kv_result res = {.err = ERR_OK, .items = items};

	if (call->op == SIM_PUT) {
		res.err = kv_put(kv, call, &res.rev);
	} else if (call->op == SIM_DEL) {
		kv_del(kv, call);
	} else {
		res.n_items = kv_read(kv, call, items);
		if (call->op == SIM_GET && res.n_items == 0)
			res.err = ERR_NOT_FOUND;
	}
	fn(ctx, &res);
}

void sim_kv_free(struct sim_kv *kv)
{
	for (size_t i = 0; i < kv->n; i++)
		free(kv->items[i].value);
}
