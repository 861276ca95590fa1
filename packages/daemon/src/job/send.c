// Sends waiting items of this node's batches to servers, those with the least slack
// first.
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "daemon/room_mod.h"
#include "daemon/site_mod.h"
#include "job/attempt.h"

enum {
	WAITING_LOG_INTERVAL_MS =
		1000, ///< between log lines about waiting items
	US_PER_MS = 1000,
	PERCENT = 100,
};

/* Service of the batch's current route; batches go to one service. */
static const char *service_of(struct core *c, struct job *j)
{
	const struct site_route *route = job_route(c, j);

	return route && route->n_targets ? route->targets[0].service : NULL;
}

static bool may_send(struct core *c, struct job *j)
{
	return j->running && job_may_send(c, j);
}

/* Least min_version of newer open batches of the model that have items waiting, 0 for
 * none. */
static uint64_t newer_min_version(struct core *c, const struct job *j)
{
	uint64_t least = 0;
	struct job *other;
	size_t iter = 0;

	while ((other = htab_next(jobs_of(c)->jobs, &iter, NULL))) {
		if (!may_send(c, other) ||
		    strcmp(other->spec->model, j->spec->model) != 0 ||
		    other->spec->min_version <= j->spec->min_version ||
		    !job_run_count(other->run, JOB_WAITING))
			continue;
		if (!least || other->spec->min_version < least)
			least = other->spec->min_version;
	}
	return least;
}

/* What the batch's items with slack leave to newer batches. */
static struct job_newer newer_batch(struct core *c, const struct job *j,
				    const struct site_request *needs)
{
	const struct site_servers *t = site_mod_servers(c);
	struct site_request newer = *needs;

	newer.min_version = newer_min_version(c, j);
	if (!newer.min_version)
		return (struct job_newer){0};
	return (struct job_newer){
		.min_version = newer.min_version,
		.servers = site_servers_count_eligible(t, needs),
		.newer_servers = site_servers_count_eligible(t, &newer),
	};
}

bool job_server_needs(struct core *c, struct job *j, struct site_request *needs)
{
	const struct site_conf *conf = site_mod_conf(c);
	const struct site_service *svc;

	*needs = (struct site_request){
		.service = conf ? service_of(c, j) : NULL,
		.model = j->spec->model,
		.min_version = j->spec->min_version,
		.domain = core_domain(c),
		.only_free = true,
	};
	if (!needs->service)
		return false;
	svc = site_conf_service(conf, needs->service);
	needs->cold_rate = svc ? svc->cold_rate / JOB_COLD_SENDERS : 0;
	needs->pace_ms = site_servers_usual_pace(site_mod_servers(c),
						 needs->service, core_now(c));
	room_mod_fill_claims(c, needs->model, j->started_ms, needs);
	if (site_mod_loads_weights(c, needs->service)) {
		site_servers_speeds(site_mod_servers(c), needs->service,
				    core_now(c), &needs->speeds);
		needs->memory_tokens = svc ? svc->memory_tokens : 0;
	}
	return true;
}

/* If some servers are faster, the longest items of a batch prefer them, as many as are
 * the fast servers' share. */
static enum site_speed_preference speed_of(struct job *j, int item,
					   const struct site_request *needs)
{
	if (!needs->speeds.uneven)
		return SITE_ANY_SPEED;
	if (!j->long_min_tokens) {
		j->long_min_tokens = job_spec_longest_threshold(
			j->spec, needs->speeds.fast_share);
		log_event(
			EV_JOB_UNEVEN,
			"batch=%s fast_us=%lld typical_us=%lld "
			"fast_percent=%d long_from=%lld",
			j->id,
			(long long)(needs->speeds.fast_pace_ms * US_PER_MS),
			(long long)(needs->speeds.typical_pace_ms * US_PER_MS),
			(int)(needs->speeds.fast_share * PERCENT),
			(long long)j->long_min_tokens);
	}
	return job_item_expected_tokens(&j->spec->items[item]) >=
			       j->long_min_tokens
		       ? SITE_FAST_FIRST
		       : SITE_SLOW_FIRST;
}

/* Logs periodically why items wait. */
static void log_waiting(struct core *c, struct job *j,
			const struct site_request *needs)
{
	if (core_now(c) < j->waiting_log_next_ms)
		return;
	j->waiting_log_next_ms = core_now(c) + WAITING_LOG_INTERVAL_MS;
	log_event(EV_JOB_ITEMS_WAITING,
		  "batch=%s waiting=%zu at=%zu servers=%d model=%s "
		  "min_version=%llu named=%llu",
		  j->id, job_run_count(j->run, JOB_WAITING),
		  job_run_count(j->run, JOB_SENT),
		  site_servers_count_eligible(site_mod_servers(c), needs),
		  needs->model, (unsigned long long)needs->min_version,
		  (unsigned long long)site_mod_weight_version(c, needs->model));
}

static int64_t slack_of(struct core *c, const struct job *j, int item)
{
	return job_slack_ms(&jobs_of(c)->pace, core_now(c), j->due_ms,
			    job_item_expected_tokens(&j->spec->items[item]));
}

/* Sends items of a batch while servers are free and no item of another batch has less
 * slack.
 *
 * @param slack  least slack of the other batches, ms
 * @return false if no more items of the batch can be sent now */
static bool send_items(struct core *c, struct job *j, int64_t slack)
{
	struct site_request needs;
	struct job_newer newer;
	int item;

	if (!job_server_needs(c, j, &needs)) {
		job_run_abandon(j->run);
		job_run_next_item(j->run, core_now(c));
		return false;
	}
	newer = newer_batch(c, j, &needs);
	needs.waiting = (int)job_run_count(j->run, JOB_WAITING);
	while ((item = job_run_next_item(j->run, core_now(c))) >= 0) {
		int64_t item_slack = slack_of(c, j, item);
		struct site_server *s;

		if (item_slack > slack)
			return true;
		needs.below_version = job_version_to_leave(&newer, item_slack);
		needs.speed = speed_of(j, item, &needs);
		needs.tokens = job_item_memory_tokens(&j->spec->items[item]);
		s = site_servers_choose(site_mod_servers(c), core_now(c),
					&needs);
		if (!s) {
			site_mod_ask_permits(c);
			log_waiting(c, j, &needs);
		}
		if (!s || !job_send_item(c, j, item, s))
			return false;
		if (needs.speed == SITE_FAST_FIRST &&
		    site_server_is_fast(s, &needs.speeds))
			metric_add(M_ITEM_FAST, 1);
	}
	return false;
}

/* Batch whose next item has the least slack, among those that may send in this round.
 *
 * @param exclude     batch to skip, NULL for none
 * @param[out] slack  of that item, ms; INT64_MAX if there is none */
static struct job *most_urgent(struct core *c, const struct job *exclude,
			       int64_t *slack)
{
	struct jobs *jobs = jobs_of(c);
	struct job *best = NULL;
	struct job *j;
	size_t iter = 0;

	*slack = INT64_MAX;
	while ((j = htab_next(jobs->jobs, &iter, NULL))) {
		int item;
		int64_t s;

		if (j == exclude || !may_send(c, j) ||
		    j->send_round == jobs->send_round)
			continue;
		item = job_run_next_item(j->run, core_now(c));
		if (item < 0)
			continue;
		s = slack_of(c, j, item);
		if (best && s >= *slack)
			continue;
		best = j;
		*slack = s;
	}
	return best;
}

/* Each pass sends an item or excludes a batch from the round, so the loop ends. */
static void send_by_slack(struct core *c)
{
	struct jobs *jobs = jobs_of(c);
	int64_t slack, next_slack;
	struct job *j;

	jobs->send_round++;
	while ((j = most_urgent(c, NULL, &slack))) {
		most_urgent(c, j, &next_slack);
		if (!send_items(c, j, next_slack))
			j->send_round = jobs->send_round;
	}
}

void job_send_step(struct core *c, struct job *j)
{
	const char *service;

	/* Send on cached servers and routes only as long as cached keys may be trusted:
	 * an item may run twice if another node takes the batch over meanwhile. */
	if (!may_send(c, j) || !site_mod_keys_fresh(c) ||
	    !site_mod_may_start_work(c))
		return;
	service = site_mod_conf(c) ? service_of(c, j) : NULL;
	if (service && site_mod_loads_weights(c, service))
		send_by_slack(c);
	else
		send_items(c, j, INT64_MAX);
}
