// CPU cost of choosing a server: reading the usual pace, choosing, and counting the
// request as begun and ended.
#include <linux/perf_event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "site/server.h"
#include "support/bench.h"

enum {
	CHOICES = 20000,
	WARMUP = 2000,
	DOMAINS = 4,
	MODELS = 3,
	SLOTS = 8,
	BOUND_INSTRUCTIONS = 4000,
	/// Without an instruction counter: 4,000 instructions at four a nanosecond.
	BOUND_NS = 1000,
	REPEATS = 5,
};

enum load {
	LOAD_HALF, ///< half of each server's slots are busy
	LOAD_ONE_FREE, ///< one slot is free among the servers of the model
	LOAD_FULL, ///< all slots of the servers of the model are busy
	LOAD_LOADING, ///< no server has the requested version yet
	LOAD_AVOIDED, ///< half of the servers just failed
	LOAD_LIVE, ///< live requests with a second attempt
	LOAD_LIVE_FULL, ///< the same with all slots busy
	N_LOADS,
};

static const char *const load_names[N_LOADS] = {
	"half", "one_free", "full", "loading", "avoided", "live", "live_full",
};

static int open_instruction_counter(void)
{
	struct perf_event_attr attr = {
		.type = PERF_TYPE_HARDWARE,
		.size = sizeof(attr),
		.config = PERF_COUNT_HW_INSTRUCTIONS,
		.exclude_kernel = 1,
		.exclude_hv = 1,
	};

	return (int)syscall(SYS_perf_event_open, &attr, 0, -1, -1, 0);
}

/* Instructions so far, or CPU time of this thread in ns without a counter: wall time
 * would include other processes. */
static double read_cost(int counter)
{
	struct timespec ts;
	uint64_t n;

	if (counter >= 0 && read(counter, &n, sizeof(n)) == sizeof(n))
		return (double)n;
	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e9 + (double)ts.tv_nsec;
}

static struct site_servers *servers_new(int n)
{
	struct site_servers *t = site_servers_new();

	for (int i = 0; i < n; i++) {
		struct site_server_entry e = {
			.service = "engines",
			.slots = SLOTS,
			.n_models = 1,
			.started_ms = 1,
		};

		snprintf(e.id, sizeof(e.id), "engine-%d", i);
		snprintf(e.domain, sizeof(e.domain), "d%d", i % DOMAINS);
		snprintf(e.models[0].name, SITE_NAME_SIZE, "model-%d",
			 i / DOMAINS % MODELS);
		e.models[0].version = 7 + (uint64_t)(i / DOMAINS / MODELS % 2);
		if (site_servers_put(t, 1, 1, &e) != ERR_OK)
			abort();
	}
	return t;
}

static void occupy_slots(struct site_servers *t, enum load load)
{
	struct site_server *s;
	size_t iter = 0;
	int i = 0;

	while ((s = site_servers_next(t, &iter))) {
		bool has_model =
			strcmp(s->entry.models[0].name, "model-1") == 0;
		int busy_slots = SLOTS / 2;

		if (load == LOAD_ONE_FREE || load == LOAD_FULL)
			busy_slots = has_model ? SLOTS : 0;
		if (load == LOAD_LIVE_FULL)
			busy_slots = SLOTS;
		for (int k = 0; k < busy_slots; k++)
			site_server_begin(s, 1);
		if (load == LOAD_AVOIDED && i % 2)
			site_server_end(s, 1, false);
		for (int k = 0; k < 8; k++)
			site_server_record_event(s, 1, 49 + i % 5);
		i++;
	}
	iter = 0;
	while (load == LOAD_ONE_FREE && (s = site_servers_next(t, &iter))) {
		if (strcmp(s->entry.models[0].name, "model-1") != 0)
			continue;
		site_server_end(s, 1, true);
		break;
	}
}

/* Choice for a live request, as in forward.c: any server of the service except
 * those already tried. */
static void choose_live(struct site_servers *t, int64_t now)
{
	htab_handle tried[2];
	struct site_request request = {
		.service = "engines",
		.domain = "d1",
		.not = tried,
		.live = true,
	};

	for (; request.n_exclude < 2; request.n_exclude++) {
		struct site_server *s = site_servers_choose(t, now, &request);

		if (!s || !site_servers_count_usable(t, request.service))
			abort();
		tried[request.n_exclude] = s->self;
		site_server_begin(s, now);
		site_server_end(s, now, true);
		site_server_begin(s, now);
	}
	for (int i = 0; i < 2; i++)
		site_server_end(site_servers_get(t, tried[i]), now, true);
}

/* Choice for an item of a batch, as in run.c. */
static void choose_for_batch(struct site_servers *t, enum load load,
			     int64_t now)
{
	struct site_request request = {
		.service = "engines",
		.model = "model-1",
		.min_version = load == LOAD_LOADING ? 9 : 7,
		.domain = "d1",
		.only_free = true,
	};
	bool expect_server = load != LOAD_FULL && load != LOAD_LOADING;
	struct site_server *s;

	request.pace_ms = site_servers_usual_pace(t, request.service, now);
	s = site_servers_choose(t, now, &request);
	if ((s != NULL) != expect_server)
		abort();
	/* A sender counts once a second; here every time. */
	if (!s && site_servers_count_eligible(t, &request) < 0)
		abort();
	if (!s)
		return;
	site_server_begin(s, now);
	site_server_end(s, now, true);
}

/* Two choices per virtual ms, as of 2,000 requests a second; 100 while servers are
 * avoided, so that none returns before the end. */
static double measure_cost(int counter, int servers, enum load load)
{
	struct site_servers *t = servers_new(servers);
	int choices_per_ms = load == LOAD_AVOIDED ? 100 : 2;
	double start = 0;
	double cost;

	occupy_slots(t, load);
	for (int i = -WARMUP; i < CHOICES; i++) {
		if (i == 0)
			start = read_cost(counter);
		if (load == LOAD_LIVE || load == LOAD_LIVE_FULL)
			choose_live(t, 2 + (i + WARMUP) / choices_per_ms);
		else
			choose_for_batch(t, load,
					 2 + (i + WARMUP) / choices_per_ms);
	}
	cost = (read_cost(counter) - start) / CHOICES;
	if (load == LOAD_LIVE || load == LOAD_LIVE_FULL)
		cost /= 2;
	site_servers_free(t);
	return cost;
}

static double min_cost(int counter, int servers, enum load load)
{
	double min_cost = measure_cost(counter, servers, load);

	for (int i = 1; i < REPEATS; i++) {
		double cost = measure_cost(counter, servers, load);

		if (cost < min_cost)
			min_cost = cost;
	}
	return min_cost;
}

int main(void)
{
	static const int sizes[] = {290, 3000};
	int counter = open_instruction_counter();
	bool ok = true;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		for (int load = 0; load < N_LOADS; load++) {
			char name[64];

			snprintf(name, sizeof(name), "choose_%s_of_%d",
				 load_names[load], sizes[i]);
			ok &= bench_check(
				name,
				min_cost(counter, sizes[i], (enum load)load),
				counter >= 0 ? "instructions" : "ns",
				BENCH_AT_MOST,
				counter >= 0 ? BOUND_INSTRUCTIONS : BOUND_NS);
		}
	}
	return !ok;
}
