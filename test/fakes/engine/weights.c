// Records orders for tests; faults fail or delay swaps.
#include "weights.h"

#include "base/clock.h"
#include "cache.h"
#include "fault.h"

static void weights_log_order(struct engine *e, uint64_t version,
			      uint64_t epoch, int status)
{
	if (e->n_orders == ENGINE_ORDERS_MAX)
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
	int64_t delay_ms = ENGINE_SWAP_MS;
	int64_t extra_ms = 0;
	int status = 202;

	pthread_mutex_lock(&e->lock);
	if (epoch < e->epoch) {
		e->orders_stale++;
		status = e->opts.checks_epoch ? 409 : 202;
	} else {
		e->epoch = epoch;
	}
	weights_log_order(e, version, epoch, status);
	if (status == 202 && !fault_consume(e, FAULT_SWAP_FAIL, NULL)) {
		if (fault_consume(e, FAULT_SWAP_LATE, &extra_ms))
			delay_ms += extra_ms;
		e->pending_version = version;
		e->swap_at_ms = now_ms + delay_ms;
	}
	pthread_mutex_unlock(&e->lock);
	return status;
}

void weights_tick(struct engine *e, int64_t now_ms)
{
	if (e->pending_version == 0 || now_ms < e->swap_at_ms)
		return;
	e->version = e->pending_version;
	e->pending_version = 0;
	cache_clear(e);
}
