// Late and wrong usage reports over a day of virtual time with store outages,
// handovers of the duty and lost responses; compared with a naive reporter, which
// recomputes the figures at each attempt.
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "support/bench.h"
#include "usage/seal.h"

enum {
	DAY_MS = 86400000,
	TICK_MS = 100,
	WINDOW_MS = 60000,
	LATE_AFTER_MS = 10000, ///< the end of a window or of an outage
	HANDOVER_INTERVAL_MS = 900000, ///< on average
	HANDOVER_GAP_MS = 8000, ///< without a holder at a handover
	OUTAGES = 6,
	OUTAGE_MS = 600000,
	RESPONSE_LOSS_PERCENT = 2,
	KEYS_MAX = 2048,
	WINDOWS_MAX = 2048,
	TEAMS = 8,
};

struct value {
	char key[USAGE_KEY_MAX];
	char *text;
	uint64_t rev;
};

static struct rng rng = {.state = 11};
static struct value values[KEYS_MAX];
static size_t n_values;
static uint64_t store_rev;
static int64_t now_ms;
static int64_t store_up_since_ms; ///< planned end of the last outage
static struct usage_seal seal;
static struct usage_counters book;
static char *accepted[WINDOWS_MAX];
static int n_wrong, n_late, n_reports;
static char *naive_unanswered; ///< figures of its unanswered report
static int n_naive_wrong;
static uint64_t store_calls;

static bool store_up(void)
{
	for (int i = 1; i <= OUTAGES; i++) {
		int64_t begin = (int64_t)i * DAY_MS / (OUTAGES + 1);

		if (now_ms < begin || now_ms >= begin + OUTAGE_MS)
			continue;
		store_up_since_ms = begin + OUTAGE_MS;
		return false;
	}
	return true;
}

static bool response_lost(void)
{
	return rng_below(&rng, 100) < RESPONSE_LOSS_PERCENT;
}

static struct value *find_value(const char *key, bool make)
{
	for (size_t i = 0; i < n_values; i++) {
		if (strcmp(values[i].key, key) == 0)
			return &values[i];
	}
	if (!make || n_values == KEYS_MAX)
		return NULL;
	snprintf(values[n_values].key, USAGE_KEY_MAX, "%s", key);
	return &values[n_values++];
}

static void on_get(void *ctx, const char *key)
{
	const struct value *v = find_value(key, false);
	struct usage_kv kv = {.err = ERR_KV_UNKNOWN};

	store_calls++;
	if (store_up() && !response_lost()) {
		kv.err = v && v->text ? ERR_OK : ERR_NOT_FOUND;
		kv.text = v ? v->text : NULL;
		kv.len = kv.text ? strlen(kv.text) : 0;
		kv.rev = v ? v->rev : 0;
	}
	usage_seal_on_kv(&seal, now_ms, &kv);
}

static void on_put(void *ctx, const char *key, const char *text, size_t len,
		   uint64_t prev_rev)
{
	struct value *v = find_value(key, true);
	struct usage_kv kv = {.err = ERR_KV_UNKNOWN};

	store_calls++;
	if (!v)
		abort();
	if (store_up() && v->rev == prev_rev) {
		free(v->text);
		v->text = strndup(text, len);
		v->rev = ++store_rev;
		kv.err = response_lost() ? ERR_KV_UNKNOWN : ERR_OK;
	} else if (store_up()) {
		kv.err = ERR_KV_CONFLICT;
	}
	usage_seal_on_kv(&seal, now_ms, &kv);
}

static void on_list(void *ctx)
{
	bool ok = store_up() && !response_lost();
	json_t *j = usage_counters_to_json(&book);
	char *text = json_dumps(j, JSON_COMPACT);

	store_calls++;
	if (ok)
		usage_seal_on_item(&seal, "usage/node/d1", text, strlen(text));
	free(text);
	json_decref(j);
	usage_seal_on_listed(&seal, now_ms, ok ? ERR_OK : ERR_KV_UNKNOWN);
}

static void on_del(void *ctx, const char *key)
{
	struct value *v = find_value(key, false);

	if (!v)
		return;
	free(v->text);
	*v = values[--n_values];
}

/// End of a reported window, from its record in the store.
static int64_t window_end_ms(json_int_t window)
{
	char key[USAGE_KEY_MAX];
	const struct value *v;
	json_t *rec;
	int64_t start;

	usage_window_key((uint64_t)window, key);
	v = find_value(key, false);
	rec = v ? json_loads(v->text, 0, NULL) : NULL;
	start = json_integer_value(json_object_get(rec, "start"));
	json_decref(rec);
	return start + WINDOW_MS;
}

static void count_late(json_int_t window)
{
	int64_t end_ms = window_end_ms(window);

	if (end_ms < store_up_since_ms)
		end_ms =
			store_up_since_ms; /* no report is possible in an outage */
	n_reports++;
	n_late += window > 1 && now_ms > end_ms + LATE_AFTER_MS;
}

/// The naive reporter sends its current counts, and recounts for a retry.
static void naive_report(void)
{
	json_t *j = usage_counters_to_json(&book);
	char *text = json_dumps(j, JSON_COMPACT);

	json_decref(j);
	if (naive_unanswered && strcmp(naive_unanswered, text) != 0)
		n_naive_wrong++;
	free(naive_unanswered);
	naive_unanswered = text;
	if (response_lost())
		return; /* it will send this window again */
	free(naive_unanswered);
	naive_unanswered = NULL;
}

static void on_send(void *ctx, const char *body, size_t len)
{
	json_t *j = json_loadb(body, len, 0, NULL);
	json_int_t n = json_integer_value(json_object_get(j, "window"));
	char *figures_text =
		json_dumps(json_object_get(j, "figures"), JSON_SORT_KEYS);
	bool is_up = store_up(); /* the whole platform is down in an outage */

	json_decref(j);
	if (is_up && accepted[n]) {
		n_wrong += strcmp(accepted[n], figures_text) != 0;
		free(figures_text);
	} else if (is_up) {
		accepted[n] = figures_text;
		count_late(n);
	} else {
		free(figures_text);
	}
	naive_report();
	usage_seal_on_sent(&seal, now_ms, is_up && !response_lost() ? 200 : 0);
}

static void on_bad(void *ctx, const char *key, enum err e)
{
	n_wrong++;
}

static void on_reported(void *ctx, uint64_t window)
{
}

static const struct usage_seal_ops ops = {
	.get = on_get,
	.list = on_list,
	.put = on_put,
	.del = on_del,
	.send = on_send,
	.bad = on_bad,
	.reported = on_reported,
};

static void add_random_usage(void)
{
	char team[16];

	snprintf(team, sizeof(team), "team%d", (int)rng_below(&rng, TEAMS));
	usage_counters_add(&book, "n1/1", team, USAGE_TOKENS,
			   rng_below(&rng, 999));
}

static void run_day(void)
{
	uint64_t epoch = 1;
	int64_t gap_until = 0;

	usage_seal_begin(&seal, now_ms, epoch);
	for (now_ms = 1000000; now_ms < 1000000 + DAY_MS; now_ms += TICK_MS) {
		add_random_usage();
		if (rng_below(&rng, HANDOVER_INTERVAL_MS / TICK_MS) == 0) {
			usage_seal_end(&seal);
			gap_until = now_ms + HANDOVER_GAP_MS;
		}
		if (gap_until && now_ms >= gap_until) {
			usage_seal_begin(&seal, now_ms, ++epoch);
			gap_until = 0;
		}
		usage_seal_tick(&seal, now_ms, now_ms, WINDOW_MS);
	}
}

static uint64_t tokens_of(const json_t *figures)
{
	const char *team;
	json_t *v;
	uint64_t sum = 0;

	json_object_foreach((json_t *)figures, team, v)
		sum += (uint64_t)json_integer_value(
			json_object_get(v, "tokens"));
	return sum;
}

/// Tokens in accepted reports as a fraction of all tokens counted.
static double reported_share(void)
{
	uint64_t counted = 0;
	uint64_t reported = 0;

	for (size_t k = 0; k < book.entries[0].n_rows; k++)
		counted += book.entries[0].rows[k].v[USAGE_TOKENS];
	for (int i = 0; i < WINDOWS_MAX; i++) {
		json_t *j =
			accepted[i] ? json_loads(accepted[i], 0, NULL) : NULL;

		reported += tokens_of(j);
		json_decref(j);
	}
	return (double)reported / (double)counted;
}

int main(void)
{
	bool ok = true;

	seal.ops = &ops;
	now_ms = 1000000;
	run_day();
	/* Time for the last window to be reported. */
	for (int64_t end = now_ms + 3 * WINDOW_MS; now_ms < end;
	     now_ms += TICK_MS)
		usage_seal_tick(&seal, now_ms, now_ms, WINDOW_MS);
	ok &= bench_check("usage_wrong_reports", n_wrong, "reports",
			  BENCH_AT_MOST, 0);
	ok &= bench_check("usage_reported_share", reported_share(), "of counts",
			  BENCH_AT_LEAST, 1);
	ok &= bench_check("usage_late_reports", 100.0 * n_late / n_reports,
			  "percent", BENCH_AT_MOST, 5);
	ok &= bench_check("usage_windows", n_reports, "windows", BENCH_AT_LEAST,
			  1300);
	ok &= bench_check("usage_naive_wrong_reports", n_naive_wrong, "reports",
			  BENCH_AT_LEAST, 1);
	ok &= bench_check("usage_store_calls_a_window",
			  (double)store_calls / n_reports, "calls",
			  BENCH_AT_MOST, 30);
	usage_seal_end(&seal);
	usage_counters_clear(&book);
	for (int i = 0; i < WINDOWS_MAX; i++)
		free(accepted[i]);
	for (size_t i = 0; i < n_values; i++)
		free(values[i].text);
	free(naive_unanswered);
	return ok ? 0 : 1;
}
