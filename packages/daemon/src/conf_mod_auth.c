// Checks keys and teams of requests against the document in force.
#include <stdio.h>

#include "base/metric.h"
#include "conf_mod_priv.h"
#include "key/key.h"

#include <string.h>

static bool team_allowed(const struct conf_route *route, const char *team)
{
	if (!route->teams)
		return true;
	for (size_t i = 0; i < route->n_teams; i++) {
		if (strcmp(route->teams[i], team) == 0)
			return true;
	}
	return false;
}

/// Whether keyed work on a route may run, given how fresh the keys are.
static enum err check_contact(struct core *c, const struct conf_route *route)
{
	switch (conf_mod_freshness(c)) {
	case CONF_NO_DOC:
		return ERR_CONF_NONE;
	case CONF_CUT_OFF:
		return route->keep_cut_off ? ERR_OK : ERR_CONF_CUT_OFF;
	default:
		return ERR_OK;
	}
}

static enum err check_key(const struct conf *doc,
			  const struct conf_route *route, const char *id,
			  const struct conf_key **out)
{
	const struct conf_key *k = conf_key_find(doc, id);

	*out = k;
	if (!k)
		return ERR_KEY_UNKNOWN;
	if (k->withdrawn)
		return ERR_KEY_WITHDRAWN;
	if (!conf_team_find(doc, k->team) || !team_allowed(route, k->team))
		return ERR_KEY_TEAM;
	return ERR_OK;
}

static enum err authenticate(struct core *c, const struct conf_route *route,
			     const char *bearer, const struct conf_key **key)
{
	const struct conf *doc = conf_mod_current(c);
	char id[KEY_ID_LEN + 1];
	enum err e;

	*key = NULL;
	if (!doc)
		return ERR_CONF_NONE;
	if (route->open && !bearer)
		return ERR_OK;
	e = key_id(bearer, id);
	if (e)
		return e;
	e = check_key(doc, route, id, key);
	if (*key && !key_verify(&(*key)->rec, bearer))
		return ERR_KEY_UNKNOWN;
	return e ? e : check_contact(c, route);
}

enum err conf_mod_auth(struct core *c, const struct conf_route *route,
		       const char *bearer, char *team, size_t len)
{
	const struct conf_key *key;
	enum err e = authenticate(c, route, bearer, &key);

	snprintf(team, len, "%s", !e && key ? key->team : "");
	if (e)
		metric_add(M_KEY_REFUSED, 1);
	return e;
}

void conf_mod_key_id(const char *bearer, char *id)
{
	key_id(bearer, id);
}

enum err conf_mod_check_team(struct core *c, const struct conf_route *route,
			     const char *team)
{
	const struct conf *doc = conf_mod_current(c);

	if (!doc)
		return ERR_CONF_NONE;
	if (!route)
		return ERR_NOT_FOUND;
	if (!*team)
		return route->open ? ERR_OK : ERR_KEY_MISSING;
	if (!conf_team_find(doc, team) || !team_allowed(route, team))
		return ERR_KEY_TEAM;
	if (!conf_team_has_key(doc, team))
		return ERR_KEY_WITHDRAWN;
	return check_contact(c, route);
}

enum err conf_mod_check_key(struct core *c, const struct conf_route *route,
			    const char *id)
{
	const struct conf *doc = conf_mod_current(c);
	const struct conf_key *key;
	enum err e;

	if (!doc)
		return ERR_CONF_NONE;
	if (!route)
		return ERR_NOT_FOUND;
	if (!*id)
		return route->open ? ERR_OK : ERR_KEY_MISSING;
	e = check_key(doc, route, id, &key);
	return e ? e : check_contact(c, route);
}
