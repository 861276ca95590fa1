// Cost of idempotency keys: KV writes per second and added latency, compared with
// one KV key per claim (two writes per call). Virtual time.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "claim/shard.h"

enum {
	SHARDS = 8,
	RUN_S = 20,
	KV_MIN_MS = 2, ///< latency of a store call
	KV_SPREAD_MS = 5,
	RUN_MS = 20, ///< from the claim to the outcome
	COMMIT_MS = 50,
	SEGMENT_MAX = 16 << 10, ///< bytes
	CALLS_MAX = 40000,
	KV_WRITES_PER_S_MAX = 300, ///< the store takes several hundred
	LATENCY_MAX_MS = 2 * (COMMIT_MS + KV_MIN_MS + KV_SPREAD_MS),
	SEED = 7,
};

struct call {
	int64_t asked_ms;
	int64_t granted_ms; ///< 0: not yet
	int64_t outcome_ms; ///< when the outcome is recorded
};

struct shard {
	struct claim_shard *s;
	int64_t reply_ms; ///< 0: no store call in flight
	struct claim_kv_result reply;
	char *text; ///< the newest segment
	size_t len;
	uint64_t rev;
};

static struct shard shards[SHARDS];
static struct call calls[CALLS_MAX];
static size_t n_calls;
static int64_t now_ms;
static struct rng rng = {SEED};

static void schedule_reply(struct shard *sh, enum err e)
{
	sh->reply = (struct claim_kv_result){.err = e, .rev = sh->rev};
	sh->reply_ms =
		now_ms + KV_MIN_MS + (int64_t)rng_below(&rng, KV_SPREAD_MS);
}

static void op_list(void *ctx, const char *prefix)
{
	schedule_reply(ctx, ERR_OK);
}

static void op_get(void *ctx, const char *key)
{
	schedule_reply(ctx, ERR_NOT_FOUND);
}

static void op_put(void *ctx, const char *key, const char *value, size_t len,
		   uint64_t prev_rev)
{
	struct shard *sh = ctx;

	sh->rev++;
	schedule_reply(sh, ERR_OK);
}

static void op_del(void *ctx, const char *key, uint64_t rev)
{
}

static void op_verdict(void *ctx, uint64_t ticket, enum claim_verdict v,
		       const struct claim_answer *a)
{
	calls[ticket].granted_ms = now_ms;
	calls[ticket].outcome_ms = now_ms + RUN_MS;
}

static const struct claim_shard_ops ops = {op_list, op_get, op_put, op_del,
					   op_verdict};

static struct claim_time sim_time(void)
{
	return (struct claim_time){now_ms, now_ms};
}

static struct claim_request request(size_t i)
{
	return (struct claim_request){
		.key = {i % SHARDS, i + 1},
		.id = {1, i + 1},
		.until_ms = now_ms + 10000,
		.expires_ms = now_ms + 900000,
	};
}

static void submit_calls(double rate_per_ms)
{
	for (double remaining = rate_per_ms; remaining > 0; remaining -= 1) {
		size_t i = n_calls;

		if (rng_unit(&rng) >= remaining || n_calls == CALLS_MAX)
			continue;
		n_calls++;
		calls[i] = (struct call){.asked_ms = now_ms};
		struct claim_request q = request(i);

		claim_shard_request(shards[i % SHARDS].s, sim_time(), &q, i);
	}
}

static void record_due_outcomes(size_t *first_open)
{
	for (size_t i = *first_open; i < n_calls; i++) {
		struct claim_record r = {.op = CLAIM_OP_DONE,
					 .req = request(i)};

		if (calls[i].outcome_ms != now_ms || calls[i].granted_ms == 0)
			continue;
		r.answer = (struct claim_answer){
			.status = 200,
			.ctype = "application/json",
			.body = "{\"booking\":123456,\"truck\":\"t-17\"}",
			.len = 34,
		};
		claim_shard_add_outcome(shards[i % SHARDS].s, sim_time(), &r);
	}
	while (*first_open < n_calls && calls[*first_open].granted_ms &&
	       calls[*first_open].outcome_ms <= now_ms)
		(*first_open)++;
}

static void step(void)
{
	for (int i = 0; i < SHARDS; i++) {
		struct shard *sh = &shards[i];

		if (sh->reply_ms && sh->reply_ms <= now_ms) {
			sh->reply_ms = 0;
			claim_shard_kv_done(sh->s, sim_time(), &sh->reply);
		}
		claim_shard_tick(sh->s, sim_time());
	}
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t latency_quantile(double quantile)
{
	static int64_t latencies[CALLS_MAX];
	size_t n = 0;

	for (size_t i = 0; i < n_calls; i++) {
		if (calls[i].granted_ms)
			latencies[n++] =
				calls[i].granted_ms - calls[i].asked_ms;
	}
	qsort(latencies, n, sizeof(*latencies), compare_int64);
	return n ? latencies[(size_t)(quantile * (double)(n - 1))] : 0;
}

static int check_at_most(const char *name, int rate, double v, const char *unit,
			 double bound)
{
	int ok = v <= bound;

	printf("bench claim_%s_%d %.1f %s bound %.1f %s\n", name, rate, v, unit,
	       bound, ok ? "pass" : "fail");
	return !ok;
}

static int run(int rate)
{
	struct claim_stats sum = {0};
	size_t first_open = 0;
	int failed = 0;

	n_calls = 0;
	for (int i = 0; i < SHARDS; i++) {
		struct claim_shard_opts o = {
			.prefix = "claim/0/",
			.ops = &ops,
			.ctx = &shards[i],
			.commit_interval_ms = COMMIT_MS,
			.wait_ms = 1200,
			.segment_max_bytes = SEGMENT_MAX,
		};

		shards[i] = (struct shard){.s = claim_shard_new(&o)};
	}
	for (now_ms = 1; now_ms < RUN_S * 1000; now_ms++) {
		submit_calls(rate / 1000.0);
		record_due_outcomes(&first_open);
		step();
	}
	for (int i = 0; i < SHARDS; i++) {
		const struct claim_stats *st = claim_shard_stats(shards[i].s);

		sum.puts += st->puts;
		sum.bytes += st->bytes;
		sum.records += st->records;
		claim_shard_free(shards[i].s);
	}
	failed |= check_at_most("kv_writes", rate, (double)sum.puts / RUN_S,
				"1/s", KV_WRITES_PER_S_MAX);
	failed |=
		check_at_most("added_p50", rate, (double)latency_quantile(0.5),
			      "ms", LATENCY_MAX_MS);
	failed |=
		check_at_most("added_p99", rate, (double)latency_quantile(0.99),
			      "ms", LATENCY_MAX_MS);
	printf("# %d calls/s: %.1f writes a call (one key per claim: 2), %.0f "
	       "KB/s to the store\n",
	       rate, (double)sum.puts / (double)n_calls,
	       (double)sum.bytes / 1024 / RUN_S);
	return failed;
}

int main(void)
{
	int failed = 0;

	failed |= run(10);
	failed |= run(100);
	failed |= run(800);
	return failed;
}
