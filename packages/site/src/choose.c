// Choice of a server for a request by load score.
#include <string.h>

#include "base/rng.h"
#include "server_table.h"
#include "speed.h"

enum {
	/// Servers compared per choice, of the own failure domain and of others. A
	/// comparison costs some 200 instructions, and a choice may take 4,000.
	COMPARE_OWN_DOMAIN = 6,
	COMPARE_OTHER_DOMAINS = 2,
	COMPARE_PER_WORD = 2, ///< of these per word of the index
	/// Least time between two checks for ended avoidance.
	AVOIDANCE_CHECK_MS = 10,
	PERCENT = 100,
	COLD_BURST_REQUESTS = 2, ///< requests a cold server may get in a burst
	/// Between requests to a server whose load may not be over: it rejects all while
	/// it loads, and a response to one shows the end.
	LOAD_PROBE_MS = 150,
};

/* Penalties in a load score, where 1.0 is all slots of a server busy. */
/// Traffic between domains has a cost.
static const double OTHER_DOMAIN_LOAD = 0.25;
static const double FAILING_LOAD = 8.0; ///< more than any load
static const double MEMORY_FULL_LOAD = 1.0; ///< memory would overflow
/// More than for a busy or failing server.
static const double EJECTED_LOAD = 32.0;
/// A server in need is spared while others have free slots.
static const double LIMITED_LOAD = 1.0;
static const double AVOIDED_DOMAIN_LOAD = 0.5; ///< more than OTHER_DOMAIN_LOAD

static bool is_excluded(const struct site_request *req, htab_handle h)
{
	for (int i = 0; i < req->n_exclude; i++) {
		if (req->not [i] == h)
			return true;
	}
	return false;
}

/* Requests that a cold server may get now: a token bucket, as it is limited by rate. */
static double cold_credit(const struct site_server *s, int64_t now, double rate)
{
	double credit = s->cold_credit +
			(double)(now - s->cold_credit_ms) * rate / 1000.0;

	return credit > COLD_BURST_REQUESTS ? COLD_BURST_REQUESTS : credit;
}

/* Slots that this kind of request may occupy, at least one. */
static int allowed_slots(const struct site_server *s,
			 const struct site_request *req)
{
	int n = s->entry.slots;

	if (req->share > 0)
		n = n * req->share / PERCENT;
	return n > 0 || s->entry.slots < 1 ? n : 1;
}

/* Requests at a server; those of other nodes count only with only_free. */
static int busy_slots(const struct site_server *s,
		      const struct site_request *req)
{
	return req->only_free ? s->running + s->others : s->running;
}

/* Whether this node may take one more slot. Slots that were free at the last report are
 * divided among the nodes that have samples waiting. A slot that this node's own request
 * frees stays with this node, since no other node knows yet that it is free. */
static bool may_claim_slot(const struct site_server *s,
			   const struct site_request *req)
{
	const struct site_claims *claims = &req->claims;
	int slots = allowed_slots(s, req);
	int sent_in_round =
		s->claim_round == claims->round ? s->sent_in_round : 0;
	int claimant_nodes = claims->others + 1;
	int free = slots - (s->running - sent_in_round) - s->others;

	if (busy_slots(s, req) >= slots)
		return false;
	return !claims->others ||
	       (req->model &&
		site_server_version(s, req->model) < claims->min_version) ||
	       sent_in_round < free / claimant_nodes +
				       (claims->rank < free % claimant_nodes);
}

static bool is_eligible(const struct site_servers *t,
			const struct site_server *s, int64_t now,
			const struct site_request *req)
{
	if (strcmp(s->entry.service, req->service) != 0 ||
	    !site_server_usable(t, s) || is_excluded(req, s->self))
		return false;
	if (req->model ? !site_server_has_version(s, now, req->model,
						  req->min_version)
		       : site_server_is_loading(s, now))
		return false;
	if (req->only_free &&
	    (!may_claim_slot(s, req) || now < s->avoid_until_ms))
		return false;
	if (req->only_free && req->model &&
	    now - s->load_probe_ms < LOAD_PROBE_MS &&
	    site_server_load_unseen(s, now, req->model))
		return false;
	if (req->below_version &&
	    site_server_has_version(s, now, req->model, req->below_version))
		return false;
	if (s->limit.per_s > 0 && req->spare_limited)
		return false;
	return s->cold_until_ms <= now || req->cold_rate <= 0 ||
	       cold_credit(s, now, req->cold_rate) >= 1;
}

/* Penalties for a short call: ejected server or domain, domain to avoid. */
static double health_load(const struct site_servers *t,
			  const struct site_server *s, int64_t now,
			  const struct site_request *req)
{
	double load = 0;

	if (site_health_ejected(&s->health, now))
		load += EJECTED_LOAD;
	if (site_domains_ejected(&t->domains, s->entry.domain, now))
		load += EJECTED_LOAD;
	if (req->away && strcmp(s->entry.domain, req->away) == 0)
		load += AVOIDED_DOMAIN_LOAD;
	return load;
}

static double load_score(const struct site_servers *t,
			 const struct site_server *s, int64_t now,
			 const struct site_request *req)
{
	int slots = s->entry.slots > 0 ? s->entry.slots : 1;
	double load = (double)busy_slots(s, req) / slots;

	if (req->memory_tokens > 0) {
		double memory = (double)(s->tokens + req->tokens) /
				(double)req->memory_tokens;

		load = memory > load ? memory : load;
		load += memory > 1 ? MEMORY_FULL_LOAD : 0;
	}
	if (strcmp(s->entry.domain, req->domain) != 0)
		load += OTHER_DOMAIN_LOAD;
	if (now < s->avoid_until_ms)
		load += FAILING_LOAD;
	if (s->limit.per_s > 0)
		load += LIMITED_LOAD;
	if (req->live)
		load += health_load(t, s, now, req);
	return load + speed_load(s, now, req);
}

struct choice {
	const struct site_servers *t;
	int64_t now;
	const struct site_request *req;
	struct site_server *best;
	double best_load;
	struct site_server *limited; ///< lacks nothing but a permit
	double limited_load;
};

/* A server with a limit whose permits this node may ask for. */
static void consider_limited(struct choice *p, struct site_server *s)
{
	double load;

	if (!p->req->waiting || p->now < s->limit.refused_until_ms ||
	    site_limit_pending(&s->limit, p->now))
		return;
	load = load_score(p->t, s, p->now, p->req);
	if (!p->limited || load < p->limited_load) {
		p->limited = s;
		p->limited_load = load;
	}
}

/* Compare one more server; false if it is not eligible. */
static bool consider(struct choice *p, struct site_server *s)
{
	double load;

	if (!is_eligible(p->t, s, p->now, p->req))
		return false;
	if (!site_limit_allows(&s->limit, p->now)) {
		consider_limited(p, s);
		return false;
	}
	load = load_score(p->t, s, p->now, p->req);
	if (!p->best || load < p->best_load) {
		p->best = s;
		p->best_load = load;
	}
	return true;
}

/* Compare candidates of a word, starting at first_bit, until enough are eligible.
 *
 * @return number still missing */
static int consider_word(struct choice *p, const struct index_group *g,
			 int word, uint64_t candidates, int first_bit,
			 int enough)
{
	/* Shifts by 0 to 63 only: by 64 they are undefined. */
	candidates = candidates >> first_bit |
		     candidates << (-first_bit & (INDEX_WORD_BITS - 1));
	for (; candidates && enough > 0; candidates &= candidates - 1) {
		int bit = (__builtin_ctzll(candidates) + first_bit) %
			  INDEX_WORD_BITS;

		enough -= consider(
			p, g->members[word * INDEX_WORD_BITS + bit].server);
	}
	return enough;
}

static int smaller_int(int a, int b)
{
	return a < b ? a : b;
}

/* Compare some candidates of the own failure domain and some of others, from a random
 * position on. Few are taken per word: if only neighbours were compared, those next to a
 * gap would be chosen too often. */
static void consider_some(struct site_servers *t, struct choice *p,
			  const struct index_group *g,
			  const union index_set *set)
{
	static const union index_set none;
	const union index_set *own = index_group_domain(g, p->req->domain);
	uint64_t draw = site_servers_draw(t, p->now);
	int w = (int)((draw >> 32) % (uint64_t)g->words);
	int first_bit = (int)(draw % INDEX_WORD_BITS);
	int own_left = own ? COMPARE_OWN_DOMAIN : 0;
	int other_left = own ? COMPARE_OTHER_DOMAINS : COMPARE_OWN_DOMAIN;

	if (!own)
		own = &none;
	for (int i = 0; i < g->words && own_left + other_left > 0; i++) {
		uint64_t candidates = set->bits[w];
		int n = smaller_int(COMPARE_PER_WORD, own_left);
		int m = smaller_int(COMPARE_PER_WORD, other_left);

		if (candidates) {
			own_left += consider_word(p, g, w,
						  candidates & own->bits[w],
						  first_bit, n) -
				    n;
			other_left += consider_word(p, g, w,
						    candidates & ~own->bits[w],
						    first_bit, m) -
				      m;
		}
		w = w + 1 < g->words ? w + 1 : 0;
	}
}

static const union index_set *servers_below(const struct index_group *g,
					    int share)
{
	int quarters = (share * INDEX_QUARTERS + PERCENT - 1) / PERCENT;

	if (share <= 0 || quarters > INDEX_QUARTERS)
		quarters = INDEX_QUARTERS;
	return &g->load_below[quarters - 1];
}

/* Servers of a set that have, or were ordered to load, the weights of a request. */
static void select_capable(const struct index_group *g,
			   const struct site_request *req,
			   const union index_set *from_set,
			   union index_set *out)
{
	if (!req->model) {
		*out = *from_set;
		return;
	}
	index_group_model(g, req->model, req->min_version, out);
	index_set_or(out, &g->ordered, g->words);
	index_set_and(out, from_set, g->words);
}

static void consider_capable(struct site_servers *t, struct choice *p,
			     const struct index_group *g,
			     const union index_set *from_set)
{
	union index_set set;

	select_capable(g, p->req, from_set, &set);
	consider_some(t, p, g, &set);
}

/* Choose in a large service: among free servers, else among those not avoided, else
 * among all usable ones. */
static void choose_large(struct site_servers *t, struct choice *p,
			 struct index_group *g)
{
	const union index_set *below = servers_below(g, p->req->share);
	union index_set not_avoided;

	if (p->now >= g->avoidance_end_ms &&
	    p->now - g->avoidance_checked_ms >= AVOIDANCE_CHECK_MS)
		index_group_end_avoidance(g, p->now);
	consider_capable(t, p, g, below);
	if (!p->best && p->now >= g->avoidance_end_ms) {
		index_group_end_avoidance(g, p->now);
		consider_capable(t, p, g, below);
	}
	if (p->best || p->req->only_free)
		return;
	not_avoided = g->usable;
	index_set_and(&not_avoided, &g->not_avoided, g->words);
	consider_capable(t, p, g, &not_avoided);
	if (!p->best)
		consider_capable(t, p, g, &g->usable);
}

static void choose_small(struct choice *p, const struct index_group *g)
{
	for (int w = 0; w < g->words; w++) {
		uint64_t candidates = g->used.bits[w];

		for (; candidates; candidates &= candidates - 1)
			consider(p, g->members[w * INDEX_WORD_BITS +
					       __builtin_ctzll(candidates)]
					    .server);
	}
}

static void want_permits(struct site_server *s, const struct site_request *req)
{
	int free = allowed_slots(s, req) - busy_slots(s, req);

	s->limit.wanted = smaller_int(req->waiting, free > 1 ? free : 1);
}

struct site_server *site_servers_choose(struct site_servers *t, int64_t now,
					const struct site_request *req)
{
	struct index_group *g = server_index_group(&t->index, req->service);
	struct choice p = {.t = t, .now = now, .req = req};

	if (!g)
		return NULL;
	if (g->n <= SITE_SMALL_SERVICE)
		choose_small(&p, g);
	else
		choose_large(t, &p, g);
	if (p.limited && (!p.best || p.limited_load < p.best_load))
		want_permits(p.limited, req);
	if (p.best && p.best->cold_until_ms > now && req->cold_rate > 0) {
		p.best->cold_credit =
			cold_credit(p.best, now, req->cold_rate) - 1;
		p.best->cold_credit_ms = now;
	}
	if (p.best && p.best->claim_round != req->claims.round) {
		p.best->claim_round = req->claims.round;
		p.best->sent_in_round = 0;
	}
	return p.best;
}

/* Population count; the builtin is a function call if no instruction is assumed. */
static int count_bits(uint64_t x)
{
	x -= x >> 1 & UINT64_C(0x5555555555555555);
	x = (x & UINT64_C(0x3333333333333333)) +
	    (x >> 2 & UINT64_C(0x3333333333333333));
	x = (x + (x >> 4)) & UINT64_C(0x0f0f0f0f0f0f0f0f);
	return (int)(x * UINT64_C(0x0101010101010101) >> 56);
}

int site_servers_count_eligible(const struct site_servers *t,
				const struct site_request *req)
{
	const struct index_group *g =
		server_index_group(&t->index, req->service);
	union index_set set;
	int n = 0;

	if (!g)
		return 0;
	select_capable(g, req, &g->usable, &set);
	for (int w = 0; w < g->words; w++)
		n += count_bits(set.bits[w]);
	return n;
}
