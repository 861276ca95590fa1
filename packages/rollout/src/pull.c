// Lists owned by pulls and replies.
#include "rollout/pull.h"

#include <stdlib.h>
#include <string.h>

enum {
	SLOT_NAMES_STEP = 32,
};

enum err slot_names_add(struct slot_names *names, const char *name)
{
	char(*v)[BATCH_SLOT_NAME_SIZE] = names->v;

	if (strlen(name) >= BATCH_SLOT_NAME_SIZE)
		return ERR_INVALID;
	if (names->n % SLOT_NAMES_STEP == 0) {
		v = realloc(v, (names->n + SLOT_NAMES_STEP) * sizeof(*v));
		if (!v)
			return ERR_NOMEM;
		names->v = v;
	}
	memcpy(v[names->n++], name, strlen(name) + 1);
	return ERR_OK;
}

void slot_names_clear(struct slot_names *names)
{
	free(names->v);
	*names = (struct slot_names){0};
}

void pull_clear(struct pull *p)
{
	slot_names_clear(&p->acks);
	slot_names_clear(&p->lost);
	memset(p, 0, sizeof(*p));
}

void pull_reply_clear(struct pull_reply *r)
{
	for (size_t i = 0; i < r->n; i++)
		sample_clear(&r->items[i].sample);
	free(r->items);
	slot_names_clear(&r->expired);
	memset(r, 0, sizeof(*r));
}
