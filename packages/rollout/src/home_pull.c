// Plans pulls, builds replies and takes snapshots; changes no state.
#include "rollout/home.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Names that are not slots of the batch are ignored. */
static enum err home_resolve_names(const struct home_batch *b,
				   const struct slot_names *names,
				   struct slots *out)
{
	for (size_t i = 0; i < names->n; i++) {
		size_t slot;

		if (batch_slot_find(b->spec, names->v[i], &slot) != ERR_OK)
			continue;
		if (slots_add(out, (uint32_t)slot) != ERR_OK)
			return ERR_NOMEM;
	}
	return ERR_OK;
}

/* Only the reported sample can be lost, not a newer one: serials match. */
static enum err home_resolve_lost_names(const struct home_batch *b,
					const struct slot_names *names,
					struct slots *out)
{
	for (size_t i = 0; i < names->n; i++) {
		char name[BATCH_SLOT_NAME_SIZE];
		char *separator;
		size_t slot;

		memcpy(name, names->v[i], sizeof(name));
		separator = strchr(name, '@');
		if (!separator)
			continue;
		*separator = '\0';
		if (batch_slot_find(b->spec, name, &slot) != ERR_OK ||
		    b->slots[slot].serial != strtoull(separator + 1, NULL, 10))
			continue;
		if (slots_add(out, (uint32_t)slot) != ERR_OK)
			return ERR_NOMEM;
	}
	return ERR_OK;
}

struct home_select {
	const struct home_batch *b;
	const struct pull *p;
	struct op *op;
	size_t tokens;
	bool *skip; ///< by slot: acknowledged or lost in this pull
	bool flaw_keep_stale;
};

static bool home_may_deliver(const struct home_select *k, uint32_t slot)
{
	if (k->skip[slot] || k->flaw_keep_stale)
		return !k->skip[slot];
	return sample_is_fresh(&k->b->slots[slot].sample, k->op->version,
			       k->b->spec->max_staleness);
}

static enum err home_select(struct home_select *k, enum home_slot_state state)
{
	size_t remaining =
		state == HOME_READY ? k->b->n_ready : k->b->n_delivered;

	for (uint32_t i = 0; remaining > 0 && i < k->b->spec->n_slots; i++) {
		const struct home_slot *s = &k->b->slots[i];

		if (s->state != state)
			continue;
		remaining--;
		if (k->op->delivered.n >= k->p->max ||
		    k->tokens >= HOME_MAX_PULL_TOKENS)
			return ERR_OK;
		if (!home_may_deliver(k, i))
			continue;
		if (slots_add(&k->op->delivered, i) != ERR_OK)
			return ERR_NOMEM;
		k->tokens += s->sample.n;
	}
	return ERR_OK;
}

static bool *home_skip_map(const struct home_batch *b, const struct op *op)
{
	bool *skip = calloc(b->spec->n_slots, sizeof(*skip));

	for (size_t i = 0; skip && i < op->acks.n; i++)
		skip[op->acks.v[i]] = true;
	for (size_t i = 0; skip && i < op->lost.n; i++)
		skip[op->lost.v[i]] = true;
	return skip;
}

enum err home_plan_pull(struct home *h, const struct pull *p, bool redeliver,
			struct op *op)
{
	struct home_batch *b = home_find(h, p->batch);
	struct home_select k = {b, p, op, 0, NULL, h->flaw_keep_stale};
	enum err e = ERR_OK;

	memset(op, 0, sizeof(*op));
	if (p->session < h->session)
		return ERR_SESSION_OLD;
	op->kind = OP_PULL;
	op->session = p->session;
	op->version = p->version > h->version ? p->version : h->version;
	memcpy(op->batch, p->batch, sizeof(op->batch));
	if (!b)
		return ERR_OK;
	e = home_resolve_names(b, &p->acks, &op->acks);
	if (e == ERR_OK)
		e = home_resolve_lost_names(b, &p->lost, &op->lost);
	k.skip = e == ERR_OK ? home_skip_map(b, op) : NULL;
	if (!k.skip)
		return ERR_NOMEM;
	if (redeliver)
		e = home_select(&k, HOME_DELIVERED);
	if (e == ERR_OK)
		e = home_select(&k, HOME_READY);
	free(k.skip);
	return e;
}

static enum err home_reply_add_items(const struct home_batch *b,
				     const struct op *op,
				     struct pull_reply *reply)
{
	reply->items = calloc(op->delivered.n + 1, sizeof(*reply->items));
	if (!reply->items)
		return ERR_NOMEM;
	for (size_t i = 0; i < op->delivered.n; i++) {
		uint32_t slot = op->delivered.v[i];
		struct pull_item *item = &reply->items[reply->n];

		if (b->slots[slot].state != HOME_DELIVERED)
			continue;
		batch_slot_name(b->spec, slot, item->slot);
		item->seed = batch_slot_seed(b->spec, slot);
		if (sample_copy(&item->sample, &b->slots[slot].sample) !=
		    ERR_OK)
			return ERR_NOMEM;
		reply->n++;
	}
	return ERR_OK;
}

static enum err home_reply_add_expired(const struct home *h,
				       const struct home_batch *b,
				       struct pull_reply *reply)
{
	size_t remaining = b->n_delivered;

	for (uint32_t i = 0; remaining > 0 && i < b->spec->n_slots; i++) {
		char name[BATCH_SLOT_NAME_SIZE];
		size_t len;
		enum err e;

		if (b->slots[i].state != HOME_DELIVERED)
			continue;
		remaining--;
		if (sample_is_fresh(&b->slots[i].sample, h->version,
				    b->spec->max_staleness))
			continue;
		batch_slot_name(b->spec, i, name);
		len = strlen(name);
		snprintf(name + len, sizeof(name) - len, "@%" PRIu64,
			 b->slots[i].serial);
		e = slot_names_add(&reply->expired, name);
		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

static bool home_is_done(const struct home *h, const char *id)
{
	for (size_t i = 0; i < h->n_done; i++) {
		if (strcmp(h->done[i].id, id) == 0)
			return true;
	}
	return false;
}

enum err home_reply(struct home *h, const struct op *op,
		    struct pull_reply *reply)
{
	const struct home_batch *b = home_find(h, op->batch);
	enum err e;

	memset(reply, 0, sizeof(*reply));
	if (!b) {
		reply->done = home_is_done(h, op->batch);
		return reply->done ? ERR_OK : ERR_BATCH_UNKNOWN;
	}
	reply->left = b->spec->n_slots - b->n_acked;
	e = home_reply_add_items(b, op, reply);
	if (e == ERR_OK)
		e = home_reply_add_expired(h, b, reply);
	if (e != ERR_OK)
		pull_reply_clear(reply);
	return e;
}

static void home_snapshot_batch(const struct home_batch *b,
				void (*fn)(void *ctx, const struct op *op),
				void *ctx)
{
	struct op acked = {.kind = OP_ACKED};
	struct op op = {.kind = OP_BATCH, .spec = b->spec};

	memcpy(op.batch, b->spec->id, sizeof(op.batch));
	memcpy(acked.batch, b->spec->id, sizeof(acked.batch));
	fn(ctx, &op);
	op.kind = OP_SAMPLE;
	op.spec = NULL;
	for (uint32_t i = 0; i < b->spec->n_slots; i++) {
		const struct home_slot *s = &b->slots[i];

		if (s->state == HOME_ACKED)
			slots_add(&acked.acks, i);
		if (s->state != HOME_READY && s->state != HOME_DELIVERED)
			continue;
		op.slot = i;
		op.is_delivered = s->state == HOME_DELIVERED;
		op.serial = s->serial;
		op.sample = s->sample;
		fn(ctx, &op);
	}
	fn(ctx, &acked);
	slots_clear(&acked.acks);
}

void home_snapshot(const struct home *h,
		   void (*fn)(void *ctx, const struct op *op), void *ctx)
{
	struct op op = {.kind = OP_RESET};

	fn(ctx, &op);
	for (size_t i = 0; i < h->n_batches; i++)
		home_snapshot_batch(h->batches[i], fn, ctx);
	for (size_t i = 0; i < h->n_done; i++) {
		const struct home_done *d = &h->done[i];

		op = (struct op){
			.kind = OP_DONE,
			.hash = d->hash,
			.step = d->step,
			.n_slots = d->n_slots,
		};
		memcpy(op.batch, d->id, sizeof(op.batch));
		fn(ctx, &op);
	}
	op = (struct op){
		.kind = OP_META,
		.session = h->session,
		.version = h->version,
		.serial = h->serial,
		.step = h->min_step,
	};
	fn(ctx, &op);
}
