// Choice of a server for a request.
#include <string.h>

#include "base/rng.h"
#include "server_table.h"
#include "speed.h"

enum {
	/// Servers of the own failure domain and of others that are compared. A
	/// comparison takes some 200 instructions of the 4,000 that a choice may
	/// take.
	LOOK_OWN = 6,
	LOOK_OTHER = 2,
	LOOK_WORD = 2, ///< of these in a word of the index
	CALM_EVERY_MS = 10, ///< between two looks for ends of avoidance
	PERCENT = 100,
	COLD_BURST = 2, ///< requests that a cold server may get at once
};

/* Weights of the choice, in shares of a server's slots. */
static const double OTHER_DOMAIN = 0.25; ///< bytes between domains cost
static const double TROUBLED = 8.0; ///< more than any load
static const double CROWDED = 1.0; ///< more than its memory holds
static const double LEFT = 32.0; ///< more than what was busy or troubled
static const double AWAY = 0.5; ///< more than what the way to others costs

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
	return load + speed_load(s, now, ask);
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
	uint64_t draw = site_servers_draw(t, p->now);
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
	if (g->n <= SITE_SMALL)
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
