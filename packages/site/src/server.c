// Table of backend servers, and the choice among them.
#include "site/server.h"

#include <stdlib.h>
#include <string.h>

#include "domains.h"

enum {
	DOMAINS_OUT = 64, ///< failure domains out at once
	AVOID_MS =
		300, ///< after the first failure; doubles with each further one
	AVOID_DOUBLINGS = 3,
	PACE_SERVERS = 512, ///< of a service whose pace is looked at
	PACE_EVENTS = 4, ///< that a pace must be taken from to count
	PACE_KEEP_MS = 2000, ///< without events for longer, a pace is forgotten
	PERCENT = 100,
	COLD_BURST = 2, ///< requests that a cold server may get at once
	ROW_SERVER = 2, ///< calls without a good answer until a server is left
	/// Until a failure domain is left: servers of it are left before, so that the
	/// calls went to several.
	ROW_DOMAIN = 3,
	GONE = 256, ///< servers remembered whose entry went
};

/* Weights of the choice, in shares of a server's slots. */
static const double OTHER_DOMAIN = 0.25; ///< bytes between domains cost
static const double TROUBLED = 8.0; ///< more than any load
static const double LEFT = 32.0; ///< more than what was busy or troubled
static const double AWAY = 0.5; ///< more than what the way to others costs
static const double SLOW_LOAD = 1.0; ///< for each time that it is slower
static const double SLOW_FROM = 1.25; ///< differences below are of the load
static const double PACE_WEIGHT = 0.2; ///< of a new event in the pace

/* A start of a server whose entry went, while something of it was left to know. */
struct gone {
	htab_handle self;
	char id[SITE_NAME];
	int64_t started_ms;
	bool outage; ///< it went as all entries do while the store is away
	bool leaving;
};

struct site_servers {
	struct htab *tab;
	uint32_t round; ///< of the list that is being read
	char out[DOMAINS_OUT][SITE_NAME];
	int n_out;
	struct gone gone[GONE];
	uint32_t n_gone; ///< so far
	struct site_domains domains;
};

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
	struct site_server *s;
	size_t iter = 0;

	while ((s = site_servers_next(t, &iter))) {
		if (strcmp(s->entry.id, id) == 0)
			return s;
	}
	return NULL;
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

static struct site_server *add(struct site_servers *t,
			       const struct site_server_entry *e)
{
	htab_handle h;
	struct site_server *s = htab_add(t->tab, &h);

	if (!s)
		return NULL;
	s->self = h;
	s->leaving = was_leaving(t, e);
	return s;
}

/* Only what an answer told, or an answer that is to come may tell, is kept. */
static void del(struct site_servers *t, const struct site_server *s)
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
	htab_del(t->tab, s->self);
}

static struct gone *gone_of(struct site_servers *t, htab_handle h)
{
	for (int i = 0; i < GONE; i++) {
		if (t->gone[i].self == h)
			return &t->gone[i];
	}
	return NULL;
}

const char *site_servers_leave(struct site_servers *t, htab_handle h)
{
	struct site_server *s = site_servers_get(t, h);
	struct gone *g = s ? NULL : gone_of(t, h);

	if (g && !g->leaving) {
		g->leaving = true;
		s = find(t, g->id);
		if (s && same_start(g, &s->entry))
			s->leaving = true;
		return g->id;
	}
	if (!s || s->leaving)
		return NULL;
	s->leaving = true;
	return s->entry.id;
}

enum err site_servers_put(struct site_servers *t, uint64_t rev, int64_t now,
			  const struct site_server_entry *e)
{
	struct site_server *s = find(t, e->id);

	if (s)
		s->round = t->round;
	if (s && rev < s->rev)
		return ERR_OK;
	if (s && s->entry.started_ms != e->started_ms) {
		del(t, s);
		s = NULL;
	}
	if (!s)
		s = add(t, e);
	if (!s)
		return ERR_FULL;
	s->entry = *e;
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
		del(t, s);
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
			del(t, s);
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

void site_servers_domain_out(struct site_servers *t, const char *domain,
			     bool out)
{
	int at = domain_at(t, domain);

	if (out && at < 0 && t->n_out < DOMAINS_OUT) {
		strncpy(t->out[t->n_out], domain, SITE_NAME - 1);
		t->n_out++;
	} else if (!out && at >= 0) {
		t->n_out--;
		memmove(t->out[at], t->out[t->n_out], SITE_NAME);
		memset(t->out[t->n_out], 0, SITE_NAME);
	}
}

void site_servers_domains_in(struct site_servers *t)
{
	memset(t->out, 0, sizeof(t->out));
	t->n_out = 0;
}

bool site_server_usable(const struct site_servers *t,
			const struct site_server *s)
{
	return !s->entry.leaving && !s->leaving &&
	       domain_at(t, s->entry.domain) < 0;
}

int site_servers_usable(const struct site_servers *t, const char *service)
{
	const struct site_server *s;
	size_t iter = 0;
	int n = 0;

	while ((s = site_servers_next(t, &iter)))
		n += strcmp(s->entry.service, service) == 0 &&
		     site_server_usable(t, s);
	return n;
}

uint64_t site_server_version(const struct site_server *s, const char *model)
{
	for (int i = 0; i < s->entry.n_models; i++) {
		if (strcmp(s->entry.models[i].name, model) == 0)
			return s->entry.models[i].version;
	}
	return 0;
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

static bool fits(const struct site_servers *t, const struct site_server *s,
		 int64_t now, const struct site_ask *ask)
{
	if (strcmp(s->entry.service, ask->service) != 0 ||
	    !site_server_usable(t, s) || tried(ask, s->self))
		return false;
	if (ask->model) {
		uint64_t v = site_server_version(s, ask->model);

		if (!v || v < ask->min_version)
			return false;
	}
	if (ask->only_free &&
	    (s->running >= slots_for(s, ask) || now < s->avoid_until_ms))
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
	double load = (double)s->running / slots;
	double slowness;

	if (strcmp(s->entry.domain, ask->domain) != 0)
		load += OTHER_DOMAIN;
	if (now < s->avoid_until_ms)
		load += TROUBLED;
	if (ask->live)
		load += live_load(t, s, now, ask);
	slowness = site_server_slowness(s, now, ask->pace_ms);
	if (slowness > SLOW_FROM)
		load += (slowness - 1) * SLOW_LOAD;
	return load;
}

struct site_server *site_servers_choose(struct site_servers *t, int64_t now,
					const struct site_ask *ask)
{
	struct site_server *best = NULL;
	struct site_server *s;
	double best_load = 0;
	size_t iter = 0;

	while ((s = site_servers_next(t, &iter))) {
		double load;

		if (!fits(t, s, now, ask))
			continue;
		load = load_of(t, s, now, ask);
		if (best && load >= best_load)
			continue;
		best = s;
		best_load = load;
	}
	if (best && best->cold_until_ms > now && ask->cold_rate > 0) {
		best->cold_credit = cold_credit(best, now, ask->cold_rate) - 1;
		best->cold_credit_ms = now;
	}
	return best;
}

void site_server_begin(struct site_server *s, int64_t now)
{
	s->running++;
}

void site_server_drop(struct site_server *s)
{
	if (s->running > 0)
		s->running--;
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

	if (s->running > 0)
		s->running--;
	if (ok) {
		s->failures = 0;
		s->avoid_until_ms = 0;
		return;
	}
	shift = s->failures < AVOID_DOUBLINGS ? s->failures : AVOID_DOUBLINGS;
	s->avoid_until_ms = now + ((int64_t)AVOID_MS << shift);
	s->failures++;
}

void site_server_paced(struct site_server *s, int64_t now, double ms)
{
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

double site_servers_pace(const struct site_servers *t, const char *service,
			 int64_t now)
{
	double paces[PACE_SERVERS];
	const struct site_server *s;
	size_t iter = 0;
	size_t n = 0;

	while ((s = site_servers_next(t, &iter)) && n < PACE_SERVERS) {
		if (strcmp(s->entry.service, service) == 0 &&
		    pace_known(s, now))
			paces[n++] = s->pace_ms;
	}
	if (!n)
		return 0;
	qsort(paces, n, sizeof(*paces), double_compare);
	return paces[n / 4];
}

double site_server_slowness(const struct site_server *s, int64_t now,
			    double usual_ms)
{
	if (usual_ms <= 0 || !pace_known(s, now))
		return 1;
	return s->pace_ms / usual_ms;
}
