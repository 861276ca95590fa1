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
	CALLER_DEADLINE_MS = 1500,
	MAX_SERVERS = 3,
	TICK_MS = 20,
	SERVICE_MS = 21, ///< shortest; up to 4 ms more
	SERVICE_SPREAD_MS = 5,
	ROUND_TRIP_MS = 2, ///< network
	SLOW_FACTOR = 10,
	OPEN_MAX = 8192, ///< most concurrent requests
	REQUEST_LOG_MAX = 60000,
	WINDOW_S = 10,
};

/// An attempt in flight.
struct call {
	htab_handle server; ///< 0: none
	int sent_ms;
	int end_ms; ///< INT32_MAX: never
	bool success;
	bool no_response; ///< it ends without a response
	int overdue_at_ms;
	int probe;
	bool reported;
	bool concurrent; ///< another attempt was in flight when it began
};

struct lookup {
	bool open;
	int arrival_ms;
	struct call calls[2];
	int last;
	htab_handle tried[MAX_SERVERS];
	int n_tried;
};

struct sim {
	const struct lookup_load *l;
	struct rng rng;
	int now_ms;
	struct site_servers *servers;
	struct hedge_budget budget;
	struct response_times times;
	struct lookup open[OPEN_MAX];
	int n_open_used; ///< highest one used
	int took_ms[REQUEST_LOG_MAX];
	int requests_s[END_MS / 1000 + 1]; ///< in each second
	int added_s[END_MS / 1000 + 1];
	struct lookup_stats stats;
};

static int running(const struct lookup *r)
{
	return (r->calls[0].server != 0) + (r->calls[1].server != 0);
}

static void report_outcome(struct sim *p, struct call *call,
			   enum site_outcome outcome)
{
	if (call->reported || !p->l->hedge_percent)
		return;
	call->reported = true;
	site_server_call_end(p->servers,
			     site_servers_get(p->servers, call->server),
			     p->now_ms, outcome, call->probe);
}

static struct site_server *choose(struct sim *p, const struct lookup *r,
				  const char *away)
{
	struct site_request request = {
		.service = "svc",
		.domain = "d0",
		.not = r->tried,
		.n_exclude = r->n_tried,
		.live = p->l->hedge_percent > 0,
		.away = away,
	};

	return site_servers_choose(p->servers, p->now_ms, &request);
}

static void draw_end(struct sim *p, struct call *call, enum lookup_fault fault)
{
	int service_ms =
		SERVICE_MS + (int)rng_below(&p->rng, SERVICE_SPREAD_MS);

	call->success = true;
	if (p->now_ms < FAULT_MS)
		fault = LOOKUP_HEALTHY;
	if (fault == LOOKUP_SLOW)
		service_ms *= SLOW_FACTOR;
	call->end_ms = p->now_ms + ROUND_TRIP_MS + service_ms;
	if (fault == LOOKUP_NO_RESPONSE)
		call->end_ms = INT32_MAX;
	if (fault == LOOKUP_RESPONSE_LOST)
		call->success = false;
	call->no_response = fault == LOOKUP_RESPONSE_LOST;
	if (fault == LOOKUP_HALF_FAILING && rng_below(&p->rng, 2)) {
		call->success = false;
		call->end_ms = p->now_ms + ROUND_TRIP_MS;
	}
}

static void send_to(struct sim *p, struct lookup *r, struct site_server *s)
{
	int i = r->calls[0].server ? 1 : 0;
	struct call *call = &r->calls[i];

	*call = (struct call){.server = s->self,
			      .sent_ms = p->now_ms,
			      .concurrent = i || r->calls[1].server};
	draw_end(p, call, p->l->fault[atoi(s->entry.id)]);
	site_server_begin(s, p->now_ms);
	if (p->l->hedge_percent) {
		call->probe = site_server_call_begin(p->servers, s, p->now_ms);
		call->overdue_at_ms =
			p->now_ms +
			(int)hedge_after_ms(response_times_median_ms(&p->times),
					    TARGET_MS);
	}
	if (r->n_tried) {
		p->stats.n_added++;
		p->added_s[p->now_ms / 1000]++;
	}
	r->tried[r->n_tried++] = s->self;
	r->last = i;
}

static void release_calls(struct sim *p, struct lookup *r)
{
	for (int i = 0; i < 2; i++) {
		if (!r->calls[i].server)
			continue;
		report_outcome(p, &r->calls[i], SITE_CALL_UNKNOWN);
		site_server_release(
			site_servers_get(p->servers, r->calls[i].server));
	}
	r->open = false;
}

static void finish_request(struct sim *p, struct lookup *r, bool success)
{
	release_calls(p, r);
	p->took_ms[p->stats.requests++] = p->now_ms - r->arrival_ms;
	p->stats.answered += success;
}

static void retry_request(struct sim *p, struct lookup *r)
{
	struct site_server *s;

	if (r->n_tried == MAX_SERVERS ||
	    (p->l->hedge_percent &&
	     !hedge_budget_take(&p->budget, p->now_ms, p->l->hedge_percent,
				HEDGE_FOR_SUCCESS))) {
		finish_request(p, r, false);
		return;
	}
	s = choose(p, r, NULL);
	if (s)
		send_to(p, r, s);
	else
		finish_request(p, r, false);
}

static void end_call(struct sim *p, struct lookup *r, struct call *call)
{
	struct site_server *s = site_servers_get(p->servers, call->server);

	if (!call->success)
		report_outcome(p, call,
			       call->no_response ? SITE_CALL_NO_ANSWER
						 : SITE_CALL_BAD);
	else
		report_outcome(p, call, SITE_CALL_GOOD);
	site_server_end(s, p->now_ms, call->success);
	call->server = 0;
	if (call->success) {
		response_times_add(&p->times, p->now_ms - call->sent_ms);
		for (int i = 0; i < 2 && call->concurrent; i++) {
			if (r->calls[i].server)
				report_outcome(p, &r->calls[i],
					       SITE_CALL_NO_ANSWER);
		}
		finish_request(p, r, true);
	} else if (!running(r)) {
		retry_request(p, r);
	}
}

static bool hedge(struct sim *p, struct lookup *r)
{
	const struct hedge_request request = {
		.idempotent = true,
		.overdue_at_ms = r->calls[r->last].overdue_at_ms,
		.usual_ms = response_times_median_ms(&p->times),
		.came_ms = r->arrival_ms,
		.until_ms = r->arrival_ms + CALLER_DEADLINE_MS,
		.running = running(r),
		.tried = r->n_tried,
		.max_servers = MAX_SERVERS,
	};
	enum hedge_reason why = hedge_reason_of(&request, p->now_ms);
	struct site_server *s;

	if (!hedge_due(&request, p->now_ms) ||
	    !hedge_budget_allows(&p->budget, p->now_ms, p->l->hedge_percent,
				 why))
		return false;
	s = choose(p, r,
		   site_servers_get(p->servers, r->tried[r->n_tried - 1])
			   ->entry.domain);
	if (!s || site_health_ejected(&s->health, p->now_ms))
		return false;
	hedge_budget_take(&p->budget, p->now_ms, p->l->hedge_percent, why);
	send_to(p, r, s);
	return true;
}

static void check_missed(struct sim *p, struct lookup *r)
{
	if (p->now_ms < r->calls[r->last].overdue_at_ms || hedge(p, r))
		return;
	for (int i = 0; i < 2; i++) {
		if (r->calls[i].server)
			report_outcome(p, &r->calls[i], SITE_CALL_BAD);
	}
}

/* Without hedging, an attempt has half of the caller's remaining time. */
static void check_timeouts(struct sim *p, struct lookup *r)
{
	struct call *call = &r->calls[r->last];

	if (p->now_ms >= r->arrival_ms + CALLER_DEADLINE_MS) {
		finish_request(p, r, false);
	} else if (!p->l->hedge_percent && r->n_tried < MAX_SERVERS &&
		   p->now_ms - call->sent_ms >=
			   (r->arrival_ms + CALLER_DEADLINE_MS -
			    call->sent_ms) /
				   2) {
		call->success = false;
		end_call(p, r, call);
	}
}

static void simulate_ms(struct sim *p)
{
	for (int i = 0; i < p->n_open_used; i++) {
		struct lookup *r = &p->open[i];

		for (int k = 0; k < 2 && r->open; k++) {
			if (r->calls[k].server &&
			    p->now_ms >= r->calls[k].end_ms)
				end_call(p, r, &r->calls[k]);
		}
		if (r->open)
			check_timeouts(p, r);
		if (r->open && p->l->hedge_percent && p->now_ms % TICK_MS == 0)
			check_missed(p, r);
	}
}

static void arrive(struct sim *p)
{
	struct lookup *r = p->open;

	while (r->open)
		r++;
	if (r - p->open >= p->n_open_used)
		p->n_open_used = (int)(r - p->open) + 1;
	*r = (struct lookup){.open = true, .arrival_ms = p->now_ms};
	p->requests_s[p->now_ms / 1000]++;
	hedge_budget_request(&p->budget, p->now_ms);
	send_to(p, r, choose(p, r, NULL));
}

static int compare_int(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

static void summarize(struct sim *p)
{
	for (int s = WINDOW_S; s < END_MS / 1000; s++) {
		int requests = 0;
		int n_added = 0;

		for (int i = s - WINDOW_S + 1; i <= s; i++) {
			requests += p->requests_s[i];
			n_added += p->added_s[i];
		}
		if (n_added > p->stats.max_added_10s)
			p->stats.max_added_10s = n_added;
		if (requests &&
		    n_added * 100 / requests > p->stats.max_added_percent_10s)
			p->stats.max_added_percent_10s =
				n_added * 100 / requests;
	}
	qsort(p->took_ms, (size_t)p->stats.requests, sizeof(int), compare_int);
	p->stats.p99_ms = p->took_ms[p->stats.requests * 99 / 100];
}

static void add_servers(struct sim *p)
{
	for (int i = 0; i < p->l->servers; i++) {
		struct site_server_entry e = {.slots = 8, .started_ms = 1};

		snprintf(e.id, sizeof(e.id), "%d", i);
		snprintf(e.service, sizeof(e.service), "svc");
		snprintf(e.domain, sizeof(e.domain), "d%d", i % LOOKUP_DOMAINS);
		site_servers_put(p->servers, 1, 0, &e);
	}
}

struct lookup_stats lookups_simulate(const struct lookup_load *l)
{
	struct sim *p = calloc(1, sizeof(*p));
	struct lookup_stats stats;

	p->l = l;
	p->rng.state = l->seed;
	p->servers = site_servers_new();
	add_servers(p);
	for (; p->now_ms < END_MS; p->now_ms++) {
		if (rng_unit(&p->rng) < l->requests_per_s / 1000.0)
			arrive(p);
		simulate_ms(p);
	}
	summarize(p);
	stats = p->stats;
	site_servers_free(p->servers);
	free(p);
	return stats;
}
