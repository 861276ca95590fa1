// Weight rollout plan. Sources are used in turn; an engine whose load failed or
// timed out is ordered again, from another source if there is one.
#include "weights/weights.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct weights_engine {
	char id[WEIGHTS_ID_MAX];
	uint64_t version; ///< as reported
	bool loading;
	int64_t ordered_ms;
	int source; ///< index of the engine it loads from, -1 for the store
	int active_uploads; ///< engines that load from it
	int attempts;
};

struct weights {
	struct weights_opts opts;
	struct weights_engine engines[WEIGHTS_ENGINES_MAX];
	size_t n_engines;
	uint64_t target;
	double store_tokens; ///< token bucket: loads that the store may serve now
	int64_t store_refilled_ms;
	size_t loading;
	size_t next_source; ///< where the next search starts
	uint64_t orders;
	uint64_t from_store;
	uint64_t repeated;
};

struct weights *weights_new(const struct weights_opts *opts)
{
	struct weights *w = calloc(1, sizeof(*w));

	if (w)
		w->opts = *opts;
	return w;
}

void weights_free(struct weights *w)
{
	free(w);
}

static int weights_find(const struct weights *w, const char *engine)
{
	for (size_t i = 0; i < w->n_engines; i++) {
		if (strcmp(w->engines[i].id, engine) == 0)
			return (int)i;
	}
	return -1;
}

static void weights_stop_loading(struct weights *w, struct weights_engine *e)
{
	if (!e->loading)
		return;
	e->loading = false;
	w->loading--;
	if (e->source >= 0)
		w->engines[e->source].active_uploads--;
}

void weights_set_target(struct weights *w, uint64_t version, int64_t now_ms)
{
	for (size_t i = 0; i < w->n_engines; i++) {
		weights_stop_loading(w, &w->engines[i]);
		w->engines[i].attempts = 0;
	}
	w->target = version;
	w->store_tokens = 1;
	w->store_refilled_ms = now_ms;
	w->orders = 0;
	w->from_store = 0;
	w->repeated = 0;
}

enum err weights_report(struct weights *w, const char *engine, uint64_t version,
			int64_t now_ms)
{
	int i = weights_find(w, engine);
	struct weights_engine *e;

	if (i < 0) {
		if (w->n_engines == WEIGHTS_ENGINES_MAX)
			return ERR_FULL;
		e = &w->engines[w->n_engines++];
		memset(e, 0, sizeof(*e));
		snprintf(e->id, sizeof(e->id), "%s", engine);
	} else {
		e = &w->engines[i];
	}
	e->version = version;
	if (version == w->target)
		weights_stop_loading(w, e);
	return ERR_OK;
}

/* Moves the last engine to the free entry. */
void weights_remove_engine(struct weights *w, const char *engine)
{
	int i = weights_find(w, engine);
	int last = (int)w->n_engines - 1;

	if (i < 0)
		return;
	weights_stop_loading(w, &w->engines[i]);
	for (size_t k = 0; k < w->n_engines; k++) {
		struct weights_engine *e = &w->engines[k];

		if (e->loading && e->source == i)
			weights_stop_loading(w, e);
		else if (e->loading && e->source == last)
			e->source = i;
	}
	w->engines[i] = w->engines[last];
	w->n_engines--;
}

static void weights_refill_store_tokens(struct weights *w, int64_t now_ms)
{
	w->store_tokens += w->opts.store_rate *
			   (double)(now_ms - w->store_refilled_ms) / 1000.0;
	w->store_refilled_ms = now_ms;
	if (w->store_tokens > w->opts.store_rate + 1)
		w->store_tokens = w->opts.store_rate + 1;
}

static void weights_expire_loads(struct weights *w, int64_t now_ms)
{
	for (size_t i = 0; i < w->n_engines; i++) {
		struct weights_engine *e = &w->engines[i];

		if (e->loading && now_ms - e->ordered_ms >= w->opts.late_ms)
			weights_stop_loading(w, e);
	}
}

static bool weights_below_load_limit(const struct weights *w)
{
	size_t limit = w->n_engines * (size_t)w->opts.max_loading_percent / 100;

	return w->loading < (limit > 0 ? limit : 1);
}

/* Fewest attempts first, so that an engine that keeps failing delays no other. */
static struct weights_engine *weights_pick_outdated(struct weights *w)
{
	struct weights_engine *best = NULL;

	for (size_t i = 0; i < w->n_engines; i++) {
		struct weights_engine *e = &w->engines[i];

		if (e->loading || e->version == w->target)
			continue;
		if (!best || e->attempts < best->attempts)
			best = e;
	}
	return best;
}

/* Engine that has the version and serves fewer than fan_out, -1 for none. */
static int weights_pick_source(struct weights *w)
{
	for (size_t k = 0; k < w->n_engines; k++) {
		size_t i = (w->next_source + k) % w->n_engines;
		const struct weights_engine *e = &w->engines[i];

		if (e->version == w->target &&
		    e->active_uploads < w->opts.fan_out) {
			w->next_source = i + 1;
			return (int)i;
		}
	}
	return -1;
}

static void weights_issue_order(struct weights *w, struct weights_engine *e,
				int source, int64_t now_ms,
				struct weights_order *order)
{
	memset(order, 0, sizeof(*order));
	memcpy(order->engine, e->id, sizeof(order->engine));
	order->version = w->target;
	if (source >= 0) {
		memcpy(order->source, w->engines[source].id,
		       sizeof(order->source));
		w->engines[source].active_uploads++;
	} else {
		w->store_tokens -= 1;
		w->from_store++;
	}
	e->loading = true;
	e->source = source;
	e->ordered_ms = now_ms;
	w->repeated += e->attempts > 0;
	e->attempts++;
	w->loading++;
	w->orders++;
}

bool weights_next_order(struct weights *w, int64_t now_ms,
			struct weights_order *order)
{
	struct weights_engine *e;
	int source;

	if (w->target == 0 || w->n_engines == 0)
		return false;
	weights_refill_store_tokens(w, now_ms);
	weights_expire_loads(w, now_ms);
	e = weights_pick_outdated(w);
	if (!e || !weights_below_load_limit(w))
		return false;
	source = weights_pick_source(w);
	if (source < 0 && w->store_tokens < 1)
		return false;
	weights_issue_order(w, e, source, now_ms, order);
	return true;
}

void weights_progress(const struct weights *w, struct weights_progress *out)
{
	memset(out, 0, sizeof(*out));
	out->version = w->target;
	out->engines = w->n_engines;
	out->loading = w->loading;
	out->orders = w->orders;
	out->from_store = w->from_store;
	out->again = w->repeated;
	for (size_t i = 0; i < w->n_engines; i++)
		out->have += w->engines[i].version == w->target;
}
