// Lookups in the configuration: routes, services, teams of keys.
#include "site/conf.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

void site_conf_free(struct site_conf *conf)
{
	if (!conf)
		return;
	arena_free(&conf->arena);
	free(conf);
}

void site_key_hash(const char *key, uint8_t hash[SITE_KEY_HASH_SIZE])
{
	crypto_generichash(hash, SITE_KEY_HASH_SIZE, (const unsigned char *)key,
			   strlen(key), NULL, 0);
}

static int key_compare(const void *a, const void *b)
{
	const struct site_key *x = a;
	const struct site_key *y = b;

	return memcmp(x->hash, y->hash, SITE_KEY_HASH_SIZE);
}

enum err site_conf_sort_keys(struct site_conf *conf)
{
	for (size_t i = 0; i < conf->n_keys; i++) {
		int team = conf->keys[i].team;

		if (team < 0 || (size_t)team >= conf->n_teams)
			return ERR_INVALID;
	}
	if (conf->n_keys)
		qsort(conf->keys, conf->n_keys, sizeof(*conf->keys),
		      key_compare);
	return ERR_OK;
}

const struct site_route *site_conf_route(const struct site_conf *conf,
					 const char *host, const char *path)
{
	const struct site_route *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; i < conf->n_routes; i++) {
		const struct site_route *r = &conf->routes[i];
		size_t len = strlen(r->prefix);

		if (best && len <= best_len)
			continue;
		if (strcmp(r->host, host) != 0 ||
		    strncmp(path, r->prefix, len) != 0)
			continue;
		best = r;
		best_len = len;
	}
	return best;
}

const char *site_route_service(const struct site_route *r, uint64_t selector)
{
	uint64_t total = 0;
	uint64_t offset;

	for (int i = 0; i < r->n_targets; i++)
		total += r->targets[i].weight > 0 ? r->targets[i].weight : 0;
	if (!total)
		return r->n_targets ? r->targets[0].service : "";
	offset = selector % total;
	for (int i = 0; i < r->n_targets; i++) {
		uint64_t weight =
			r->targets[i].weight > 0 ? r->targets[i].weight : 0;

		if (offset < weight)
			return r->targets[i].service;
		offset -= weight;
	}
	return r->targets[0].service;
}

const struct site_service *site_conf_service(const struct site_conf *conf,
					     const char *name)
{
	for (size_t i = 0; i < conf->n_services; i++) {
		if (strcmp(conf->services[i].name, name) == 0)
			return &conf->services[i];
	}
	return NULL;
}

const char *site_conf_team_of_key(const struct site_conf *conf,
				  const char *bearer)
{
	struct site_key wanted = {.team = -1};
	const struct site_key *match;

	if (!bearer || !conf->n_keys)
		return NULL;
	site_key_hash(bearer, wanted.hash);
	match = bsearch(&wanted, conf->keys, conf->n_keys, sizeof(wanted),
			key_compare);
	if (!match)
		return NULL;
	return conf->teams[match->team];
}
