// Runs generations as work of class WORK_ROLLOUT.
#include <string.h>

#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "daemon/work_mod.h"
#include "rollout/batch_json.h"
#include "rollout_mod_int.h"

enum {
	RUN_DEADLINE_MS = 780000, ///< a training step must be complete by then
	RUN_RETRY_MIN_MS = 100, ///< after a refusal
	RUN_NO_ACCESS_RETRY_MS = 1000, ///< without access
	RUN_INDEX_MASK = 0xffff, ///< index part of a handle
};

static struct rollout_run *run_slot(struct rollout_mod *m, htab_handle run)
{
	return &m->runs[(run & RUN_INDEX_MASK) % ROLLOUT_MAX_RUNS];
}

/* Passes on the tokens of an engine's line. */
static enum err run_parse_line(struct rollout_mod *m, struct rollout_run *run,
			       const char *line, size_t len)
{
	struct sample s;
	enum engine_line_kind kind;
	enum err e;

	sample_init(&s);
	e = engine_line(&s, line, len, &kind);
	if (e == ERR_OK && s.n_segments > 0)
		e = rollout_tokens(m->r, run->handle, s.segments[0].version,
				   s.tokens, s.n, core_now(m->c));
	if (e == ERR_OK && kind == ENGINE_END)
		run->finish = s.finish;
	sample_clear(&s);
	return e;
}

static void run_on_line(struct core *c, void *ctx, const char *line, size_t len)
{
	run_parse_line(rollout_mod_state(c), ctx, line, len);
}

static void run_on_done(struct core *c, void *ctx,
			const struct work_result *res)
{
	struct rollout_mod *m = rollout_mod_state(c);
	struct rollout_run *run = ctx;
	htab_handle h = run->handle;
	enum sched_end end = SCHED_FAILED;
	int64_t retry = res->retry_after_ms;

	if (res->err == ERR_OK && run->finish != SAMPLE_OPEN)
		end = SCHED_COMPLETED;
	else if (res->err != ERR_OK && res->run == RUN_NO)
		end = SCHED_REFUSED;
	if (retry < RUN_RETRY_MIN_MS)
		retry = RUN_RETRY_MIN_MS;
	run->handle = 0;
	rollout_ended(m->r, h, end, run->finish, res->server ? res->server : "",
		      retry, core_now(c));
	rollout_mod_apply_actions(m);
}

static enum err run_check_access(struct core *c, const char *route,
				 const char *team)
{
	const struct conf *conf = conf_mod_current(c);

	if (!conf)
		return ERR_CONF_NONE;
	return conf_mod_check_team(c, conf_route_find(conf, route), team);
}

static void run_report_refused(struct rollout_mod *m, htab_handle run,
			       int64_t retry)
{
	rollout_ended(m->r, run, SCHED_REFUSED, SAMPLE_OPEN, "", retry,
		      core_now(m->c));
}

/* New configuration: cancels generations of teams without access. */
static void run_on_conf_change(struct core *c, void *ctx)
{
	struct rollout_mod *m = rollout_mod_state(c);

	for (size_t i = 0; i < ROLLOUT_MAX_RUNS; i++) {
		struct rollout_run *run = &m->runs[i];
		htab_handle h = run->handle;

		if (h == 0 ||
		    run_check_access(c, run->route, run->team) == ERR_OK)
			continue;
		work_cancel(c, run->work_handle);
		run->handle = 0;
		run_report_refused(m, h, RUN_NO_ACCESS_RETRY_MS);
	}
	rollout_mod_apply_actions(m);
}

enum err rollout_mod_run_init(struct core *c)
{
	return conf_mod_on_change(c, run_on_conf_change, NULL);
}

void rollout_mod_start_run(struct rollout_mod *m,
			   const struct rollout_action *a)
{
	struct rollout_run *run = run_slot(m, a->run);
	int64_t retry = 0;
	struct work_opts opts = {
		.cls = WORK_ROLLOUT,
		.kind = VM_ENGINE,
		.service = "",
		.team = a->team,
		.method = "POST",
		.path = "/v1/generate",
		.body = a->value,
		.body_len = strlen(a->value),
		.ctype = "application/json",
		.idempotent = true,
		.deadline_ms = core_now(m->c) + RUN_DEADLINE_MS,
		.cost = a->cost,
		.prefix = a->prefix,
		.avoid = *a->avoid ? a->avoid : NULL,
		.preemptible = true,
		.on_line = run_on_line,
		.on_done = run_on_done,
		.ctx = run,
	};

	if (run_check_access(m->c, a->route, a->team) != ERR_OK) {
		run_report_refused(m, a->run, RUN_NO_ACCESS_RETRY_MS);
		return;
	}
	*run = (struct rollout_run){.handle = a->run};
	memcpy(run->team, a->team, sizeof(run->team));
	memcpy(run->route, a->route, sizeof(run->route));
	if (work_submit(m->c, &opts, &run->work_handle, &retry) == ERR_OK)
		return;
	run->handle = 0;
	if (retry < RUN_RETRY_MIN_MS)
		retry = RUN_RETRY_MIN_MS;
	run_report_refused(m, a->run, retry);
}

void rollout_mod_cancel_run(struct rollout_mod *m,
			    const struct rollout_action *a)
{
	struct rollout_run *run = run_slot(m, a->run);

	if (run->handle != a->run)
		return;
	work_cancel(m->c, run->work_handle);
	run->handle = 0;
}
