// Simulated engines. A token is a function of prompt, seed, position and
// weight version.
#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#include "sim_defs.h"

enum {
	LINE_TOKENS = 8,
};

uint32_t sim_token(uint64_t prompt, uint64_t seed, size_t pos, uint64_t version)
{
	uint64_t in[4] = {prompt, seed, pos, version};

	return (uint32_t)(XXH64(in, sizeof(in), 0) % 50000);
}

uint64_t sim_prompt(int batch, int group)
{
	return 1 + (uint64_t)(batch * 100 + group);
}

size_t sim_stop_length(uint64_t prompt, uint64_t seed)
{
	uint64_t in[2] = {prompt, seed};
	uint64_t h = XXH64(in, sizeof(in), 1);

	return (8 + h % 16) << ((h >> 20) % 5);
}

static size_t json_size(const json_t *obj, const char *key)
{
	return (size_t)json_integer_value(json_object_get(obj, key));
}

static void sim_run_faults(struct sim *s, struct sim_run_state *run)
{
	bool on = s->opts.faults.engine_faults && s->now_ms < SIM_FAULTS_END_MS;

	run->lines_to_break = -1;
	if (on && sim_chance(s, 15))
		run->lines_to_break = (int)rng_below(&s->rng, 10);
	run->hangs = on && sim_chance(s, 4);
	run->refused = on && sim_chance(s, 5);
}

static int sim_run_engine(struct sim *s, const char *avoid)
{
	int e = (int)rng_below(&s->rng, SIM_ENGINES);

	if (*avoid && avoid[1] - '0' == e)
		e = (e + 1) % SIM_ENGINES;
	return e;
}

void sim_run_start(struct sim *s, int node, const struct rollout_action *a)
{
	json_t *req = json_loads(a->value, 0, NULL);
	struct sim_run_state *run = s->runs;
	struct sim_event *ev;

	while (run->used)
		run++;
	memset(run, 0, sizeof(*run));
	run->used = true;
	run->node = node;
	run->incarnation = s->nodes[node].incarnation;
	run->handle = a->run;
	run->engine = sim_run_engine(s, a->avoid);
	run->prompt = (uint64_t)json_integer_value(
		json_array_get(json_object_get(req, "prompt"), 0));
	run->seed = json_size(req, "seed");
	run->pos = json_array_size(json_object_get(req, "resume"));
	run->max = json_size(req, "max_tokens");
	run->stop = sim_stop_length(run->prompt, run->seed);
	json_decref(req);
	sim_run_faults(s, run);
	ev = sim_event_add(s, 5 + (int64_t)rng_below(&s->rng, 20), SIM_RUN);
	ev->run = (int)(run - s->runs);
}

void sim_run_cancel(struct sim *s, int node, htab_handle handle)
{
	for (int i = 0; i < SIM_RUNS; i++) {
		struct sim_run_state *run = &s->runs[i];

		if (run->used && run->node == node &&
		    run->incarnation == s->nodes[node].incarnation &&
		    run->handle == handle)
			run->handle = 0;
	}
}

static void sim_run_end(struct sim *s, struct sim_run_state *run,
			enum sched_end end, enum sample_finish finish)
{
	char server[8] = {'e', (char)('0' + run->engine), '\0'};

	run->used = false;
	rollout_ended(s->nodes[run->node].r, run->handle, end, finish, server,
		      end == SCHED_REFUSED ? 50 : 0, s->now_ms);
	sim_run_actions(s, run->node);
}

static void sim_run_line(struct sim *s, struct sim_run_state *run, size_t end)
{
	uint64_t version = s->engines[run->engine].version;
	uint32_t tokens[LINE_TOKENS];
	size_t n = 0;

	while (n < LINE_TOKENS && run->pos < end)
		tokens[n++] =
			sim_token(run->prompt, run->seed, run->pos++, version);
	rollout_tokens(s->nodes[run->node].r, run->handle, version, tokens, n,
		       s->now_ms);
	sim_run_actions(s, run->node);
}

void sim_run_step(struct sim *s, const struct sim_event *ev)
{
	struct sim_run_state *run = &s->runs[ev->run];
	size_t end = run->stop < run->max ? run->stop : run->max;

	if (run->handle == 0 ||
	    s->nodes[run->node].incarnation != run->incarnation) {
		run->used = false;
		return;
	}
	if (run->refused) {
		sim_run_end(s, run, SCHED_REFUSED, SAMPLE_OPEN);
		return;
	}
	if (run->lines_to_break-- == 0) {
		sim_run_end(s, run, SCHED_FAILED, SAMPLE_OPEN);
		return;
	}
	if (run->pos >= end) {
		sim_run_end(s, run, SCHED_COMPLETED,
			    run->stop <= run->max ? SAMPLE_STOP
						  : SAMPLE_LENGTH);
		return;
	}
	sim_run_line(s, run, end);
	if (!run->hangs)
		sim_event_add(s, LINE_TOKENS * s->engines[run->engine].token_ms,
			      SIM_RUN)
			->run = ev->run;
	else
		sim_event_add(s, SIM_END_MS, SIM_RUN)->run = ev->run;
}

/* Order the next version. Engines swap late, some fail to. */
void sim_swap_weights(struct sim *s)
{
	bool faults = s->now_ms < SIM_FAULTS_END_MS;

	for (int i = 0; i < SIM_ENGINES; i++) {
		if (!faults || sim_chance(s, 60))
			s->engines[i].version = s->ordered_version;
	}
	if (sim_chance(s, 30) && faults) {
		s->ordered_version++;
		s->trainer.version = s->ordered_version;
	}
	sim_event_add(s, 200 + (int64_t)rng_below(&s->rng, 400), SIM_SWAP);
}
