// Decides pending claims and outcomes by what the log holds.
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
	uint64_t ticket = s->pending[i].ticket;

	shard_drop(s, i);
	s->o.ops->verdict(s->o.ctx, ticket, v, a);
}

/* Settle a claim whose key has an entry. */
static void shard_settle(struct claim_shard *s, size_t i,
			 const struct claim_entry *e, struct claim_time t)
{
	const struct claim_request *q = &s->pending[i].rec.req;

	if (e->state == CLAIM_STATE_HELD && claim_name_eq(e->req.id, q->id))
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

/* Whether an entry can still change: then the view must be as new as the
 * question. */
static bool shard_view_serves(struct claim_shard *s, const struct pending *p,
			      const struct claim_entry *e)
{
	return e->state == CLAIM_STATE_DONE || s->view_ms >= p->asked_ms;
}

/* An outcome that the log has no more use for. */
static bool note_settled(const struct claim_entry *e, const struct pending *p)
{
	return !e || !claim_name_eq(e->req.id, p->rec.req.id) ||
	       e->state != CLAIM_STATE_HELD;
}

static enum review shard_review_note(struct claim_shard *s, size_t i,
				     const struct claim_entry *e)
{
	const struct pending *p = &s->pending[i];

	if (!note_settled(e, p))
		return REVIEW_PUT;
	if (s->view_ms < p->asked_ms) {
		s->behind = true;
		return REVIEW_KEEP;
	}
	shard_drop(s, i);
	return REVIEW_GONE;
}

enum review shard_review(struct claim_shard *s, size_t i, struct claim_time t)
{
	const struct pending *p = &s->pending[i];
	const struct claim_entry *e =
		claim_table_find(&s->chain.table, p->rec.req.key, t.wall_ms);

	if (p->rec.op != CLAIM_OP_CLAIM)
		return shard_review_note(s, i, e);
	if (!e)
		return REVIEW_PUT;
	if (!shard_view_serves(s, p, e)) {
		s->behind = true;
		return REVIEW_KEEP;
	}
	shard_settle(s, i, e, t);
	return REVIEW_GONE;
}
