// Records orders for tests; faults fail or delay swaps.
#include "weights.h"

#include "base/clock.h"
#include "cache.h"
#include "fault.h"

static void weights_note(struct engine *e, uint64_t version, uint64_t epoch,
			 int status)
{
	if (e->n_orders == ENGINE_ORDERS)
		return;
	e->orders[e->n_orders++] = (struct weight_order){
		.version = version,
		.epoch = epoch,
		.at_ms = clock_wall_ms(),
		.status = status,
	};
}

int weights_order(struct engine *e, uint64_t version, uint64_t epoch,
		  int64_t now_ms)
{
	int64_t delay = ENGINE_SWAP_MS;
	int64_t late = 0;
	int status = 202;

	pthread_mutex_lock(&e->lock);
	if (epoch < e->epoch) {
		e->orders_stale++;
		status = e->opts.checks_epoch ? 409 : 202;
	} else {
		e->epoch = epoch;
	}
	weights_note(e, version, epoch, status);
	if (status == 202 && !fault_take(e, FAULT_SWAP_FAIL, NULL)) {
		if (fault_take(e, FAULT_SWAP_LATE, &late))
			delay += late;
		e->next_version = version;
		e->swap_at = now_ms + delay;
	}
	pthread_mutex_unlock(&e->lock);
	return status;
}

void weights_tick(struct engine *e, int64_t now_ms)
{
	if (e->next_version == 0 || now_ms < e->swap_at)
		return;
	e->version = e->next_version;
	e->next_version = 0;
	cache_drop(e);
}
