// Nodes of another failure domain that are asked for its summary.
#include "remote.h"

#include <stdio.h>
#include <string.h>

struct remote_cand *remote_cand_find(struct remote *r, const char *id)
{
	for (int i = 0; i < r->n_cands; i++) {
		if (strcmp(r->cands[i].id, id) == 0)
			return &r->cands[i];
	}
	return NULL;
}

/// Candidate that a new one may replace.
static struct remote_cand *cand_stale(struct remote *r)
{
	for (int i = 0; i < r->n_cands; i++) {
		struct remote_cand *c = &r->cands[i];

		if (!c->seed && !c->contact && !c->connected)
			return c;
	}
	return NULL;
}

struct remote_cand *remote_cand_add(struct remote *r, const char *id,
				    const char *addr)
{
	struct remote_cand *c = remote_cand_find(r, id);

	if (!c && r->n_cands < REMOTE_CANDS)
		c = &r->cands[r->n_cands++];
	else if (!c)
		c = cand_stale(r);
	if (!c)
		return NULL;
	if (strcmp(c->id, id) != 0) {
		memset(c, 0, sizeof(*c));
		snprintf(c->id, sizeof(c->id), "%s", id);
	}
	if (!c->addr_fixed && strcmp(c->addr, addr) != 0) {
		snprintf(c->addr, sizeof(c->addr), "%s", addr);
		c->connected = false;
	}
	return c;
}

void remote_add_contacts(struct remote *r, const struct member_domain *d)
{
	for (int i = 0; i < r->n_cands; i++)
		r->cands[i].contact = false;
	for (int i = 0; i < d->n_contacts; i++) {
		struct remote_cand *c = remote_cand_add(r, d->contacts[i].id,
							d->contacts[i].addr);

		if (c)
			c->contact = true;
	}
}
