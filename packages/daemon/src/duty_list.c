// Reads the intents of a duty's earlier holders from the store.
#include "duty.h"

/* Duty of a callback, whose context is the duty's index. */
static struct duty *duty_of_ctx(struct core *c, void *ctx)
{
	return &duty_state(c)->list[(intptr_t)ctx];
}

static void duty_on_listed(struct core *c, void *ctx,
			   const struct kv_result *res)
{
	struct duty *d = duty_of_ctx(c, ctx);

	d->list_pending = false;
	if (d->phase != DUTY_READING || d->list_epoch != d->epoch)
		return;
	if (res->err != ERR_OK) {
		d->next_list_ms = core_now(c) + DUTY_RETRY_MS;
		return;
	}
	for (size_t i = 0; i < res->n_items; i++)
		duty_order_resume(c, d, &res->items[i]);
	d->phase = DUTY_RESUMING;
}

void duty_read_intents(struct core *c, struct duty *d)
{
	const struct kv_cb cb = {duty_on_listed, (void *)(intptr_t)d->index};
	char prefix[DUTY_KEY_MAX];

	if (d->list_pending || core_now(c) < d->next_list_ms)
		return;
	d->list_epoch = d->epoch;
	duty_intent_prefix(d, prefix, sizeof(prefix));
	d->list_pending = kv_list(c, prefix, cb) == ERR_OK;
}
