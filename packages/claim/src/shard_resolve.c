// Resolves pending records against the log.
#include <stdlib.h>
#include <string.h>

#include "shard_priv.h"

void shard_drop(struct claim_shard *s, size_t i)
{
	free(s->pending[i].body);
	free(s->pending[i].ctype);
	s->n--;
	memmove(&s->pending[i], &s->pending[i + 1],
		(s->n - i) * sizeof(*s->pending));
}

void shard_verdict(struct claim_shard *s, size_t i, enum claim_verdict v,
		   const struct claim_answer *a)
{
	uint64_t cookie = s->pending[i].cookie;

	shard_drop(s, i);
	s->opts.ops->verdict(s->opts.ctx, cookie, v, a);
}

/* Decides a claim request whose key has an entry. */
static void shard_resolve_claim(struct claim_shard *s, size_t i,
				const struct claim_entry *e,
				struct claim_time t)
{
	const struct claim_request *q = &s->pending[i].rec.req;

	if (e->state == CLAIM_STATE_HELD && claim_u128_eq(e->req.id, q->id))
		shard_verdict(s, i, CLAIM_GRANTED, NULL);
	else if (e->req.body != q->body)
		shard_verdict(s, i, CLAIM_MISMATCH, NULL);
	else if (e->state == CLAIM_STATE_DONE)
		shard_verdict(s, i, CLAIM_DONE, &e->answer);
	else if (e->req.until_ms > t.wall_ms)
		shard_verdict(s, i, CLAIM_RUNNING, NULL);
	else
		shard_verdict(s, i, CLAIM_LOST, NULL);
}

/* An entry without an outcome may change: the view must be at least as new as
 * the claim request. */
static bool shard_view_suffices(struct claim_shard *s, const struct pending *p,
				const struct claim_entry *e)
{
	return e->state == CLAIM_STATE_DONE || s->synced_ms >= p->queued_ms;
}

/* The log has no claim that still lacks this outcome. */
static bool outcome_is_obsolete(const struct claim_entry *e,
				const struct pending *p)
{
	return !e || !claim_u128_eq(e->req.id, p->rec.req.id) ||
	       e->state != CLAIM_STATE_HELD;
}

static enum resolve_result shard_resolve_outcome(struct claim_shard *s,
						 size_t i,
						 const struct claim_entry *e)
{
	const struct pending *p = &s->pending[i];

	if (!outcome_is_obsolete(e, p))
		return RESOLVE_APPEND;
	if (s->synced_ms < p->queued_ms) {
		s->stale = true;
		return RESOLVE_WAIT;
	}
	shard_drop(s, i);
	return RESOLVE_REMOVED;
}

enum resolve_result shard_resolve(struct claim_shard *s, size_t i,
				  struct claim_time t)
{
	const struct pending *p = &s->pending[i];
	const struct claim_entry *e =
		claim_table_find(&s->chain.table, p->rec.req.key, t.wall_ms);

	if (p->rec.op != CLAIM_OP_CLAIM)
		return shard_resolve_outcome(s, i, e);
	if (!e)
		return RESOLVE_APPEND;
	if (!shard_view_suffices(s, p, e)) {
		s->stale = true;
		return RESOLVE_WAIT;
	}
	shard_resolve_claim(s, i, e, t);
	return RESOLVE_REMOVED;
}
