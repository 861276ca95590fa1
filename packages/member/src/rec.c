// The table of records.
#include "rec.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

uint32_t rec_hash(const char *id)
{
	return XXH32(id, strlen(id), 0);
}

int rec_find_hash(const struct rec_table *t, uint32_t hash)
{
	for (int i = 0; i < t->n; i++) {
		if (t->recs[i]->hash == hash)
			return i;
	}
	return REC_NONE;
}

int rec_find(const struct rec_table *t, const char *id)
{
	int i = rec_find_hash(t, rec_hash(id));

	return i != REC_NONE && strcmp(t->recs[i]->id, id) == 0 ? i : REC_NONE;
}

int rec_add(struct rec_table *t, const char *id, int64_t now_ms)
{
	uint32_t hash = rec_hash(id);
	struct rec *r;

	if (t->n == REC_MAX || rec_find_hash(t, hash) != REC_NONE)
		return REC_NONE;
	r = calloc(1, sizeof(*r));
	if (!r)
		return REC_NONE;
	snprintf(r->id, sizeof(r->id), "%s", id);
	r->hash = hash;
	r->state = MEMBER_DEAD;
	r->lost_ms = now_ms;
	t->recs[t->n] = r;
	return t->n++;
}

void rec_clear(struct rec *r)
{
	free(r->reports);
	r->reports = NULL;
	r->n_reports = 0;
}

void rec_del(struct rec_table *t, int i)
{
	rec_clear(t->recs[i]);
	free(t->recs[i]);
	t->recs[i] = t->recs[--t->n];
}

bool rec_newer(const struct rec *a, const struct rec *b)
{
	if (a->inc != b->inc)
		return a->inc > b->inc;
	return a->seq > b->seq;
}

void rec_take(struct rec *dst, struct rec *src)
{
	memcpy(dst->addr, src->addr, sizeof(dst->addr));
	if (!dst->fixed && strcmp(dst->dial, src->addr) != 0) {
		memcpy(dst->dial, src->addr, sizeof(dst->dial));
		dst->connected = false;
	}
	dst->inc = src->inc;
	dst->seq = src->seq;
	dst->draining = src->draining;
	dst->left = src->left;
	memcpy(dst->keys, src->keys, sizeof(dst->keys));
	memcpy(dst->heard, src->heard, sizeof(dst->heard));
	dst->n_heard = src->n_heard;
	free(dst->reports);
	dst->reports = src->reports;
	dst->n_reports = src->n_reports;
	src->reports = NULL;
	src->n_reports = 0;
}

void rec_table_clear(struct rec_table *t)
{
	while (t->n)
		rec_del(t, t->n - 1);
}
