// Ring of snapshots, for lagged reports.
#include "load.h"

#include <jansson.h>

static struct load_snapshot load_current(const struct engine *e, int64_t now_ms)
{
	return (struct load_snapshot){
		.at_ms = now_ms,
		.running = e->running,
		.queued = e->queued,
		.slots = e->capacity,
		.version = e->version,
		.cold = e->capacity < e->opts.slots,
		.n_cached = (int)e->n_cache,
	};
}

void load_take_snapshot(struct engine *e, int64_t now_ms)
{
	e->snapshots[e->n_snapshots++ % ENGINE_SNAPSHOTS_MAX] =
		load_current(e, now_ms);
}

static struct load_snapshot load_lagged(const struct engine *e, int64_t now_ms)
{
	uint64_t oldest = 0;

	if (e->opts.load_lag_ms == 0 || e->n_snapshots == 0)
		return load_current(e, now_ms);
	if (e->n_snapshots > ENGINE_SNAPSHOTS_MAX)
		oldest = e->n_snapshots - ENGINE_SNAPSHOTS_MAX;
	for (uint64_t i = e->n_snapshots; i-- > oldest;) {
		const struct load_snapshot *s =
			&e->snapshots[i % ENGINE_SNAPSHOTS_MAX];

		if (s->at_ms + e->opts.load_lag_ms <= now_ms)
			return *s;
	}
	return e->snapshots[oldest % ENGINE_SNAPSHOTS_MAX];
}

struct json_t *load_report(struct engine *e, int64_t now_ms)
{
	struct load_snapshot s;

	pthread_mutex_lock(&e->lock);
	s = load_lagged(e, now_ms);
	pthread_mutex_unlock(&e->lock);
	return json_pack("{s:i,s:i,s:i,s:I,s:b,s:I,s:i}", "running", s.running,
			 "queued", s.queued, "slots", s.slots, "version",
			 (json_int_t)s.version, "cold", s.cold, "as_of_ms",
			 (json_int_t)(now_ms - s.at_ms), "cached_prefixes",
			 s.n_cached);
}

static json_t *load_orders(const struct engine *e)
{
	json_t *orders = json_array();

	for (size_t i = 0; i < e->n_orders; i++) {
		const struct weight_order *o = &e->orders[i];

		json_array_append_new(orders,
				      json_pack("{s:I,s:I,s:I,s:i}", "version",
						(json_int_t)o->version, "epoch",
						(json_int_t)o->epoch, "at_ms",
						(json_int_t)o->at_ms, "status",
						o->status));
	}
	return orders;
}

struct json_t *load_stats(struct engine *e)
{
	json_t *s;

	pthread_mutex_lock(&e->lock);
	s = json_pack(
		"{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "id", e->opts.id,
		"started", (json_int_t)e->started, "finished",
		(json_int_t)e->finished, "resumed", (json_int_t)e->resumed,
		"cancelled", (json_int_t)e->cancels, "tokens",
		(json_int_t)e->tokens_made, "falls", (json_int_t)e->overloads,
		"key_leaks", (json_int_t)e->key_leaks);
	json_object_set_new(s, "running", json_integer(e->running));
	json_object_set_new(s, "queued", json_integer(e->queued));
	json_object_set_new(s, "capacity", json_integer(e->capacity));
	json_object_set_new(s, "peak", json_integer(e->peak));
	json_object_set_new(s, "peak_cold", json_integer(e->peak_cold));
	json_object_set_new(s, "cache_hits",
			    json_integer((json_int_t)e->cache_hits));
	json_object_set_new(s, "version", json_integer((json_int_t)e->version));
	json_object_set_new(s, "epoch", json_integer((json_int_t)e->epoch));
	json_object_set_new(s, "orders_stale", json_integer(e->orders_stale));
	json_object_set_new(s, "orders", load_orders(e));
	pthread_mutex_unlock(&e->lock);
	return s;
}
