// Applies operations to a trainer's state. The result depends on nothing else,
// so owner and backup stay identical.
#include "rollout/home.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

struct home *home_new(const char *team, const char *trainer)
{
	struct home *h = calloc(1, sizeof(*h));

	if (!h)
		return NULL;
	snprintf(h->team, sizeof(h->team), "%s", team);
	snprintf(h->trainer, sizeof(h->trainer), "%s", trainer);
	return h;
}

static void home_batch_free(struct home_batch *b)
{
	for (size_t i = 0; b->slots && i < b->spec->n_slots; i++)
		sample_clear(&b->slots[i].sample);
	free(b->slots);
	batch_free(b->spec);
	free(b);
}

static void home_reset(struct home *h)
{
	for (size_t i = 0; i < h->n_batches; i++)
		home_batch_free(h->batches[i]);
	h->n_batches = 0;
	h->n_done = 0;
	h->min_step = 0;
}

void home_free(struct home *h)
{
	if (!h)
		return;
	home_reset(h);
	free(h);
}

uint64_t batch_hash(const struct batch *b)
{
	uint64_t h = XXH64(b->route, strlen(b->route), b->step);

	h = XXH64(&b->max_staleness, sizeof(b->max_staleness), h);
	for (size_t i = 0; i < b->n_groups; i++) {
		const struct batch_group *g = &b->groups[i];
		uint32_t counts[2] = {g->n, g->max_tokens};

		h = XXH64(g->name, strlen(g->name), h);
		h = XXH64(counts, sizeof(counts), h);
		h = XXH64(g->prompt, g->n_prompt * sizeof(*g->prompt), h);
	}
	return h;
}

struct home_batch *home_find(struct home *h, const char *id)
{
	for (size_t i = 0; i < h->n_batches; i++) {
		if (strcmp(h->batches[i]->spec->id, id) == 0)
			return h->batches[i];
	}
	return NULL;
}

static const struct home_done *home_done_find(const struct home *h,
					      const char *id)
{
	for (size_t i = 0; i < h->n_done; i++) {
		if (strcmp(h->done[i].id, id) == 0)
			return &h->done[i];
	}
	return NULL;
}

enum err home_check(const struct home *h, const struct batch *b, bool *known)
{
	const struct home_done *d = home_done_find(h, b->id);
	const struct home_batch *open = home_find((struct home *)h, b->id);

	*known = d || open;
	if (d)
		return d->hash == batch_hash(b) ? ERR_OK : ERR_BATCH_CLASH;
	if (open)
		return open->hash == batch_hash(b) ? ERR_OK : ERR_BATCH_CLASH;
	if (b->step < h->min_step)
		return ERR_BATCH_OVER;
	return h->n_batches < HOME_MAX_BATCHES ? ERR_OK : ERR_BATCH_LIMIT;
}

static void home_notify_dropped(struct home *h, struct home_batch *b,
				uint32_t slot)
{
	if (h->callbacks && h->callbacks->on_sample_dropped)
		h->callbacks->on_sample_dropped(h->callbacks_ctx, b, slot);
}

static void home_drop_sample(struct home *h, struct home_batch *b,
			     uint32_t slot)
{
	struct home_slot *s = &b->slots[slot];

	if (s->state == HOME_READY)
		b->n_ready--;
	else
		b->n_delivered--;
	s->state = HOME_EMPTY;
	sample_clear(&s->sample);
	home_notify_dropped(h, b, slot);
}

/* Drop undelivered samples that became stale; they are generated again. */
static void home_drop_stale(struct home *h)
{
	for (size_t i = 0; i < h->n_batches; i++) {
		struct home_batch *b = h->batches[i];

		for (uint32_t s = 0; s < b->spec->n_slots; s++) {
			if (b->slots[s].state == HOME_READY &&
			    !sample_is_fresh(&b->slots[s].sample, h->version,
					     b->spec->max_staleness))
				home_drop_sample(h, b, s);
		}
	}
}

static void home_raise_version(struct home *h, uint64_t version)
{
	if (version <= h->version)
		return;
	h->version = version;
	if (!h->flaw_keep_stale)
		home_drop_stale(h);
	if (h->callbacks && h->callbacks->on_version_raised)
		h->callbacks->on_version_raised(h->callbacks_ctx, version);
}

static void home_add_done(struct home *h, const struct home_done *d)
{
	if (h->n_done == HOME_MAX_DONE) {
		if (h->done[0].step + 1 > h->min_step)
			h->min_step = h->done[0].step + 1;
		memmove(h->done, h->done + 1,
			(HOME_MAX_DONE - 1) * sizeof(*h->done));
		h->n_done--;
	}
	h->done[h->n_done++] = *d;
}

static void home_finish(struct home *h, struct home_batch *b)
{
	struct home_done d = {
		.hash = b->hash,
		.step = b->spec->step,
		.n_slots = b->spec->n_slots,
	};

	memcpy(d.id, b->spec->id, sizeof(d.id));
	if (h->callbacks && h->callbacks->on_done)
		h->callbacks->on_done(h->callbacks_ctx, b);
	for (size_t i = 0; i < h->n_batches; i++) {
		if (h->batches[i] == b)
			h->batches[i] = h->batches[--h->n_batches];
	}
	home_batch_free(b);
	home_add_done(h, &d);
}

static enum err home_apply_batch(struct home *h, struct op *op)
{
	struct home_batch *b;
	bool known;

	if (!op->spec || home_check(h, op->spec, &known) != ERR_OK || known)
		return ERR_INVALID;
	b = calloc(1, sizeof(*b));
	if (!b)
		return ERR_NOMEM;
	b->slots = calloc(op->spec->n_slots, sizeof(*b->slots));
	if (!b->slots) {
		free(b);
		return ERR_NOMEM;
	}
	b->hash = batch_hash(op->spec);
	b->spec = op->spec;
	op->spec = NULL;
	h->batches[h->n_batches++] = b;
	home_raise_version(h, b->spec->version);
	if (h->callbacks && h->callbacks->on_batch)
		h->callbacks->on_batch(h->callbacks_ctx, b);
	return ERR_OK;
}

static enum err home_apply_sample(struct home *h, struct op *op)
{
	struct home_batch *b = home_find(h, op->batch);
	struct home_slot *s;

	if (!b || op->slot >= b->spec->n_slots)
		return ERR_INVALID;
	s = &b->slots[op->slot];
	if (s->state != HOME_EMPTY)
		return ERR_INVALID;
	s->serial = op->serial ? op->serial : ++h->serial;
	s->sample = op->sample;
	sample_init(&op->sample);
	s->state = op->is_delivered ? HOME_DELIVERED : HOME_READY;
	if (op->is_delivered)
		b->n_delivered++;
	else
		b->n_ready++;
	return ERR_OK;
}

static void home_ack(struct home *h, struct home_batch *b, uint32_t slot)
{
	struct home_slot *s = &b->slots[slot];

	if (s->state != HOME_DELIVERED)
		return;
	if (h->callbacks && h->callbacks->on_acked)
		h->callbacks->on_acked(h->callbacks_ctx, b, slot);
	sample_clear(&s->sample);
	s->state = HOME_ACKED;
	b->n_delivered--;
	b->n_acked++;
}

static bool home_slots_valid(const struct home_batch *b, const struct slots *s)
{
	for (size_t i = 0; i < s->n; i++) {
		if (s->v[i] >= b->spec->n_slots)
			return false;
	}
	return true;
}

static enum err home_apply_pull(struct home *h, struct op *op)
{
	struct home_batch *b = home_find(h, op->batch);

	if (op->session > h->session)
		h->session = op->session;
	if (!b)
		return ERR_OK;
	if (!home_slots_valid(b, &op->acks) ||
	    !home_slots_valid(b, &op->lost) ||
	    !home_slots_valid(b, &op->delivered))
		return ERR_INVALID;
	for (size_t i = 0; i < op->acks.n; i++)
		home_ack(h, b, op->acks.v[i]);
	for (size_t i = 0; i < op->lost.n; i++) {
		if (b->slots[op->lost.v[i]].state == HOME_DELIVERED)
			home_drop_sample(h, b, op->lost.v[i]);
	}
	home_raise_version(h, op->version);
	for (size_t i = 0; i < op->delivered.n; i++) {
		struct home_slot *s = &b->slots[op->delivered.v[i]];

		if (s->state != HOME_READY)
			continue;
		s->state = HOME_DELIVERED;
		b->n_ready--;
		b->n_delivered++;
	}
	if (b->n_acked == b->spec->n_slots)
		home_finish(h, b);
	return ERR_OK;
}

static enum err home_apply_acked(struct home *h, const struct op *op)
{
	struct home_batch *b = home_find(h, op->batch);

	if (!b || !home_slots_valid(b, &op->acks))
		return ERR_INVALID;
	for (size_t i = 0; i < op->acks.n; i++) {
		if (b->slots[op->acks.v[i]].state != HOME_EMPTY)
			return ERR_INVALID;
		b->slots[op->acks.v[i]].state = HOME_ACKED;
		b->n_acked++;
	}
	return ERR_OK;
}

static void home_apply_done(struct home *h, const struct op *op)
{
	struct home_done d = {
		.hash = op->hash,
		.step = op->step,
		.n_slots = op->n_slots,
	};

	memcpy(d.id, op->batch, sizeof(d.id));
	home_add_done(h, &d);
}

enum err home_apply(struct home *h, struct op *op)
{
	switch (op->kind) {
	case OP_RESET:
		home_reset(h);
		return ERR_OK;
	case OP_BATCH:
		return home_apply_batch(h, op);
	case OP_SAMPLE:
		return home_apply_sample(h, op);
	case OP_PULL:
		return home_apply_pull(h, op);
	case OP_ACKED:
		return home_apply_acked(h, op);
	case OP_DONE:
		home_apply_done(h, op);
		return ERR_OK;
	case OP_META:
		h->session = op->session;
		h->version = op->version;
		h->serial = op->serial;
		h->min_step = op->step;
		return ERR_OK;
	default:
		return ERR_INVALID;
	}
}
