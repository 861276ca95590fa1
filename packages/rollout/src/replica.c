// Joins chunks into operations and applies them to the copy.
#include "replica.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct replica *replica_new(const char *team, const char *trainer,
			    const char *owner)
{
	struct replica *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	snprintf(r->team, sizeof(r->team), "%s", team);
	snprintf(r->trainer, sizeof(r->trainer), "%s", trainer);
	snprintf(r->owner, sizeof(r->owner), "%s", owner);
	return r;
}

void replica_free(struct replica *r)
{
	if (!r)
		return;
	home_free(r->home);
	free(r->partial_op);
	free(r);
}

void replica_restart(struct replica *r, uint64_t epoch, uint64_t stream)
{
	home_free(r->home);
	free(r->partial_op);
	r->partial_op = NULL;
	r->partial_len = 0;
	r->home = home_new(r->team, r->trainer);
	r->epoch = epoch;
	r->stream = stream;
	r->acked = 0;
	r->complete = false;
	r->fenced = false;
	r->broken = r->home == NULL;
}

static enum err replica_add_chunk(struct replica *r, const void *buf,
				  size_t len)
{
	char *partial_op = realloc(r->partial_op, r->partial_len + len + 1);

	if (!partial_op)
		return ERR_NOMEM;
	memcpy(partial_op + r->partial_len, buf, len);
	r->partial_op = partial_op;
	r->partial_len += len;
	return ERR_OK;
}

static enum err replica_apply(struct replica *r)
{
	struct op op;
	enum err e = op_decode(&op, r->partial_op, r->partial_len);

	free(r->partial_op);
	r->partial_op = NULL;
	r->partial_len = 0;
	if (e != ERR_OK)
		return e;
	e = home_apply(r->home, &op);
	if (e == ERR_OK && op.kind == OP_META)
		r->complete = true;
	op_clear(&op);
	return e;
}

enum err replica_apply_chunk(struct replica *r, const void *buf, size_t len,
			     bool last)
{
	enum err e = replica_add_chunk(r, buf, len);

	if (e == ERR_OK && last)
		e = replica_apply(r);
	if (e != ERR_OK) {
		r->broken = true;
		return e;
	}
	r->acked++;
	return ERR_OK;
}
