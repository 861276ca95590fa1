// Simulates requests and their attempts in steps of 1 ms.
#include "lookups.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "attempt/hedge.h"
#include "base/rng.h"
#include "job/response_times.h"
#include "site/server.h"

enum {
	END_MS = 60000,
	FAULT_MS = END_MS / 10,
	TARGET_MS = 150,
	CALLER_MS = 1500,
	MAX_SERVERS = 3,
	TICK_MS = 20,
	WORK_MS = 21, ///< shortest service time; up to 4 ms more are added
	WORK_SPREAD_MS = 5,
	WAY_MS = 2, ///< network round trip
	SLOW_TIMES = 10,
	OPEN = 8192, ///< most concurrent requests
	REQUESTS = 60000,
	WINDOW_S = 10,
};

/// An attempt in flight.
struct call {
	htab_handle server; ///< 0: none
	int sent_ms;
	int end_ms; ///< INT32_MAX: never
	bool good;
	bool silent; ///< it ends without a response
	int missed_ms;
	int probe;
	bool told;
	bool second; ///< another attempt was in flight when it began
};

struct lookup {
	bool open;
	int came_ms;
	struct call calls[2];
	int last;
	htab_handle tried[MAX_SERVERS];
	int n_tried;
};

struct play {
	const struct lookup_load *l;
	struct rng rng;
	int now;
	struct site_servers *servers;
	struct hedge_budget budget;
	struct response_times times;
	struct lookup open[OPEN];
	int n_open; ///< number of `open` entries that were ever used
	int took[REQUESTS];
	int requests_s[END_MS / 1000 + 1]; ///< in each second
	int added_s[END_MS / 1000 + 1];
	struct lookup_seen seen;
};

static int running(const struct lookup *r)
{
	return (r->calls[0].server != 0) + (r->calls[1].server != 0);
}

static void showed(struct play *p, struct call *call, enum site_outcome how)
{
	if (call->told || !p->l->hedge_percent)
		return;
	call->told = true;
	site_server_call_end(p->servers,
			     site_servers_get(p->servers, call->server), p->now,
			     how, call->probe);
}

static struct site_server *choose(struct play *p, const struct lookup *r,
				  const char *away)
{
	struct site_request ask = {
		.service = "svc",
		.domain = "d0",
		.not = r->tried,
		.n_exclude = r->n_tried,
		.live = p->l->hedge_percent > 0,
		.away = away,
	};

	return site_servers_choose(p->servers, p->now, &ask);
}

static void set_end(struct play *p, struct call *call, enum lookup_fault fault)
{
	int work = WORK_MS + (int)rng_below(&p->rng, WORK_SPREAD_MS);

	call->good = true;
	if (p->now < FAULT_MS)
		fault = LOOKUP_WELL;
	if (fault == LOOKUP_SLOW)
		work *= SLOW_TIMES;
	call->end_ms = p->now + WAY_MS + work;
	if (fault == LOOKUP_CUT)
		call->end_ms = INT32_MAX;
	if (fault == LOOKUP_LOST)
		call->good = false;
	call->silent = fault == LOOKUP_LOST;
	if (fault == LOOKUP_GREY && rng_below(&p->rng, 2)) {
		call->good = false;
		call->end_ms = p->now + WAY_MS;
	}
}

static void send_to(struct play *p, struct lookup *r, struct site_server *s)
{
	int i = r->calls[0].server ? 1 : 0;
	struct call *call = &r->calls[i];

	*call = (struct call){.server = s->self,
			      .sent_ms = p->now,
			      .second = i || r->calls[1].server};
	set_end(p, call, p->l->fault[atoi(s->entry.id)]);
	site_server_begin(s, p->now);
	if (p->l->hedge_percent) {
		call->probe = site_server_call_begin(p->servers, s, p->now);
		call->missed_ms =
			p->now +
			(int)hedge_after_ms(response_times_median_ms(&p->times),
					    TARGET_MS);
	}
	if (r->n_tried) {
		p->seen.added++;
		p->added_s[p->now / 1000]++;
	}
	r->tried[r->n_tried++] = s->self;
	r->last = i;
}

static void drop(struct play *p, struct lookup *r)
{
	for (int i = 0; i < 2; i++) {
		if (!r->calls[i].server)
			continue;
		showed(p, &r->calls[i], SITE_CALL_UNKNOWN);
		site_server_release(
			site_servers_get(p->servers, r->calls[i].server));
	}
	r->open = false;
}

static void answer(struct play *p, struct lookup *r, bool good)
{
	drop(p, r);
	p->took[p->seen.requests++] = p->now - r->came_ms;
	p->seen.answered += good;
}

static void again(struct play *p, struct lookup *r)
{
	struct site_server *s;

	if (r->n_tried == MAX_SERVERS ||
	    (p->l->hedge_percent &&
	     !hedge_budget_take(&p->budget, p->now, p->l->hedge_percent,
				HEDGE_LAST))) {
		answer(p, r, false);
		return;
	}
	s = choose(p, r, NULL);
	if (s)
		send_to(p, r, s);
	else
		answer(p, r, false);
}

static void end_call(struct play *p, struct lookup *r, struct call *call)
{
	struct site_server *s = site_servers_get(p->servers, call->server);

	if (!call->good)
		showed(p, call,
		       call->silent ? SITE_CALL_NO_ANSWER : SITE_CALL_BAD);
	else
		showed(p, call, SITE_CALL_GOOD);
	site_server_end(s, p->now, call->good);
	call->server = 0;
	if (call->good) {
		response_times_add(&p->times, p->now - call->sent_ms);
		for (int i = 0; i < 2 && call->second; i++) {
			if (r->calls[i].server)
				showed(p, &r->calls[i], SITE_CALL_NO_ANSWER);
		}
		answer(p, r, true);
	} else if (!running(r)) {
		again(p, r);
	}
}

static bool hedge(struct play *p, struct lookup *r)
{
	const struct hedge_ask ask = {
		.idempotent = true,
		.missed_ms = r->calls[r->last].missed_ms,
		.usual_ms = response_times_median_ms(&p->times),
		.came_ms = r->came_ms,
		.until_ms = r->came_ms + CALLER_MS,
		.running = running(r),
		.tried = r->n_tried,
		.max_servers = MAX_SERVERS,
	};
	enum hedge_why why = hedge_why_of(&ask, p->now);
	struct site_server *s;

	if (!hedge_due(&ask, p->now) ||
	    !hedge_budget_open(&p->budget, p->now, p->l->hedge_percent, why))
		return false;
	s = choose(p, r,
		   site_servers_get(p->servers, r->tried[r->n_tried - 1])
			   ->entry.domain);
	if (!s || site_health_ejected(&s->health, p->now))
		return false;
	hedge_budget_take(&p->budget, p->now, p->l->hedge_percent, why);
	send_to(p, r, s);
	return true;
}

static void miss(struct play *p, struct lookup *r)
{
	if (p->now < r->calls[r->last].missed_ms || hedge(p, r))
		return;
	for (int i = 0; i < 2; i++) {
		if (r->calls[i].server)
			showed(p, &r->calls[i], SITE_CALL_BAD);
	}
}

/* Without hedging, an attempt times out after half of the caller's remaining time. */
static void time_out(struct play *p, struct lookup *r)
{
	struct call *call = &r->calls[r->last];

	if (p->now >= r->came_ms + CALLER_MS) {
		answer(p, r, false);
	} else if (!p->l->hedge_percent && r->n_tried < MAX_SERVERS &&
		   p->now - call->sent_ms >=
			   (r->came_ms + CALLER_MS - call->sent_ms) / 2) {
		call->good = false;
		end_call(p, r, call);
	}
}

static void step(struct play *p)
{
	for (int i = 0; i < p->n_open; i++) {
		struct lookup *r = &p->open[i];

		for (int k = 0; k < 2 && r->open; k++) {
			if (r->calls[k].server && p->now >= r->calls[k].end_ms)
				end_call(p, r, &r->calls[k]);
		}
		if (r->open)
			time_out(p, r);
		if (r->open && p->l->hedge_percent && p->now % TICK_MS == 0)
			miss(p, r);
	}
}

static void arrive(struct play *p)
{
	struct lookup *r = p->open;

	while (r->open)
		r++;
	if (r - p->open >= p->n_open)
		p->n_open = (int)(r - p->open) + 1;
	*r = (struct lookup){.open = true, .came_ms = p->now};
	p->requests_s[p->now / 1000]++;
	hedge_budget_request(&p->budget, p->now);
	send_to(p, r, choose(p, r, NULL));
}

static int compare(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

static void sum_up(struct play *p)
{
	for (int s = WINDOW_S; s < END_MS / 1000; s++) {
		int requests = 0;
		int added = 0;

		for (int i = s - WINDOW_S + 1; i <= s; i++) {
			requests += p->requests_s[i];
			added += p->added_s[i];
		}
		if (added > p->seen.most_added)
			p->seen.most_added = added;
		if (requests &&
		    added * 100 / requests > p->seen.most_added_percent)
			p->seen.most_added_percent = added * 100 / requests;
	}
	qsort(p->took, (size_t)p->seen.requests, sizeof(int), compare);
	p->seen.p99_ms = p->took[p->seen.requests * 99 / 100];
}

static void publish(struct play *p)
{
	for (int i = 0; i < p->l->servers; i++) {
		struct site_server_entry e = {.slots = 8, .started_ms = 1};

		snprintf(e.id, sizeof(e.id), "%d", i);
		snprintf(e.service, sizeof(e.service), "svc");
		snprintf(e.domain, sizeof(e.domain), "d%d", i % LOOKUP_DOMAINS);
		site_servers_put(p->servers, 1, 0, &e);
	}
}

struct lookup_seen lookups_play(const struct lookup_load *l)
{
	struct play *p = calloc(1, sizeof(*p));
	struct lookup_seen seen;

	p->l = l;
	p->rng.state = l->seed;
	p->servers = site_servers_new();
	publish(p);
	for (; p->now < END_MS; p->now++) {
		if (rng_unit(&p->rng) < l->per_s / 1000.0)
			arrive(p);
		step(p);
	}
	sum_up(p);
	seen = p->seen;
	site_servers_free(p->servers);
	free(p);
	return seen;
}
