// Starts, cancels, freezes and stops a batch at the node that runs it.
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "daemon/site_mod.h"
#include "job/reward.h"
#include "job/attempt.h"

const struct site_route *job_route(struct core *c, const struct job *j)
{
	const struct site_conf *conf = site_mod_conf(c);

	return conf ? site_conf_route(conf, j->spec->host, j->spec->path)
		    : NULL;
}

static struct job_run_opts run_opts(struct core *c, const struct job *j,
				    const struct job_spec *spec)
{
	const struct site_conf *conf = site_mod_conf(c);
	const struct site_route *route =
		conf ? site_conf_route(conf, spec->host, spec->path) : NULL;
	int64_t give_up = route ? route->give_up_ms : INT32_MAX;
	int64_t begin = core_now(c) + spec->at_ms - clock_wall_ms();

	return (struct job_run_opts){
		.max_failures = route && route->max_servers ? route->max_servers
							    : JOB_MAX_FAILURES,
		.one_version = route && route->one_version,
		.due_ms = begin + (route ? route->results_due_ms : 0),
		.give_up_ms = begin + give_up,
	};
}

static bool flush_buf_reserve(struct jobs *jobs, size_t n)
{
	struct job_result *p;

	if (n <= jobs->flush_buf_cap)
		return true;
	p = realloc(jobs->flush_buf, n * sizeof(*p));
	if (!p)
		return false;
	jobs->flush_buf = p;
	jobs->flush_buf_cap = n;
	return true;
}

static bool has_rewards(const struct job_spec *spec)
{
	for (size_t i = 0; i < spec->n_items; i++) {
		if (spec->items[i].reward.id)
			return true;
	}
	return false;
}

static void free_run(struct job *j)
{
	job_run_free(j->run);
	free(j->attempts);
	free(j->rewards);
	j->run = NULL;
	j->attempts = NULL;
	j->rewards = NULL;
}

enum err job_start(struct core *c, struct job *j, struct job_spec *spec)
{
	const struct job_run_opts opts = run_opts(c, j, spec);
	bool rewards = has_rewards(spec);

	if (!flush_buf_reserve(jobs_of(c), spec->n_items))
		return ERR_NOMEM;
	metric_add(M_ITEM_CARRIED,
		   job_recent_mark_carried(&jobs_of(c)->seen, spec));
	j->run = job_run_new(spec, &opts);
	j->attempts = calloc(spec->n_items + 1, sizeof(*j->attempts));
	if (rewards)
		j->rewards = calloc(spec->n_items, sizeof(*j->rewards));
	if (!j->run || !j->attempts || (rewards && !j->rewards)) {
		free_run(j);
		return ERR_NOMEM;
	}
	j->run_memory = job_memory_of_run(spec->n_items);
	j->expected_tokens = job_spec_expected_tokens(spec);
	j->send_round = jobs_of(c)->send_round;
	j->long_min_tokens = 0;
	job_run_apply_list(j->run, &j->list);
	j->spec = spec;
	j->running = true;
	j->closing = false;
	j->started_ms = core_now(c);
	j->due_ms = opts.due_ms;
	j->start_reported = false;
	j->watch_next_ms = 0;
	j->texts_next_ms = core_now(c);
	j->texts_busy = false;
	j->texts_rev_stale = false;
	j->texts_rev = 0;
	j->owner_lost_ms = 0;
	j->frozen_ms = 0;
	j->texts_flushed = false;
	j->texts_flushing = false;
	j->handover_sent_ms = 0;
	j->handover_failed = false;
	return ERR_OK;
}

void job_cancel_listed(struct core *c, struct job *j)
{
	for (size_t i = 0; i < j->spec->n_items; i++) {
		if (!j->attempts[i].fetch ||
		    job_run_phase(j->run, (int)i) == JOB_SENT)
			continue;
		core_fetch_cancel(c, j->attempts[i].fetch);
		job_release_attempt(c, &j->attempts[i], true);
	}
}

void job_cancel_attempts(struct core *c, struct job *j)
{
	for (size_t i = 0; i < j->spec->n_items; i++) {
		if (!j->attempts[i].fetch)
			continue;
		core_fetch_cancel(c, j->attempts[i].fetch);
		job_release_attempt(c, &j->attempts[i], true);
		job_run_attempt_ended(j->run, (int)i, core_now(c),
				      JOB_ATTEMPT_INTERRUPTED);
	}
	job_reward_cancel(c, j);
}

bool job_may_send(const struct core *c, const struct job *j)
{
	const struct jobs *jobs = jobs_of(c);

	return !j->owner.ended && !j->frozen_ms && !jobs->draining &&
	       !jobs->handover.closed;
}

void job_freeze(struct core *c, struct job *j)
{
	for (size_t i = 0; i < j->spec->n_items; i++) {
		if (!j->attempts[i].fetch)
			continue;
		core_fetch_cancel(c, j->attempts[i].fetch);
		job_release_attempt(c, &j->attempts[i], true);
	}
	job_reward_freeze(c, j);
	j->frozen_ms = core_now(c);
}

void job_stop(struct core *c, struct job *j, const char *why)
{
	log_event(EV_JOB_RUN_STOPPED,
		  "batch=%s why=%s listed=%zu items=%zu at=%zu", j->id, why,
		  j->list.n, j->spec->n_items, job_run_count(j->run, JOB_SENT));
	job_cancel_attempts(c, j);
	free_run(j);
	free(j->record);
	job_spec_free(j->spec);
	j->record = NULL;
	j->spec = NULL;
	j->running = false;
}
