// Step time of a trainer in virtual time, with stragglers, by scheduling order and
// hedging; fair shares among trainers; memory of an open batch.
#include <malloc.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "rollout/home.h"
#include "rollout/op.h"
#include "rollout/sched.h"
#include "support/bench.h"

// One of twelve trainers at the required sizes: 2,900 servers that generate 1.7
// million tokens a second, 8,192 samples a step, complete within 13 minutes.
enum {
	SERVERS = 2900 / 12,
	SERVER_TOKENS_PER_S = 1700000 / 2900,
	STREAM_TOKENS_PER_S = 100, ///< maximum of one stream
	STREAMS_PER_SERVER = 16,
	GROUPS = 1024,
	SAMPLES_PER_GROUP = 8,
	TOKENS_PER_UNIT = 16, ///< counted as one unit
	MAX_UNITS = 24576 / TOKENS_PER_UNIT, ///< longest sample
	STEP_LIMIT_S = 13 * 60,
	SLOW_PERCENT = 3, ///< servers slowed down by SLOW_DIVISOR
	SLOW_DIVISOR = 5,
	HANG_PERCENT = 1, ///< servers whose streams hang half way
	TIMEOUT_S = 3600,
	TRAINERS = 3,
};

struct model_run {
	htab_handle handle; ///< 0: free entry
	int server;
	double generated; ///< units, resumed ones included
	size_t reported; ///< units reported to the scheduler
	size_t length; ///< units
};

struct model {
	struct sched *sched;
	struct home *homes[TRAINERS];
	struct rng rng;
	struct model_run runs[SERVERS * STREAMS_PER_SERVER + 1024];
	int load[SERVERS];
	bool slow[SERVERS];
	bool hangs[SERVERS];
	int64_t now_ms;
};

static size_t model_sample_units(const struct batch *spec, uint32_t slot)
{
	const struct batch_group *g = batch_group_of(spec, slot);
	struct rng group = {g->prefix};
	struct rng own = {batch_slot_seed(spec, slot)};
	double mean = 60.0 / (0.05 + rng_unit(&group));
	size_t n = (size_t)(mean * (0.5 + rng_unit(&own)));

	return n < MAX_UNITS ? n + 1 : MAX_UNITS;
}

static int model_pick(struct model *m, const char *avoid)
{
	int excluded = *avoid ? atoi(avoid + 1) : -1;
	int best = -1;

	for (int i = 0; i < SERVERS; i++) {
		int s = (int)((i + (int)(m->rng.state % SERVERS)) % SERVERS);

		if (s != excluded && (best < 0 || m->load[s] < m->load[best]))
			best = s;
	}
	rng_next(&m->rng);
	return best;
}

static void model_start(void *ctx, const struct sched_start *start)
{
	struct model *m = ctx;
	struct model_run *run = m->runs;

	while (run->handle)
		run++;
	*run = (struct model_run){
		.handle = start->run,
		.server = model_pick(m, start->avoid),
		.generated = (double)start->resume_from->n,
		.reported = start->resume_from->n,
		.length = model_sample_units(start->batch->spec, start->slot),
	};
	m->load[run->server]++;
}

static void model_end_run(struct model *m, struct model_run *run)
{
	m->load[run->server]--;
	run->handle = 0;
}

static void model_cancel(void *ctx, htab_handle handle)
{
	struct model *m = ctx;
	size_t n = sizeof(m->runs) / sizeof(*m->runs);

	for (size_t i = 0; i < n; i++) {
		if (m->runs[i].handle == handle)
			model_end_run(m, &m->runs[i]);
	}
}

static bool model_finished(void *ctx, struct home_batch *b, uint32_t slot,
			   struct sample *sample)
{
	struct op op = {.kind = OP_SAMPLE, .slot = slot};

	memcpy(op.batch, b->spec->id, sizeof(op.batch));
	op.sample = *sample;
	home_apply(b->user, &op);
	op_clear(&op);
	return true;
}

static const struct sched_ops model_ops = {
	.start = model_start,
	.cancel = model_cancel,
	.finished = model_finished,
};

static struct batch *model_batch(int trainer, int groups)
{
	struct batch *b = calloc(1, sizeof(*b));

	snprintf(b->id, sizeof(b->id), "b%d", trainer);
	b->n_groups = (size_t)groups;
	b->groups = calloc((size_t)groups, sizeof(*b->groups));
	for (int i = 0; i < groups; i++) {
		struct batch_group *g = &b->groups[i];

		snprintf(g->name, sizeof(g->name), "g%d", i);
		g->prompt = calloc(2, sizeof(*g->prompt));
		g->prompt[0] = (uint32_t)(trainer * GROUPS + i);
		g->n_prompt = 1;
		g->prefix = batch_prefix_hash(g->prompt, 1);
		g->n = SAMPLES_PER_GROUP;
		g->first = (uint32_t)b->n_slots;
		g->max_tokens = MAX_UNITS;
		g->expect_tokens = MAX_UNITS;
		b->n_slots += g->n;
	}
	return b;
}

static struct home_batch *model_home_batch(struct home **home, int trainer,
					   int groups)
{
	struct op op = {.kind = OP_BATCH, .spec = model_batch(trainer, groups)};

	*home = home_new("team", "t");
	home_apply(*home, &op);
	op_clear(&op);
	(*home)->batches[0]->user = *home;
	return (*home)->batches[0];
}

static double model_units_per_s(const struct model *m,
				const struct model_run *run)
{
	int n = m->load[run->server];
	double rate = (double)SERVER_TOKENS_PER_S / n;

	if (rate > STREAM_TOKENS_PER_S)
		rate = STREAM_TOKENS_PER_S;
	if (m->slow[run->server])
		rate /= SLOW_DIVISOR;
	return rate / TOKENS_PER_UNIT;
}

/* Advances one generation by a second. */
static void model_advance(struct model *m, struct model_run *run)
{
	static uint32_t tokens[MAX_UNITS + 1];
	bool hung = m->hangs[run->server] &&
		    run->generated > (double)run->length / 2;
	size_t generated;

	if (!hung)
		run->generated += model_units_per_s(m, run);
	generated = run->generated < (double)run->length
			    ? (size_t)run->generated
			    : run->length;
	if (generated > run->reported) {
		sched_tokens(m->sched, run->handle, 1, tokens,
			     generated - run->reported, m->now_ms);
		run->reported = generated;
	}
	if (generated >= run->length) {
		htab_handle h = run->handle;
		char server[16];

		snprintf(server, sizeof(server), "s%d", run->server);
		model_end_run(m, run);
		sched_ended(m->sched, h, SCHED_COMPLETED, SAMPLE_STOP, server,
			    0, m->now_ms);
	}
}

static struct model *model_new(enum sched_order order, int hedge_percent)
{
	struct model *m = calloc(1, sizeof(*m));

	m->rng.state = 7;
	m->sched = sched_new(&(struct sched_opts){
		.ops = &model_ops,
		.ctx = m,
		.order = order,
		.rng = {11},
		.max_runs = SERVERS * STREAMS_PER_SERVER,
		.max_queued = SERVERS * STREAMS_PER_SERVER,
		.stall_ms = 120000,
		.hedge_ms = 5000,
		.hedge_percent = hedge_percent,
	});
	for (int i = 0; i < SERVERS; i++) {
		m->slow[i] = rng_below(&m->rng, 100) < SLOW_PERCENT;
		m->hangs[i] = rng_below(&m->rng, 100) < HANG_PERCENT;
	}
	return m;
}

static void model_free(struct model *m)
{
	sched_free(m->sched);
	for (int i = 0; i < TRAINERS; i++)
		home_free(m->homes[i]);
	free(m);
}

static void model_run_second(struct model *m)
{
	size_t n = sizeof(m->runs) / sizeof(*m->runs);

	m->now_ms += 1000;
	sched_tick(m->sched, m->now_ms);
	for (size_t i = 0; i < n; i++) {
		if (m->runs[i].handle)
			model_advance(m, &m->runs[i]);
	}
}

/* Seconds until a step of 8,192 samples is complete; *ideal_s without stragglers. */
static double step_time_s(enum sched_order order, int hedge_percent,
			  double *ideal_s)
{
	struct model *m = model_new(order, hedge_percent);
	struct home_batch *b = model_home_batch(&m->homes[0], 0, GROUPS);
	double units = 0;
	double s;

	sched_add(m->sched, b, b);
	while (b->n_ready < b->spec->n_slots && m->now_ms < TIMEOUT_S * 1000)
		model_run_second(m);
	for (uint32_t i = 0; i < b->spec->n_slots; i++)
		units += (double)model_sample_units(b->spec, i);
	*ideal_s = units * TOKENS_PER_UNIT /
		   ((double)SERVER_TOKENS_PER_S * SERVERS);
	s = (double)m->now_ms / 1000;
	model_free(m);
	return s;
}

/* Tokens of the worst-served of three trainers as a fraction of an equal share. */
static double worst_trainer_share(void)
{
	struct model *m = model_new(SCHED_LONGEST, 2);
	double generated[TRAINERS] = {0};
	double total = 0;
	double min_tokens = 0;

	for (int i = 0; i < TRAINERS; i++) {
		struct home_batch *b = model_home_batch(
			&m->homes[i], i, i == 0 ? GROUPS : GROUPS / 2);

		sched_add(m->sched, b, b);
	}
	while (m->now_ms < 100 * 1000)
		model_run_second(m);
	for (int i = 0; i < TRAINERS; i++) {
		const struct home_batch *b = m->homes[i]->batches[0];

		for (uint32_t s = 0; s < b->spec->n_slots; s++)
			generated[i] += (double)b->slots[s].sample.n;
		total += generated[i];
	}
	min_tokens = generated[0];
	for (int i = 1; i < TRAINERS; i++)
		min_tokens =
			generated[i] < min_tokens ? generated[i] : min_tokens;
	model_free(m);
	return min_tokens / (total / TRAINERS);
}

/* Bytes of an open batch per slot, without samples. */
static double slot_bytes(int groups)
{
	struct model *m = model_new(SCHED_LONGEST, 2);
	size_t before = mallinfo2().uordblks;
	struct home_batch *b = model_home_batch(&m->homes[0], 0, groups);
	double bytes;

	sched_add(m->sched, b, b);
	bytes = (double)(mallinfo2().uordblks - before) /
		(double)b->spec->n_slots;
	model_free(m);
	return bytes;
}

/* Bytes of a sample's encoded copy per token. */
static double copy_bytes(size_t n)
{
	struct op op = {.kind = OP_SAMPLE, .batch = "batch"};
	uint32_t *tokens = calloc(n, sizeof(*tokens));
	size_t len;
	void *buf;

	sample_add(&op.sample, 1, tokens, n);
	buf = op_encode(&op, &len);
	free(buf);
	free(tokens);
	op_clear(&op);
	return (double)len / (double)n;
}

static bool bench_slots(int groups)
{
	char name[64];

	snprintf(name, sizeof(name), "rollout_slot_bytes_%d",
		 groups * SAMPLES_PER_GROUP);
	return bench_check(name, slot_bytes(groups), "bytes", BENCH_AT_MOST,
			   128.0 * 1024 * 1024 / BATCH_MAX_SLOTS);
}

int main(void)
{
	double ideal_s;
	double best_s = step_time_s(SCHED_LONGEST, 2, &ideal_s);
	double no_hedge_s = step_time_s(SCHED_LONGEST, 0, &ideal_s);
	double random_s = step_time_s(SCHED_RANDOM, 2, &ideal_s);
	bool ok = true;

	printf("step: %.0f s, no hedge %.0f s, random order %.0f s, without "
	       "stragglers %.0f s\n",
	       best_s, no_hedge_s, random_s, ideal_s);
	ok &= bench_check("rollout_step", best_s, "s", BENCH_AT_MOST,
			  STEP_LIMIT_S);
	ok &= bench_check("rollout_step_vs_no_hedge", best_s / no_hedge_s,
			  "ratio", BENCH_AT_MOST, 1);
	ok &= bench_check("rollout_step_vs_random_order", best_s / random_s,
			  "ratio", BENCH_AT_MOST, 1);
	ok &= bench_check("rollout_idle_vs_no_hedge",
			  (best_s - ideal_s) / (no_hedge_s - ideal_s), "ratio",
			  BENCH_AT_MOST, 1);
	ok &= bench_check("rollout_worst_trainer_share", worst_trainer_share(),
			  "ratio", BENCH_AT_LEAST, 0.9);
	for (int groups = 64; groups <= GROUPS; groups *= 4)
		ok &= bench_slots(groups);
	ok &= bench_check("rollout_copy_bytes_per_token", copy_bytes(1024),
			  "bytes", BENCH_AT_MOST, 8);
	return ok ? 0 : 1;
}
