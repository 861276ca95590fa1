// Simulates the servers, their callers and one node in steps of 1 ms.
#include "reward_calls.h"

#include <math.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "job/job_run.h"
#include "job/response_times.h"
#include "site/server.h"

enum {
	PERIOD_MS = 4000,
	END_MS = 60000,
	MAX_FAILURES = 4,
	TARGET_MS = 800,
	TIMEOUT_MS = 3000,
	IN_FLIGHT_MAX = 4096, ///< at all servers
	LOOKUPS_MAX = 65536,
	NODE_TICK_MS = 20, ///< of the node
};

/// A request at a server.
struct server_request {
	int server;
	int item; ///< -1: a lookup
	int arrival_ms;
	int service_ms;
	int start_ms; ///< when it got a slot; -1: it is queued
	int timeout_at_ms; ///< of a reward call
};

struct sim {
	const struct reward_load *l;
	struct rng rng;
	int now_ms;
	struct job_spec *spec;
	struct job_run *run;
	struct site_servers *servers;
	struct response_times response_times;
	struct server_request in_flight[IN_FLIGHT_MAX];
	int n_in_flight;
	int *busy_slots; ///< of each server
	int *text_ms; ///< when each item's text is complete
	bool *always_fails; ///< of each item's calls
	/// Servers tried for each item.
	htab_handle (*tried)[JOB_REWARD_TRIED_MAX];
	int *service_ms; ///< of each item's call, the same at every attempt
	int *n_failed; ///< calls of each item
	int *n_unfinished; ///< items of each group
	int n_groups_finished;
	htab_handle *handles; ///< of each server
	int lookup_times_ms[LOOKUPS_MAX];
	int n_lookups;
	struct reward_stats stats;
};

static double uniform(struct rng *r)
{
	return (double)(rng_next(r) >> 11) / (double)(1ULL << 53);
}

/* Distribution from the users' specification: log-normal, 1% five times longer. */
static int draw_service_ms(struct rng *r, int mean)
{
	static const double sigma = 0.5, pi = 3.14159265358979;
	double n = sqrt(-2 * log(1 - uniform(r))) * cos(2 * pi * uniform(r));
	double ms = mean * exp(sigma * n - sigma * sigma / 2);

	if (rng_below(r, 100) == 0)
		ms *= 5;
	return (int)(ms < 7.5 * mean ? ms : 7.5 * mean);
}

static const char *format_id(struct arena *a, const char *form, int n)
{
	char text[32];

	snprintf(text, sizeof(text), form, n);
	return arena_strdup(a, text);
}

static void make_batch(struct sim *p)
{
	struct job_spec *s = calloc(1, sizeof(*s));
	const struct job_run_opts opts = {.max_failures = 3,
					  .give_up_ms = END_MS};

	arena_init(&s->arena, 0);
	s->n_items = (size_t)p->l->items;
	s->items = arena_alloc(&s->arena, s->n_items * sizeof(*s->items));
	s->min_version = 1;
	p->text_ms = calloc(s->n_items, sizeof(int));
	p->n_failed = calloc(s->n_items, sizeof(int));
	p->n_unfinished = calloc(s->n_items, sizeof(int));
	p->always_fails = calloc(s->n_items, sizeof(bool));
	p->service_ms = calloc(s->n_items, sizeof(int));
	p->tried = calloc(s->n_items, sizeof(*p->tried));
	for (int i = 0; i < p->l->items; i++) {
		s->items[i].id = format_id(&s->arena, "i%d", i);
		s->items[i].group =
			format_id(&s->arena, "g%d", i / p->l->group);
		s->items[i].reward.id = s->items[i].id;
		p->text_ms[i] =
			(int)rng_below(&p->rng, (uint64_t)p->l->texts_ms + 1);
		p->always_fails[i] =
			(int)rng_below(&p->rng, 100) < p->l->failing_percent;
		p->service_ms[i] = draw_service_ms(&p->rng, p->l->call_ms);
		p->n_unfinished[i / p->l->group]++;
	}
	p->spec = s;
	p->run = job_run_new(s, &opts);
	for (int i = 0; i < p->l->items; i++)
		job_run_item_sent(p->run, i);
}

static void make_servers(struct sim *p)
{
	p->servers = site_servers_new();
	p->busy_slots = calloc((size_t)p->l->servers, sizeof(int));
	p->handles = calloc((size_t)p->l->servers, sizeof(*p->handles));
	for (int i = 0; i < p->l->servers; i++) {
		struct site_server_entry e = {
			.service = "rate", .domain = "d", .slots = p->l->slots};
		struct site_server *s;
		size_t iter = 0;

		snprintf(e.id, sizeof(e.id), "s%d", i);
		site_servers_put(p->servers, (uint64_t)i + 1, 0, &e);
		while ((s = site_servers_next(p->servers, &iter))) {
			if (strcmp(s->entry.id, e.id) == 0)
				p->handles[i] = s->self;
		}
	}
}

static bool in_outage(const struct sim *p)
{
	return p->now_ms >= p->l->outage_start_ms &&
	       p->now_ms < p->l->outage_end_ms;
}

static void add_request(struct sim *p, int server, int item, int service_ms,
			int timeout_ms)
{
	if (p->n_in_flight == IN_FLIGHT_MAX)
		abort();
	p->in_flight[p->n_in_flight++] = (struct server_request){
		.server = server,
		.item = item,
		.arrival_ms = p->now_ms,
		.service_ms = server < p->l->n_slow
				      ? service_ms * p->l->slow_factor
				      : service_ms,
		.start_ms = -1,
		.timeout_at_ms = p->now_ms + timeout_ms,
	};
}

static int server_index(const struct sim *p, htab_handle h)
{
	int i = 0;

	while (p->handles[i] != h)
		i++;
	return i;
}

/* The node sends the reward calls that are due. */
static void send_due_calls(struct sim *p)
{
	struct site_request request = {.service = "rate",
				       .domain = "d",
				       .only_free = true,
				       .share = JOB_REWARD_SLOTS_PERCENT};
	int item;

	while ((item = job_run_next_reward(p->run, p->now_ms)) >= 0) {
		struct site_server *s;

		request.not = p->tried[item];
		request.n_exclude = job_reward_avoid_count(p->l->servers);
		s = site_servers_choose(p->servers, p->now_ms, &request);
		if (!s)
			return;
		job_reward_tried_add(p->tried[item], s->self);
		site_server_begin(s, p->now_ms);
		job_run_reward_sent(p->run, item);
		add_request(p, server_index(p, s->self), item,
			    p->service_ms[item],
			    (int)response_timeout_ms(
				    &p->response_times,
				    job_run_reward_unanswered(p->run, item),
				    TARGET_MS, TIMEOUT_MS));
		p->stats.n_calls++;
	}
}

static void finish_item(struct sim *p, int item, bool scored)
{
	int groups = p->l->items / p->l->group;

	p->stats.n_scored += scored;
	p->stats.n_abandoned += !scored;
	p->stats.last_finished_ms = p->now_ms;
	if (--p->n_unfinished[item / p->l->group] == 0 &&
	    ++p->n_groups_finished == (9 * groups + 9) / 10)
		p->stats.target_reached_ms = p->now_ms;
}

static void finish_reward_call(struct sim *p, const struct server_request *w,
			       enum job_reward_outcome outcome)
{
	struct site_server *s =
		site_servers_get(p->servers, p->handles[w->server]);

	site_server_end(s, p->now_ms, outcome != JOB_REWARD_UNANSWERED);
	if (outcome != JOB_REWARD_UNANSWERED)
		response_times_add(&p->response_times,
				   p->now_ms - w->arrival_ms);
	job_run_reward_ended(p->run, w->item, p->now_ms, outcome, MAX_FAILURES,
			     "seal");
	if (outcome == JOB_REWARD_FAILED &&
	    ++p->n_failed[w->item] > p->stats.max_failed_calls)
		p->stats.max_failed_calls = p->n_failed[w->item];
	if (job_run_phase(p->run, w->item) == JOB_FINISHED)
		finish_item(p, w->item, outcome == JOB_REWARD_SCORED);
}

static bool finish_if_done(struct sim *p, const struct server_request *w)
{
	if (w->item >= 0 && p->now_ms >= w->timeout_at_ms) {
		finish_reward_call(p, w, JOB_REWARD_UNANSWERED);
		return true;
	}
	if (w->start_ms < 0 || in_outage(p) ||
	    p->now_ms < w->start_ms + w->service_ms)
		return false;
	if (w->item < 0 && p->n_lookups < LOOKUPS_MAX)
		p->lookup_times_ms[p->n_lookups++] = p->now_ms - w->arrival_ms;
	else if (w->item >= 0)
		finish_reward_call(p, w,
				   p->always_fails[w->item]
					   ? JOB_REWARD_FAILED
					   : JOB_REWARD_SCORED);
	return true;
}

/* Servers start queued requests in FIFO order and end completed ones. */
static void servers_step(struct sim *p)
{
	int n_kept = 0;

	for (int i = 0; i < p->n_in_flight; i++) {
		struct server_request w = p->in_flight[i];

		if (w.start_ms < 0 && !in_outage(p) &&
		    p->busy_slots[w.server] < p->l->slots) {
			p->busy_slots[w.server]++;
			w.start_ms = p->now_ms;
		}
		if (!finish_if_done(p, &w))
			p->in_flight[n_kept++] = w;
		else if (w.start_ms >= 0)
			p->busy_slots[w.server]--;
	}
	p->n_in_flight = n_kept;
}

/* Latency-sensitive lookups arrive through other nodes, at a random server. */
static void add_lookups(struct sim *p)
{
	if (uniform(&p->rng) < p->l->lookups_per_s / 1000)
		add_request(p, (int)rng_below(&p->rng, (uint64_t)p->l->servers),
			    -1, draw_service_ms(&p->rng, p->l->lookup_ms),
			    END_MS);
}

static void complete_texts(struct sim *p)
{
	for (int i = 0; i < p->l->items; i++) {
		if (p->text_ms[i] != p->now_ms)
			continue;
		job_run_add_event(p->run, i, 1, 1, "x", 1);
		job_run_attempt_ended(p->run, i, p->now_ms,
				      JOB_ATTEMPT_COMPLETE);
	}
}

static int int_compare(const void *a, const void *b)
{
	return *(const int *)a - *(const int *)b;
}

static void sim_free(struct sim *p)
{
	job_run_free(p->run);
	job_spec_free(p->spec);
	site_servers_free(p->servers);
	free(p->busy_slots);
	free(p->handles);
	free(p->text_ms);
	free(p->n_failed);
	free(p->n_unfinished);
	free(p->always_fails);
	free(p->service_ms);
	free(p->tried);
	free(p);
}

struct reward_stats reward_simulate(const struct reward_load *load)
{
	struct sim *p = calloc(1, sizeof(*p));
	struct reward_stats stats;

	p->l = load;
	p->rng.state = load->seed;
	make_batch(p);
	make_servers(p);
	while (p->now_ms < PERIOD_MS ||
	       (p->now_ms < END_MS &&
		p->stats.n_scored + p->stats.n_abandoned < load->items)) {
		complete_texts(p);
		add_lookups(p);
		servers_step(p);
		if (p->now_ms % NODE_TICK_MS == 0)
			send_due_calls(p);
		p->now_ms++;
	}
	qsort(p->lookup_times_ms, (size_t)p->n_lookups, sizeof(int),
	      int_compare);
	if (p->n_lookups)
		p->stats.lookup_p99_ms =
			p->lookup_times_ms[p->n_lookups * 99 / 100];
	stats = p->stats;
	sim_free(p);
	return stats;
}
