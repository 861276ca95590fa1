// Owned trainers: applies every operation and replicates it to the copies.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rollout_defs.h"

struct owner *owner_find(struct rollout *r, const char *team,
			 const char *trainer)
{
	for (size_t i = 0; i < r->n_owners; i++) {
		const struct home *h = r->owners[i]->home;

		if (strcmp(h->team, team) == 0 &&
		    strcmp(h->trainer, trainer) == 0)
			return r->owners[i];
	}
	return NULL;
}

static void owner_on_batch(void *ctx, struct home_batch *b)
{
	struct owner *o = ctx;

	b->user = o;
	sched_add(o->r->sched, b, o);
}

static void owner_on_sample_dropped(void *ctx, struct home_batch *b,
				    uint32_t slot)
{
	const struct owner *o = ctx;

	sched_add_dropped(o->r->sched, b, slot);
}

static void owner_on_version_raised(void *ctx, uint64_t version)
{
	const struct owner *o = ctx;

	for (size_t i = 0; i < o->home->n_batches; i++)
		sched_raise_version(o->r->sched, o->home->batches[i], version);
}

static void owner_on_acked(void *ctx, struct home_batch *b, uint32_t slot)
{
	struct owner *o = ctx;

	o->usage_samples++;
	o->usage_tokens += b->slots[slot].sample.n;
	o->r->stats.acked++;
}

static void owner_on_done(void *ctx, struct home_batch *b)
{
	const struct owner *o = ctx;

	sched_del(o->r->sched, b);
}

static const struct home_callbacks owner_callbacks = {
	.on_batch = owner_on_batch,
	.on_sample_dropped = owner_on_sample_dropped,
	.on_version_raised = owner_on_version_raised,
	.on_acked = owner_on_acked,
	.on_done = owner_on_done,
};

struct owner *owner_new(struct rollout *r, struct home *home,
			const struct record *rec, uint64_t rev)
{
	struct owner *o;

	if (r->n_owners == ROLLOUT_MAX_TRAINERS)
		return NULL;
	o = calloc(1, sizeof(*o));
	if (!o)
		return NULL;
	o->r = r;
	o->home = home;
	o->rev = rev;
	if (rec)
		o->rec = *rec;
	home->flaw_keep_stale = r->opts.flaw == ROLLOUT_FLAW_KEEP_STALE;
	r->owners[r->n_owners++] = o;
	return o;
}

void owner_activate(struct owner *o)
{
	o->active = true;
	o->home->callbacks = &owner_callbacks;
	o->home->callbacks_ctx = o;
	for (size_t i = 0; i < o->home->n_batches; i++)
		owner_on_batch(o, o->home->batches[i]);
}

/* The acknowledgements of these pulls may be lost; the trainer must retry. */
static void owner_refuse_requests(struct owner *o)
{
	struct request *q;
	size_t iter = 0;

	while ((q = htab_next(o->r->requests, &iter, NULL))) {
		if (q->owner == o)
			request_refuse(o->r, q, ERR_BATCH_UNSURE,
				       ROLLOUT_RETRY_MS);
	}
}

void owner_drop(struct owner *o)
{
	struct rollout *r = o->r;

	if (o->active && r->sched) {
		for (size_t i = 0; i < o->home->n_batches; i++)
			sched_del(r->sched, o->home->batches[i]);
	}
	for (size_t i = 0; i < r->n_owners; i++) {
		if (r->owners[i] == o)
			r->owners[i] = r->owners[--r->n_owners];
	}
	if (r->sched)
		owner_refuse_requests(o);
	stream_free(o->backup);
	stream_free(o->next_backup);
	home_free(o->home);
	free(o);
}

/* A stream that missed an operation can't continue. */
static void owner_stream_put(struct stream *s, const void *buf, size_t len,
			     int64_t now_ms)
{
	if (s && stream_put(s, buf, len, now_ms) != ERR_OK)
		s->failed = true;
}

enum err owner_apply(struct owner *o, struct op *op)
{
	size_t len;
	void *buf = op_encode(op, &len);
	enum err e = buf ? ERR_OK : ERR_NOMEM;

	if (e == ERR_OK)
		e = home_apply(o->home, op);
	if (e == ERR_OK) {
		owner_stream_put(o->backup, buf, len, o->r->now_ms);
		owner_stream_put(o->next_backup, buf, len, o->r->now_ms);
	}
	if (o->usage_samples > 0)
		serve_set_commit_points(o, o->usage_commit);
	free(buf);
	return e;
}

/* Usage is reported only once the copies have it. A backup that takes over
 * before would report it a second time. */
void owner_report_usage(struct owner *o)
{
	struct rollout_action *a;

	if (o->usage_samples == 0 || !serve_is_replicated(o, o->usage_commit))
		return;
	a = rollout_add_action(o->r, ROLLOUT_ADD_USAGE);
	memcpy(a->team, o->home->team, sizeof(a->team));
	a->samples = o->usage_samples;
	a->tokens = o->usage_tokens;
	o->usage_samples = 0;
	o->usage_tokens = 0;
}

/* Test flaw: reports the trainer's version for all tokens. */
static void owner_flaw_version(const struct owner *o, struct sample *s)
{
	if (o->r->opts.flaw != ROLLOUT_FLAW_ORDERED_VERSION ||
	    s->n_segments == 0)
		return;
	s->segments[0] =
		(struct sample_segment){o->home->version, (uint32_t)s->n};
	s->n_segments = 1;
}

bool owner_take_sample(void *ctx, struct home_batch *b, uint32_t slot,
		       struct sample *sample)
{
	struct owner *o = b->user;
	struct op op = {.kind = OP_SAMPLE, .slot = slot};

	owner_flaw_version(o, sample);
	if (!sample_is_fresh(sample, o->home->version, b->spec->max_staleness))
		return false;
	memcpy(op.batch, b->spec->id, sizeof(op.batch));
	op.sample = *sample;
	sample_init(sample);
	owner_apply(o, &op);
	op_clear(&op);
	serve_wake_pulls(o, b);
	return true;
}
