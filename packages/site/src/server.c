// Table of backend servers, and the choice among them.
#include "site/server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "server_index.h"
#include "server_table.h"
#include "speed.h"
#include "domains.h"

enum {
	SMALL = 64, ///< services up to here are compared as a whole
	/// Servers of the own failure domain and of others that are compared. A
	/// comparison takes some 200 instructions of the 4,000 that a choice may
	/// take.
	LOOK_OWN = 6,
	LOOK_OTHER = 2,
	LOOK_WORD = 2, ///< of these in a word of the index
	CALM_EVERY_MS = 10, ///< between two looks for ends of avoidance

	AVOID_MS =
		300, ///< after the first failure; doubles with each further one
	AVOID_DOUBLINGS = 3,
	REJECTED_MS = 150, ///< after a rejection, before the next request
	REJECTIONS = 10, ///< in a row that are a failure
	LOADING_MS = 1000, ///< longest usual load, from its order
	EXPECT_MS =
		950, ///< from an accepted order until the load is likely over
	/// An entry shows a load a heartbeat of 2 s later; after this time the
	/// entry is right and the order is not.
	EXPECT_LATE_MS = 4000,
	/// After a server did not have the expected version: it may take longer
	/// while many servers load.
	EXPECT_AGAIN_MS = 300,
	/// Of a service whose pace is looked at; the C library's qsort()
	/// allocates from 1 KB on.
	PACE_SERVERS = 120,
	PACE_EVERY_MS = 100, ///< between two looks at a large service's
	PACE_EVENTS = 4, ///< that a pace must be taken from to count
	PACE_KEEP_MS = 2000, ///< without events for longer, a pace is forgotten
	PERCENT = 100,
	COLD_BURST = 2, ///< requests that a cold server may get at once
	ROW_SERVER = 2, ///< calls without a good answer until a server is left
	/// Until a failure domain is left: servers of it are left before, so that the
	/// calls went to several.
	ROW_DOMAIN = 3,
};

/* Weights of the choice, in shares of a server's slots. */
static const double OTHER_DOMAIN = 0.25; ///< bytes between domains cost
static const double TROUBLED = 8.0; ///< more than any load
static const double CROWDED = 1.0; ///< more than its memory holds
static const double LEFT = 32.0; ///< more than what was busy or troubled
static const double AWAY = 0.5; ///< more than what the way to others costs
static const double SLOW_LOAD = 1.0; ///< for each time that it is slower
static const double SLOW_FROM = 1.25; ///< differences below are of the load
static const double PACE_WEIGHT = 0.2; ///< of a new event in the pace

struct site_servers *site_servers_new(void)
{
	struct site_servers *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->tab = htab_new(SITE_SERVERS, sizeof(struct site_server));
	if (t->tab)
		return t;
	free(t);
	return NULL;
}

void site_servers_free(struct site_servers *t)
{
	if (!t)
		return;
	server_index_free(&t->index);
	htab_free(t->tab);
	free(t);
}

struct site_server *site_servers_get(const struct site_servers *t,
				     htab_handle h)
{
	return htab_get(t->tab, h);
}

struct site_server *site_servers_next(const struct site_servers *t,
				      size_t *iter)
{
	return htab_next(t->tab, iter, NULL);
}

static struct site_server *find(const struct site_servers *t, const char *id)
{
	return server_index_find(&t->index, t->tab, id);
}

/* Only what an answer told, or an answer that is to come may tell, is kept. */
static void drop(struct site_servers *t, struct site_server *s)
{
	if (s->leaving || s->running) {
		struct gone *g = &t->gone[t->n_gone++ % GONE];

		*g = (struct gone){
			.self = s->self,
			.started_ms = s->entry.started_ms,
			.outage = s->lapsed_ms != 0,
			.leaving = s->leaving,
		};
		memcpy(g->id, s->entry.id, sizeof(g->id));
	}
	server_index_del(&t->index, t->tab, s);
	htab_del(t->tab, s->self);
}

/* Whether an entry has another place in the index than the one before. */
static bool moves(const struct site_server_entry *a,
		  const struct site_server_entry *b)
{
	if (strcmp(a->service, b->service) != 0 ||
	    strcmp(a->domain, b->domain) != 0 || a->n_models != b->n_models)
		return true;
	for (int i = 0; i < a->n_models; i++) {
		if (a->models[i].version != b->models[i].version ||
		    strcmp(a->models[i].name, b->models[i].name) != 0)
			return true;
	}
	return false;
}

/* Entries without a time of their start can be told apart by their id only. */
static bool same_start(const struct gone *g, const struct site_server_entry *e)
{
	return (e->started_ms || g->outage) && g->started_ms == e->started_ms &&
	       strcmp(g->id, e->id) == 0;
}

static bool was_leaving(const struct site_servers *t,
			const struct site_server_entry *e)
{
	for (int i = 0; i < GONE; i++) {
		if (t->gone[i].leaving && same_start(&t->gone[i], e))
			return true;
	}
	return false;
}

static enum err add(struct site_servers *t, const struct site_server_entry *e,
		    struct site_server **out)
{
	htab_handle h;
	struct site_server *s = htab_add(t->tab, &h);
	enum err err;

	if (!s)
		return ERR_FULL;
	s->self = h;
	s->entry = *e;
	s->leaving = was_leaving(t, e);
	err = server_index_add(&t->index, s, site_server_usable(t, s));
	if (err != ERR_OK)
		htab_del(t->tab, h);
	*out = s;
	return err;
}

/* Take a newer entry of a server that is known. */
static enum err renew(struct site_servers *t, struct site_server *s,
		      const struct site_server_entry *e)
{
	bool index = moves(&s->entry, e);
	enum err err = ERR_OK;

	if (index)
		server_index_del(&t->index, t->tab, s);
	s->entry = *e;
	if (index)
		err = server_index_add(&t->index, s, site_server_usable(t, s));
	if (err != ERR_OK) {
		htab_del(t->tab, s->self);
		return err;
	}
	server_index_load(s);
	server_index_usable(s, site_server_usable(t, s));
	return ERR_OK;
}

static struct gone *gone_of(struct site_servers *t, htab_handle h)
{
	for (int i = 0; i < GONE; i++) {
		if (t->gone[i].self == h)
			return &t->gone[i];
	}
	return NULL;
}

static void mark_leaving(struct site_server *s)
{
	s->leaving = true;
	server_index_usable(s, false);
}

const char *site_servers_leave(struct site_servers *t, htab_handle h)
{
	struct site_server *s = site_servers_get(t, h);
	struct gone *g = s ? NULL : gone_of(t, h);

	if (g && !g->leaving) {
		g->leaving = true;
		s = find(t, g->id);
		if (s && same_start(g, &s->entry))
			mark_leaving(s);
		return g->id;
	}
	if (!s || s->leaving)
		return NULL;
	mark_leaving(s);
	return s->entry.id;
}

enum err site_servers_put(struct site_servers *t, uint64_t rev, int64_t now,
			  const struct site_server_entry *e)
{
	struct site_server *s = find(t, e->id);
	enum err err;

	if (s)
		s->round = t->round;
	if (s && rev < s->rev)
		return ERR_OK;
	if (s && s->entry.started_ms != e->started_ms) {
		drop(t, s);
		s = NULL;
	}
	err = s ? renew(t, s, e) : add(t, e, &s);
	if (err != ERR_OK)
		return err;
	s->rev = rev;
	s->round = t->round;
	s->lapsed_ms = 0;
	s->cold_until_ms = e->cold_left_ms > 0 ? now + e->cold_left_ms : 0;
	return ERR_OK;
}

void site_servers_gone(struct site_servers *t, const char *id, int64_t now,
		       bool outage)
{
	struct site_server *s = find(t, id);

	if (!s)
		return;
	if (!outage)
		drop(t, s);
	else if (!s->lapsed_ms)
		s->lapsed_ms = now;
}

void site_servers_begin_list(struct site_servers *t)
{
	t->round++;
}

void site_servers_end_list(struct site_servers *t, int64_t now, bool outage)
{
	struct site_server *s;
	size_t iter = 0;

	while ((s = site_servers_next(t, &iter))) {
		if (s->round != t->round)
			site_servers_gone(t, s->entry.id, now, outage);
	}
}

void site_servers_expire(struct site_servers *t, int64_t now,
			 int64_t store_back_ms)
{
	struct site_server *s;
	size_t iter = 0;

	if (!store_back_ms || now - store_back_ms < SITE_LAPSE_MS)
		return;
	while ((s = site_servers_next(t, &iter))) {
		if (s->lapsed_ms)
			drop(t, s);
	}
}

static int domain_at(const struct site_servers *t, const char *domain)
{
	for (int i = 0; i < t->n_out; i++) {
		if (strcmp(t->out[i], domain) == 0)
			return i;
	}
	return -1;
}

/* A domain went out or came back. */
static void index_usable(struct site_servers *t)
{
	struct site_server *s;
	size_t iter = 0;

	while ((s = site_servers_next(t, &iter)))
		server_index_usable(s, site_server_usable(t, s));
}

void site_servers_domain_out(struct site_servers *t, const char *domain,
			     bool out)
{
	int at = domain_at(t, domain);

	if (out && at < 0 && t->n_out < DOMAINS_OUT) {
		strncpy(t->out[t->n_out], domain, SITE_NAME - 1);
		t->n_out++;
		index_usable(t);
	} else if (!out && at >= 0) {
		t->n_out--;
		memmove(t->out[at], t->out[t->n_out], SITE_NAME);
		memset(t->out[t->n_out], 0, SITE_NAME);
		index_usable(t);
	}
}

void site_servers_domains_in(struct site_servers *t)
{
	if (!t->n_out)
		return;
	memset(t->out, 0, sizeof(t->out));
	t->n_out = 0;
	index_usable(t);
}

bool site_server_usable(const struct site_servers *t,
			const struct site_server *s)
{
	return !s->entry.leaving && !s->leaving &&
	       domain_at(t, s->entry.domain) < 0;
}

int site_servers_usable(const struct site_servers *t, const char *service)
{
	const struct index_group *g = server_index_group(&t->index, service);

	return g ? g->n_usable : 0;
}

uint64_t site_server_version(const struct site_server *s, const char *model)
{
	for (int i = 0; i < s->entry.n_models; i++) {
		if (strcmp(s->entry.models[i].name, model) == 0)
			return s->entry.models[i].version;
	}
	return 0;
}

/* Whether an order still says more than the server's entry. */
static bool load_open(const struct site_server *s, int64_t now)
{
	const struct site_load *l = &s->load;

	return l->version && now - l->sent_ms < EXPECT_LATE_MS &&
	       site_server_version(s, l->model) < l->version;
}

enum err site_servers_ordered(struct site_servers *t, int64_t now,
			      const struct site_order *o)
{
	struct site_server *s = find(t, o->server);
	struct site_load *l;
	bool same;

	if (!s || s->entry.started_ms != o->started_ms)
		return ERR_NOT_FOUND;
	l = &s->load;
	same = l->version == o->version && strcmp(l->model, o->model) == 0;
	if (o->state == SITE_ORDER_FAILED) {
		if (same)
			l->version = 0;
		return ERR_OK;
	}
	if (load_open(s, now) && !same && o->sent_ms < l->sent_ms)
		return ERR_OK;
	*l = (struct site_load){
		.version = o->version,
		.sent_ms = o->sent_ms,
		.accepted = o->state == SITE_ORDER_ACCEPTED,
		.expect_ms = o->sent_ms + EXPECT_MS,
	};
	snprintf(l->model, sizeof(l->model), "%s", o->model);
	server_index_ordered(s);
	return ERR_OK;
}

bool site_server_loading(const struct site_server *s, int64_t now)
{
	return load_open(s, now) && now - s->load.sent_ms < LOADING_MS;
}

/* Version of a model that a server likely has by an order, 0 if none. */
static uint64_t expected_version(const struct site_server *s, int64_t now,
				 const char *model)
{
	const struct site_load *l = &s->load;

	return load_open(s, now) && l->accepted && now >= l->expect_ms &&
			       strcmp(l->model, model) == 0
		       ? l->version
		       : 0;
}

uint64_t site_server_expects(const struct site_server *s, int64_t now,
			     const char *model, uint64_t min_version)
{
	uint64_t v = expected_version(s, now, model);
	bool needed = site_server_loading(s, now) ||
		      site_server_version(s, model) < min_version;

	return needed && v >= min_version ? v : 0;
}

bool site_server_has(const struct site_server *s, int64_t now,
		     const char *model, uint64_t min_version)
{
	uint64_t v = site_server_version(s, model);

	if (v && v >= min_version && !site_server_loading(s, now))
		return true;
	return site_server_expects(s, now, model, min_version) > 0;
}

static bool tried(const struct site_ask *ask, htab_handle h)
{
	for (int i = 0; i < ask->n_not; i++) {
		if (ask->not [i] == h)
			return true;
	}
	return false;
}

/* Requests that a cold server may get now; it bears a rate, not a number. */
static double cold_credit(const struct site_server *s, int64_t now, double rate)
{
	double credit = s->cold_credit +
			(double)(now - s->cold_credit_ms) * rate / 1000.0;

	return credit > COLD_BURST ? COLD_BURST : credit;
}

/* Slots that this kind of request may take up, one at least. */
static int slots_for(const struct site_server *s, const struct site_ask *ask)
{
	int n = s->entry.slots;

	if (ask->share > 0)
		n = n * ask->share / PERCENT;
	return n > 0 || s->entry.slots < 1 ? n : 1;
}

/* Requests there, those of other nodes too where they matter. */
static int busy_of(const struct site_server *s, const struct site_ask *ask)
{
	return ask->only_free ? s->running + s->others : s->running;
}

/* Whether this node may take one more slot. Slots that were free at the last report
 * are shared among the nodes that have samples waiting; those that this node's own
 * requests leave stay its own, since no other node knows yet that they are free. */
static bool may_take(const struct site_server *s, const struct site_ask *ask)
{
	const struct site_claims *cl = &ask->claims;
	int slots = slots_for(s, ask);
	int sent = s->claim_round == cl->round ? s->sent : 0;
	int claimants = cl->others + 1;
	int free = slots - (s->running - sent) - s->others;

	if (busy_of(s, ask) >= slots)
		return false;
	return !cl->others ||
	       (ask->model &&
		site_server_version(s, ask->model) < cl->min_version) ||
	       sent < free / claimants + (cl->rank < free % claimants);
}

static bool fits(const struct site_servers *t, const struct site_server *s,
		 int64_t now, const struct site_ask *ask)
{
	if (strcmp(s->entry.service, ask->service) != 0 ||
	    !site_server_usable(t, s) || tried(ask, s->self))
		return false;
	if (ask->model ? !site_server_has(s, now, ask->model, ask->min_version)
		       : site_server_loading(s, now))
		return false;
	if (ask->only_free && (!may_take(s, ask) || now < s->avoid_until_ms))
		return false;
	return s->cold_until_ms <= now || ask->cold_rate <= 0 ||
	       cold_credit(s, now, ask->cold_rate) >= 1;
}

/* What recent outcomes of short calls add. */
static double live_load(const struct site_servers *t,
			const struct site_server *s, int64_t now,
			const struct site_ask *ask)
{
	double load = 0;

	if (site_health_left(&s->health, now))
		load += LEFT;
	if (site_domains_left(&t->domains, s->entry.domain, now))
		load += LEFT;
	if (ask->away && strcmp(s->entry.domain, ask->away) == 0)
		load += AWAY;
	return load;
}

static double load_of(const struct site_servers *t, const struct site_server *s,
		      int64_t now, const struct site_ask *ask)
{
	int slots = s->entry.slots > 0 ? s->entry.slots : 1;
	double load = (double)busy_of(s, ask) / slots;
	double slowness;

	if (ask->memory_tokens > 0) {
		double memory = (double)(s->tokens + ask->tokens) /
				(double)ask->memory_tokens;

		load = memory > load ? memory : load;
		load += memory > 1 ? CROWDED : 0;
	}
	if (strcmp(s->entry.domain, ask->domain) != 0)
		load += OTHER_DOMAIN;
	if (now < s->avoid_until_ms)
		load += TROUBLED;
	if (ask->live)
		load += live_load(t, s, now, ask);
	if (ask->speed != SITE_ANY_SPEED)
		return load + speed_load(s, now, ask);
	slowness = site_server_slowness(s, now, ask->pace_ms);
	if (slowness > SLOW_FROM)
		load += (slowness - 1) * SLOW_LOAD;
	return load;
}

struct pick {
	const struct site_servers *t;
	int64_t now;
	const struct site_ask *ask;
	struct site_server *best;
	double best_load;
};

/* Compare one more server; false if it does not fit. */
static bool look(struct pick *p, struct site_server *s)
{
	double load;

	if (!fits(p->t, s, p->now, p->ask))
		return false;
	load = load_of(p->t, s, p->now, p->ask);
	if (!p->best || load < p->best_load) {
		p->best = s;
		p->best_load = load;
	}
	return true;
}

/* Nodes must not draw the same servers: their clocks differ. */
static uint64_t next_draw(struct site_servers *t, int64_t now)
{
	t->rng.state += (uint64_t)now;
	return rng_next(&t->rng);
}

/* Compare candidates of a word, from a drawn bit on, until enough of them fit.
 *
 * @return how many more are wanted */
static int look_at(struct pick *p, const struct index_group *g, int word,
		   uint64_t left, int from, int enough)
{
	/* Shifts by 0 to 63 only: by 64 they are undefined. */
	left = left >> from | left << (-from & (INDEX_WORD_BITS - 1));
	for (; left && enough > 0; left &= left - 1) {
		int bit = (__builtin_ctzll(left) + from) % INDEX_WORD_BITS;

		enough -=
			look(p, g->places[word * INDEX_WORD_BITS + bit].server);
	}
	return enough;
}

static int least(int a, int b)
{
	return a < b ? a : b;
}

/* Compare some candidates of the own failure domain and some of others, from a
 * drawn place on. Few are taken of a word: if neighbours were compared with each
 * other only, those beside a gap would be chosen too often. */
static void look_in(struct site_servers *t, struct pick *p,
		    const struct index_group *g, const union index_set *set)
{
	static const union index_set none;
	const union index_set *own = index_group_domain(g, p->ask->domain);
	uint64_t draw = next_draw(t, p->now);
	int w = (int)((draw >> 32) % (uint64_t)g->words);
	int from = (int)(draw % INDEX_WORD_BITS);
	int n_own = own ? LOOK_OWN : 0;
	int n_other = own ? LOOK_OTHER : LOOK_OWN;

	if (!own)
		own = &none;
	for (int i = 0; i < g->words && n_own + n_other > 0; i++) {
		uint64_t left = set->bits[w];
		int n = least(LOOK_WORD, n_own);
		int m = least(LOOK_WORD, n_other);

		if (left) {
			n_own +=
				look_at(p, g, w, left & own->bits[w], from, n) -
				n;
			n_other += look_at(p, g, w, left & ~own->bits[w], from,
					   m) -
				   m;
		}
		w = w + 1 < g->words ? w + 1 : 0;
	}
}

static const union index_set *free_set(const struct index_group *g, int share)
{
	int quarters = (share * INDEX_QUARTERS + PERCENT - 1) / PERCENT;

	if (share <= 0 || quarters > INDEX_QUARTERS)
		quarters = INDEX_QUARTERS;
	return &g->below[quarters - 1];
}

/* Servers of a set that have what is asked for. */
static void capable(const struct index_group *g, const struct site_ask *ask,
		    const union index_set *in, union index_set *out)
{
	if (!ask->model) {
		*out = *in;
		return;
	}
	index_group_model(g, ask->model, ask->min_version, out);
	index_set_or(out, &g->ordered, g->words);
	index_set_and(out, in, g->words);
}

static void look_among(struct site_servers *t, struct pick *p,
		       const struct index_group *g, const union index_set *in)
{
	union index_set set;

	capable(g, p->ask, in, &set);
	look_in(t, p, g, &set);
}

/* A large service: free servers first, then any that are not avoided, then
 * the others. */
static void choose_large(struct site_servers *t, struct pick *p,
			 struct index_group *g)
{
	const union index_set *idle = free_set(g, p->ask->share);
	union index_set calm;

	if (p->now >= g->calm_at_ms && p->now - g->calmed_ms >= CALM_EVERY_MS)
		index_group_calm(g, p->now);
	look_among(t, p, g, idle);
	if (!p->best && p->now >= g->calm_at_ms) {
		index_group_calm(g, p->now);
		look_among(t, p, g, idle);
	}
	if (p->best || p->ask->only_free)
		return;
	calm = g->usable;
	index_set_and(&calm, &g->calm, g->words);
	look_among(t, p, g, &calm);
	if (!p->best)
		look_among(t, p, g, &g->usable);
}

static void choose_small(struct pick *p, const struct index_group *g)
{
	for (int w = 0; w < g->words; w++) {
		uint64_t left = g->used.bits[w];

		for (; left; left &= left - 1)
			look(p, g->places[w * INDEX_WORD_BITS +
					  __builtin_ctzll(left)]
					.server);
	}
}

struct site_server *site_servers_choose(struct site_servers *t, int64_t now,
					const struct site_ask *ask)
{
	struct index_group *g = server_index_group(&t->index, ask->service);
	struct pick p = {.t = t, .now = now, .ask = ask};

	if (!g)
		return NULL;
	if (g->n <= SMALL)
		choose_small(&p, g);
	else
		choose_large(t, &p, g);
	if (p.best && p.best->cold_until_ms > now && ask->cold_rate > 0) {
		p.best->cold_credit =
			cold_credit(p.best, now, ask->cold_rate) - 1;
		p.best->cold_credit_ms = now;
	}
	if (p.best && p.best->claim_round != ask->claims.round) {
		p.best->claim_round = ask->claims.round;
		p.best->sent = 0;
	}
	return p.best;
}

/* The compiler's own count is a call where no instruction for it is assumed. */
static int bits_in(uint64_t x)
{
	x -= x >> 1 & UINT64_C(0x5555555555555555);
	x = (x & UINT64_C(0x3333333333333333)) +
	    (x >> 2 & UINT64_C(0x3333333333333333));
	x = (x + (x >> 4)) & UINT64_C(0x0f0f0f0f0f0f0f0f);
	return (int)(x * UINT64_C(0x0101010101010101) >> 56);
}

int site_servers_fitting(const struct site_servers *t,
			 const struct site_ask *ask)
{
	const struct index_group *g =
		server_index_group(&t->index, ask->service);
	union index_set set;
	int n = 0;

	if (!g)
		return 0;
	capable(g, ask, &g->usable, &set);
	for (int w = 0; w < g->words; w++)
		n += bits_in(set.bits[w]);
	return n;
}

void site_server_begin(struct site_server *s, int64_t now)
{
	s->running++;
	s->sent++;
	server_index_load(s);
}

void site_server_reserve(struct site_server *s, int64_t tokens)
{
	s->tokens += tokens;
}

void site_server_drop(struct site_server *s)
{
	if (s->running > 0)
		s->running--;
	s->sent--;
	server_index_load(s);
}

int site_server_call(struct site_servers *t, struct site_server *s, int64_t now)
{
	struct site_health *d = site_domains_get(&t->domains, s->entry.domain);
	int probe = 0;

	if (site_health_begin(&s->health, now))
		probe |= SITE_PROBE_SERVER;
	if (d && site_health_begin(d, now))
		probe |= SITE_PROBE_DOMAIN;
	return probe;
}

bool site_server_call_end(struct site_servers *t, struct site_server *s,
			  int64_t now, enum site_outcome how, int probe)
{
	struct site_health *d = site_domains_get(&t->domains, s->entry.domain);
	int row = how == SITE_CALL_SILENT ? 1 : ROW_SERVER;

	if (d)
		site_health_end(d, now, how, ROW_DOMAIN,
				probe & SITE_PROBE_DOMAIN);
	site_domains_recount(&t->domains);
	return site_health_end(&s->health, now, how, row,
			       probe & SITE_PROBE_SERVER);
}

void site_server_end(struct site_server *s, int64_t now, bool ok)
{
	int shift;

	if (ok) {
		s->failures = 0;
		s->rejections = 0;
		s->avoid_until_ms = 0;
	} else {
		shift = s->failures < AVOID_DOUBLINGS ? s->failures
						      : AVOID_DOUBLINGS;
		s->avoid_until_ms = now + ((int64_t)AVOID_MS << shift);
		s->failures++;
	}
	site_server_drop(s);
}

void site_server_rejected(struct site_server *s, int64_t now, uint64_t expected)
{
	struct site_load *l = &s->load;

	if (expected && l->version == expected && now >= l->expect_ms)
		l->expect_ms = now + EXPECT_AGAIN_MS;
	/* Requests that were on their way at the last one say the same. */
	if (now >= s->avoid_until_ms && ++s->rejections >= REJECTIONS) {
		s->rejections = 0;
		site_server_end(s, now, false);
		return;
	}
	if (s->avoid_until_ms < now + REJECTED_MS)
		s->avoid_until_ms = now + REJECTED_MS;
	site_server_drop(s);
}

void site_server_paced(struct site_server *s, int64_t now, double ms)
{
	s->rejections = 0;
	if (now - s->paced_ms > PACE_KEEP_MS)
		s->pace_events = 0;
	s->pace_ms = s->pace_events
			     ? s->pace_ms + PACE_WEIGHT * (ms - s->pace_ms)
			     : ms;
	s->pace_events++;
	s->paced_ms = now;
}

static bool pace_known(const struct site_server *s, int64_t now)
{
	return s->pace_events >= PACE_EVENTS &&
	       now - s->paced_ms <= PACE_KEEP_MS;
}

static int double_compare(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Quarter of the paces of servers from a drawn place on. */
static double pace_of(struct site_servers *t, const struct index_group *g,
		      int64_t now)
{
	double paces[PACE_SERVERS];
	int w = (int)(next_draw(t, now) % (uint64_t)g->words);
	size_t n = 0;

	for (int i = 0; i < g->words; i++) {
		uint64_t left = g->used.bits[w];

		for (; left && n < PACE_SERVERS; left &= left - 1) {
			const struct site_server *s =
				g->places[w * INDEX_WORD_BITS +
					  __builtin_ctzll(left)]
					.server;

			if (pace_known(s, now))
				paces[n++] = s->pace_ms;
		}
		w = w + 1 < g->words ? w + 1 : 0;
	}
	if (!n)
		return 0;
	qsort(paces, n, sizeof(*paces), double_compare);
	return paces[n / 4];
}

double site_servers_pace(struct site_servers *t, const char *service,
			 int64_t now)
{
	struct index_group *g = server_index_group(&t->index, service);

	if (!g)
		return 0;
	if (g->n <= SMALL)
		return pace_of(t, g, now);
	if (!g->paced_ms || now - g->paced_ms >= PACE_EVERY_MS) {
		g->pace_ms = pace_of(t, g, now);
		g->paced_ms = now;
	}
	return g->pace_ms;
}

double site_server_slowness(const struct site_server *s, int64_t now,
			    double usual_ms)
{
	if (usual_ms <= 0 || !pace_known(s, now))
		return 1;
	return s->pace_ms / usual_ms;
}
