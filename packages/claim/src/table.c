// Claims by key: open addressing; expired entries are dropped on growth.
#include "claim/table.h"

#include <stdlib.h>
#include <string.h>

enum {
	TABLE_INITIAL_SLOTS = 64,
};

static bool entry_live(const struct claim_entry *e, int64_t wall_ms)
{
	return e->state != CLAIM_STATE_NONE && e->req.expires_ms > wall_ms;
}

static void entry_clear(struct claim_entry *e)
{
	free((char *)e->answer.ctype);
	free((char *)e->answer.body);
	e->answer = (struct claim_answer){0};
	e->state = CLAIM_STATE_NONE;
}

static bool slot_used(const struct claim_entry *e)
{
	return e->req.key.hi != 0 || e->req.key.lo != 0;
}

static struct claim_entry *table_slot(const struct claim_table *t,
				      struct claim_u128 key)
{
	size_t i = key.lo & (t->cap - 1);

	while (slot_used(&t->slots[i]) &&
	       !claim_u128_eq(t->slots[i].req.key, key))
		i = (i + 1) & (t->cap - 1);
	return &t->slots[i];
}

/* At least four slots per live entry. */
static bool table_grow(struct claim_table *t, int64_t wall_ms)
{
	struct claim_table new_table = {.cap = TABLE_INITIAL_SLOTS};
	size_t live = 0;

	for (size_t i = 0; i < t->cap; i++)
		live += entry_live(&t->slots[i], wall_ms);
	while (new_table.cap < 4 * (live + 1))
		new_table.cap *= 2;
	new_table.slots = calloc(new_table.cap, sizeof(*new_table.slots));
	if (!new_table.slots)
		return false;
	for (size_t i = 0; i < t->cap; i++) {
		struct claim_entry *e = &t->slots[i];

		if (!entry_live(e, wall_ms)) {
			entry_clear(e);
			continue;
		}
		*table_slot(&new_table, e->req.key) = *e;
		new_table.used++;
	}
	free(t->slots);
	*t = new_table;
	return true;
}

static bool apply_claim(struct claim_table *t, const struct claim_record *r,
			int64_t wall_ms)
{
	struct claim_entry *e;

	if (2 * (t->used + 1) > t->cap && !table_grow(t, wall_ms))
		return false;
	e = table_slot(t, r->req.key);
	t->used += !slot_used(e);
	entry_clear(e);
	e->req = r->req;
	e->state = CLAIM_STATE_HELD;
	return true;
}

static bool apply_done(struct claim_entry *e, const struct claim_answer *a)
{
	entry_clear(e);
	e->answer = *a;
	e->answer.ctype = strdup(a->ctype ? a->ctype : "");
	e->answer.body = NULL;
	if (a->body) {
		char *copy = malloc(a->len + 1);

		if (copy) {
			memcpy(copy, a->body, a->len);
			copy[a->len] = '\0';
		}
		e->answer.body = copy;
	}
	e->state = CLAIM_STATE_DONE;
	return e->answer.ctype && (!a->body || e->answer.body);
}

bool claim_table_apply(struct claim_table *t, const struct claim_record *r,
		       int64_t wall_ms)
{
	struct claim_entry *e;

	if (r->op == CLAIM_OP_CLAIM)
		return apply_claim(t, r, wall_ms);
	if (r->op == CLAIM_OP_SEAL || t->cap == 0)
		return true;
	e = table_slot(t, r->req.key);
	if (!slot_used(e) || !claim_u128_eq(e->req.id, r->req.id))
		return true;
	if (e->state != CLAIM_STATE_HELD)
		return true;
	if (r->op == CLAIM_OP_DONE)
		return apply_done(e, &r->answer);
	entry_clear(e);
	return true;
}

const struct claim_entry *claim_table_find(const struct claim_table *t,
					   struct claim_u128 key,
					   int64_t wall_ms)
{
	const struct claim_entry *e;

	if (t->cap == 0)
		return NULL;
	e = table_slot(t, key);
	return slot_used(e) && entry_live(e, wall_ms) ? e : NULL;
}

void claim_table_free(struct claim_table *t)
{
	for (size_t i = 0; i < t->cap; i++)
		entry_clear(&t->slots[i]);
	free(t->slots);
	*t = (struct claim_table){0};
}
