// This writer's copy of a shard's segment chain.
#include "segment.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	SEGMENT_FIRST_NUMBER = 1, ///< number of a shard's first segment
};

struct load_ctx {
	struct segment_chain *ch;
	struct segment *seg;
	int64_t wall_ms;
	bool nomem;
};

void segment_chain_reset(struct segment_chain *ch)
{
	claim_table_free(&ch->table);
	free(ch->segments);
	free(ch->text);
	*ch = (struct segment_chain){.prefix = ch->prefix};
}

static void segment_key(const struct segment_chain *ch, uint64_t number,
			char *key)
{
	snprintf(key, CLAIM_KEY_SIZE, "%s%08llu", ch->prefix,
		 (unsigned long long)number);
}

void segment_chain_tail(const struct segment_chain *ch, char *key,
			uint64_t *prev_rev)
{
	const struct segment *last = ch->n ? &ch->segments[ch->n - 1] : NULL;

	if (last && !ch->sealed) {
		segment_key(ch, last->number, key);
		*prev_rev = last->rev;
		return;
	}
	segment_key(ch, last ? last->number + 1 : SEGMENT_FIRST_NUMBER, key);
	*prev_rev = 0;
}

static struct segment *segment_get_or_add(struct segment_chain *ch,
					  uint64_t number)
{
	struct segment *grown;

	if (ch->n > 0 && ch->segments[ch->n - 1].number == number)
		return &ch->segments[ch->n - 1];
	if (ch->n == ch->cap) {
		ch->cap = ch->cap ? 2 * ch->cap : 16;
		grown = realloc(ch->segments, ch->cap * sizeof(*grown));
		if (!grown)
			return NULL;
		ch->segments = grown;
	}
	ch->segments[ch->n] = (struct segment){.number = number};
	return &ch->segments[ch->n++];
}

static void load_record(void *ctx, const struct claim_record *r)
{
	struct load_ctx *l = ctx;

	l->ch->sealed = r->op == CLAIM_OP_SEAL;
	if (!claim_table_apply(&l->ch->table, r, l->wall_ms))
		l->nomem = true;
	if (r->req.expires_ms > l->seg->expires_ms)
		l->seg->expires_ms = r->req.expires_ms;
}

static bool chain_set_text(struct segment_chain *ch, const char *text,
			   size_t len)
{
	if (len + 1 > ch->text_cap) {
		char *grown = realloc(ch->text, len + 1);

		if (!grown)
			return false;
		ch->text = grown;
		ch->text_cap = len + 1;
	}
	memcpy(ch->text, text, len);
	ch->text[len] = '\0';
	ch->len = len;
	return true;
}

enum err segment_chain_load(struct segment_chain *ch,
			    const struct claim_kv_item *item, int64_t wall_ms)
{
	uint64_t number = strtoull(item->key + strlen(ch->prefix), NULL, 10);
	struct segment *seg = segment_get_or_add(ch, number);
	struct load_ctx l = {.ch = ch, .seg = seg, .wall_ms = wall_ms};
	size_t applied_len = 0;

	if (!seg)
		return ERR_NOMEM;
	/* Segments are append-only: skip the records applied before. */
	if (seg->rev != 0 && ch->len <= item->len &&
	    memcmp(ch->text, item->value, ch->len) == 0)
		applied_len = ch->len;
	ch->sealed = false;
	if (!claim_record_read(item->value + applied_len,
			       item->len - applied_len, load_record, &l))
		return ERR_PARSE;
	seg->rev = item->rev;
	if (l.nomem || !chain_set_text(ch, item->value, item->len))
		return ERR_NOMEM;
	return ERR_OK;
}

bool segment_chain_pop_expired(struct segment_chain *ch, int64_t wall_ms,
			       char *key, uint64_t *rev)
{
	struct segment *oldest = ch->segments;

	if (ch->n < 2 || oldest->expires_ms > wall_ms)
		return false;
	segment_key(ch, oldest->number, key);
	*rev = oldest->rev;
	ch->n--;
	memmove(ch->segments, ch->segments + 1, ch->n * sizeof(*ch->segments));
	return true;
}
