// Index of the servers: hash table by id, bit sets by service.
#include "server_index.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	TAGS_STEP = 16,
	TAGS_MAX = 256, ///< domains plus weight versions per service
};

static const uint32_t HASH_START = 2166136261U; ///< FNV-1a
static const uint32_t HASH_PRIME = 16777619U;

static uint32_t fnv1a(const char *s)
{
	uint32_t h = HASH_START;

	while (*s)
		h = (h ^ (unsigned char)*s++) * HASH_PRIME;
	return h;
}

static void set_bit(union index_set *set, int pos, bool on)
{
	uint64_t bit = UINT64_C(1) << (pos % INDEX_WORD_BITS);

	if (on)
		set->bits[pos / INDEX_WORD_BITS] |= bit;
	else
		set->bits[pos / INDEX_WORD_BITS] &= ~bit;
}

static bool has_bit(const union index_set *set, int pos)
{
	return set->bits[pos / INDEX_WORD_BITS] >> (pos % INDEX_WORD_BITS) & 1;
}

static void group_free(struct index_group *g)
{
	free(g->members);
	free(g->tags);
	free(g);
}

void server_index_free(struct server_index *ix)
{
	struct index_group *next;

	for (struct index_group *g = ix->groups; g; g = next) {
		next = g->next;
		group_free(g);
	}
}

static htab_handle *bucket_of(struct server_index *ix, const char *id)
{
	return &ix->ids[fnv1a(id) & (INDEX_ID_BUCKETS - 1)];
}

struct site_server *server_index_find(const struct server_index *ix,
				      const struct htab *tab, const char *id)
{
	htab_handle h = ix->ids[fnv1a(id) & (INDEX_ID_BUCKETS - 1)];
	struct site_server *s;

	while ((s = htab_get(tab, h))) {
		if (strcmp(s->entry.id, id) == 0)
			return s;
		h = s->id_next;
	}
	return NULL;
}

struct index_group *server_index_group(const struct server_index *ix,
				       const char *service)
{
	uint32_t hash = fnv1a(service);
	struct index_group *g = ix->groups;

	while (g && (g->hash != hash || strcmp(g->service, service) != 0))
		g = g->next;
	return g;
}

static struct index_group *group_add(struct server_index *ix,
				     const char *service)
{
	struct index_group *g = calloc(1, sizeof(*g));

	if (!g)
		return NULL;
	snprintf(g->service, sizeof(g->service), "%s", service);
	g->hash = fnv1a(service);
	g->avoidance_end_ms = INT64_MAX;
	g->next = ix->groups;
	ix->groups = g;
	return g;
}

static void group_del(struct server_index *ix, struct index_group *g)
{
	struct index_group **link = &ix->groups;

	while (*link != g)
		link = &(*link)->next;
	*link = g->next;
	group_free(g);
}

/* Lowest free position, -1 when out of memory. */
static int pos_alloc(struct index_group *g)
{
	int pos = 0;
	int w = 0;

	while (w < g->words && !~g->used.bits[w])
		w++;
	pos = w * INDEX_WORD_BITS;
	if (w < g->words)
		pos += __builtin_ctzll(~g->used.bits[w]);
	if (pos >= g->cap) {
		int cap = g->cap + INDEX_WORD_BITS;
		struct index_member *p =
			realloc(g->members, (size_t)cap * sizeof(*p));

		if (!p)
			return -1;
		g->members = p;
		g->cap = cap;
	}
	if (w == g->words)
		g->words++;
	return pos;
}

static struct index_tag *tag_find(const struct index_group *g, const char *name,
				  uint64_t version)
{
	uint32_t hash = fnv1a(name);

	for (int i = 0; i < g->n_tags; i++) {
		struct index_tag *tag = &g->tags[i];

		if (tag->n && tag->hash == hash && tag->version == version &&
		    strcmp(tag->name, name) == 0)
			return tag;
	}
	return NULL;
}

static struct index_tag *tag_add(struct index_group *g, const char *name,
				 uint64_t version)
{
	struct index_tag *tags = g->tags;
	int i = 0;

	while (i < g->n_tags && tags[i].n)
		i++;
	if (i == TAGS_MAX)
		return NULL;
	if (i == g->n_tags && i % TAGS_STEP == 0) {
		tags = realloc(tags, ((size_t)i + TAGS_STEP) * sizeof(*tags));
		if (!tags)
			return NULL;
		g->tags = tags;
	}
	if (i == g->n_tags)
		g->n_tags++;
	memset(&tags[i], 0, sizeof(tags[i]));
	snprintf(tags[i].name, sizeof(tags[i].name), "%s", name);
	tags[i].hash = fnv1a(name);
	tags[i].version = version;
	return &tags[i];
}

static void tag_server(struct index_group *g, const char *name,
		       uint64_t version, int pos)
{
	struct index_tag *tag = tag_find(g, name, version);

	if (!tag)
		tag = tag_add(g, name, version);
	if (!tag) {
		set_bit(&g->untagged, pos, true);
		g->has_untagged = true;
	} else if (!has_bit(&tag->servers, pos)) {
		set_bit(&tag->servers, pos, true);
		tag->n++;
	}
}

static void untag_server(struct index_group *g, int pos)
{
	for (int i = 0; i < g->n_tags; i++) {
		struct index_tag *tag = &g->tags[i];

		if (!tag->n || !has_bit(&tag->servers, pos))
			continue;
		set_bit(&tag->servers, pos, false);
		tag->n--;
	}
	while (g->n_tags && !g->tags[g->n_tags - 1].n)
		g->n_tags--;
	if (g->has_untagged)
		set_bit(&g->untagged, pos, false);
}

/* Tag a server with what requests select by: domain, and versions of models. */
static void tag_entry(struct index_group *g, const struct site_server *s)
{
	tag_server(g, s->entry.domain, 0, s->group_pos);
	for (int i = 0; i < s->entry.n_models; i++) {
		if (s->entry.models[i].version)
			tag_server(g, s->entry.models[i].name,
				   s->entry.models[i].version, s->group_pos);
	}
}

static enum err group_join(struct server_index *ix, struct site_server *s)
{
	struct index_group *g = server_index_group(ix, s->entry.service);

	if (!g)
		g = group_add(ix, s->entry.service);
	if (!g)
		return ERR_NOMEM;
	s->group_pos = pos_alloc(g);
	if (s->group_pos < 0) {
		if (!g->n)
			group_del(ix, g);
		return ERR_NOMEM;
	}
	s->group = g;
	g->members[s->group_pos].server = s;
	g->n++;
	set_bit(&g->used, s->group_pos, true);
	tag_entry(g, s);
	return ERR_OK;
}

static void group_leave(struct server_index *ix, struct site_server *s)
{
	struct index_group *g = s->group;

	server_index_set_usable(s, false);
	untag_server(g, s->group_pos);
	for (int i = 0; i < INDEX_QUARTERS; i++)
		set_bit(&g->load_below[i], s->group_pos, false);
	set_bit(&g->not_avoided, s->group_pos, false);
	set_bit(&g->ordered, s->group_pos, false);
	set_bit(&g->used, s->group_pos, false);
	s->group = NULL;
	if (!--g->n)
		group_del(ix, g);
}

enum err server_index_add(struct server_index *ix, struct site_server *s,
			  bool usable)
{
	htab_handle *head = bucket_of(ix, s->entry.id);
	enum err e = group_join(ix, s);

	if (e != ERR_OK)
		return e;
	s->id_next = *head;
	*head = s->self;
	server_index_update_load(s);
	server_index_set_usable(s, usable);
	return ERR_OK;
}

void server_index_del(struct server_index *ix, const struct htab *tab,
		      struct site_server *s)
{
	htab_handle *link = bucket_of(ix, s->entry.id);

	if (!s->group)
		return;
	while (*link != s->self)
		link = &((struct site_server *)htab_get(tab, *link))->id_next;
	*link = s->id_next;
	group_leave(ix, s);
}

static void update_load_below(struct index_group *g,
			      const struct site_server *s)
{
	bool ready = has_bit(&g->usable, s->group_pos) &&
		     has_bit(&g->not_avoided, s->group_pos);
	int slots = s->entry.slots;

	for (int i = 0; i < INDEX_QUARTERS; i++) {
		int n = slots * (i + 1) / INDEX_QUARTERS;

		if (n < 1 && slots > 0)
			n = 1;
		set_bit(&g->load_below[i], s->group_pos,
			ready && s->running < n);
	}
}

void server_index_update_load(struct site_server *s)
{
	struct index_group *g = s->group;

	if (!g)
		return;
	set_bit(&g->not_avoided, s->group_pos, !s->avoid_until_ms);
	if (s->avoid_until_ms && s->avoid_until_ms < g->avoidance_end_ms)
		g->avoidance_end_ms = s->avoid_until_ms;
	update_load_below(g, s);
}

void server_index_set_usable(struct site_server *s, bool usable)
{
	struct index_group *g = s->group;

	if (!g || has_bit(&g->usable, s->group_pos) == usable)
		return;
	set_bit(&g->usable, s->group_pos, usable);
	g->n_usable += usable ? 1 : -1;
	update_load_below(g, s);
}

void index_group_end_avoidance(struct index_group *g, int64_t now)
{
	int64_t next = INT64_MAX;

	g->avoidance_checked_ms = now;
	for (int w = 0; w < g->words; w++) {
		uint64_t avoided = g->used.bits[w] & ~g->not_avoided.bits[w];

		for (; avoided; avoided &= avoided - 1) {
			int pos =
				w * INDEX_WORD_BITS + __builtin_ctzll(avoided);
			struct site_server *s = g->members[pos].server;

			if (s->avoid_until_ms > now) {
				if (s->avoid_until_ms < next)
					next = s->avoid_until_ms;
				continue;
			}
			s->avoid_until_ms = 0;
			set_bit(&g->not_avoided, pos, true);
			update_load_below(g, s);
		}
	}
	g->avoidance_end_ms = next;
}

void index_group_model(const struct index_group *g, const char *model,
		       uint64_t min_version, union index_set *out)
{
	uint32_t hash = fnv1a(model);
	bool any = g->has_untagged;

	if (g->has_untagged)
		*out = g->untagged;
	for (int i = 0; i < g->n_tags; i++) {
		const struct index_tag *tag = &g->tags[i];

		if (!tag->n || tag->hash != hash || !tag->version ||
		    tag->version < min_version || strcmp(tag->name, model) != 0)
			continue;
		if (any)
			index_set_or(out, &tag->servers, g->words);
		else
			*out = tag->servers;
		any = true;
	}
	if (!any)
		memset(out, 0, sizeof(*out));
}

const union index_set *index_group_domain(const struct index_group *g,
					  const char *domain)
{
	const struct index_tag *tag = tag_find(g, domain, 0);

	return tag ? &tag->servers : NULL;
}

void server_index_mark_ordered(struct site_server *s)
{
	set_bit(&s->group->ordered, s->group_pos, true);
}
