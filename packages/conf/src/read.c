// Look-ups in a snapshot (conf.h).
#include "doc.h"

#include <stdlib.h>
#include <string.h>

uint64_t conf_rev(const struct conf *c)
{
	return c->rev;
}

const char *conf_text(const struct conf *c, size_t *len)
{
	*len = c->len;
	return c->text;
}

static const struct doc_exception *exception_find(const struct conf *c,
						  enum conf_field f, int kind,
						  const char *name)
{
	size_t lo = c->first_exception[f];
	size_t hi = c->first_exception[f + 1];

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;
		const struct doc_exception *e = &c->exceptions[mid];
		int cmp = e->scope_kind != kind ? e->scope_kind - kind
						: strcmp(e->name, name);

		if (cmp == 0)
			return e;
		if (cmp < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return NULL;
}

int64_t conf_get_int(const struct conf *c, enum conf_field f,
		     const struct conf_scope *scope)
{
	if (!c)
		return conf_field_info(f)->def;
	if (scope && c->first_exception[f] != c->first_exception[f + 1]) {
		const char *const names[DOC_SCOPE_KINDS] = {
			scope->route, scope->trainer, scope->team,
			scope->domain};

		for (int kind = 0; kind < DOC_SCOPE_KINDS; kind++) {
			const struct doc_exception *e =
				names[kind] ? exception_find(c, f, kind,
							     names[kind])
					    : NULL;

			if (e)
				return e->value;
		}
	}
	return c->defaults[f];
}

static int row_cmp(const void *name, const void *row)
{
	return strcmp(name, *(const char *const *)row);
}

static int key_row_cmp(const void *id, const void *row)
{
	return strcmp(id, ((const struct conf_key *)row)->rec.id);
}

const struct conf_route *conf_route_find(const struct conf *c, const char *name)
{
	return bsearch(name, c->routes, c->n_routes, sizeof(*c->routes),
		       row_cmp);
}

const struct conf_team *conf_team_at(const struct conf *c, size_t i)
{
	return i < c->n_teams ? &c->teams[i] : NULL;
}

const struct conf_team *conf_team_find(const struct conf *c, const char *name)
{
	return bsearch(name, c->teams, c->n_teams, sizeof(*c->teams), row_cmp);
}

const struct conf_key *conf_key_find(const struct conf *c, const char *id)
{
	return bsearch(id, c->keys, c->n_keys, sizeof(*c->keys), key_row_cmp);
}

bool conf_team_has_key(const struct conf *c, const char *team)
{
	for (size_t i = 0; i < c->n_keys; i++) {
		const struct conf_key *k = &c->keys[i];

		if (!k->withdrawn && strcmp(k->team, team) == 0)
			return true;
	}
	return false;
}

bool conf_domain_enabled(const struct conf *c, const char *domain)
{
	const struct doc_domain *d = bsearch(domain, c->domains, c->n_domains,
					     sizeof(*c->domains), row_cmp);

	return !d || d->enabled;
}
