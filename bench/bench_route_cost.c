// Instructions of a routing choice and of an admission, counted by callgrind: the
// program runs itself under valgrind.
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "admit/admit.h"
#include "base/rng.h"
#include "route/route.h"
#include "support/bench.h"

enum {
	ROUNDS = 1000,
	QUEUED = 10000,
	TEAMS = 8,
	FEW_SERVERS = 29,
	MANY_SERVERS = 290,
	INSTRUCTIONS_MAX = 4000,
};

static const double GROWTH_MAX = 1.3;

static void route_rounds(int servers)
{
	struct route *r = route_new();
	struct rng rng = {1};

	for (int i = 0; i < servers; i++) {
		struct route_load l = {.busy = i % 7, .as_of_ms = 1000};

		route_add_server(r, i, (uint64_t)i + 1);
		route_set_slots(r, i, 1 + i % 5, i % 3, false);
		route_load_report(r, i, &l);
	}
	for (int i = 0; i < ROUNDS; i++) {
		struct route_request ask = {
			.prefix = 1 + rng_below(&rng, 500),
			.avoid = ROUTE_NONE,
			.preemptible = true,
		};
		int server = route_choose(r, &rng, 2000, &ask);

		route_prefix_cached(r, ask.prefix, server, 2000);
	}
	route_free(r);
}

static struct admit_request request(struct rng *rng)
{
	return (struct admit_request){
		.level = ADMIT_FAIR_SHARE,
		.team = 1 + rng_below(rng, TEAMS),
		.weight = 100,
		.cost = 1 + rng_below(rng, 500),
		.deadline_ms = (int64_t)rng_below(rng, 100000),
	};
}

/* Pushes onto 10,000 queued requests, or pops from them. The first pop is the worst
 * case of a heap with deferred work. */
static void admit_rounds(bool pops, int rounds)
{
	struct admit *a = admit_new(QUEUED + ROUNDS + 1);
	struct admit_bounds b = {QUEUED + ROUNDS, QUEUED + ROUNDS};
	struct rng rng = {1};
	uint32_t user;

	for (int i = 0; i < QUEUED; i++) {
		struct admit_request q = request(&rng);

		admit_push(a, 1, &q, &b);
	}
	fflush(stdout);
	for (int i = 0; i < rounds; i++) {
		struct admit_request q = request(&rng);

		if (pops)
			admit_pop(a, &user);
		else
			admit_push(a, 1, &q, &b);
	}
	admit_free(a);
}

static int run_measured(int argc, char **argv)
{
	int n = argc > 2 ? (int)strtol(argv[2], NULL, 10) : 0;

	if (strcmp(argv[1], "route") == 0)
		route_rounds(n);
	else
		admit_rounds(strcmp(argv[1], "pop") == 0, n);
	return 0;
}

/* Instructions inside one function, as collected by callgrind; -1 on failure. */
static double count_instructions(const char *fn, const char *args)
{
	char self[256];
	char cmd[768];
	char line[256];
	double n = -1;
	ssize_t len = readlink("/proc/self/exe", self, sizeof(self) - 1);
	FILE *p;

	if (len <= 0)
		return n;
	self[len] = '\0';
	snprintf(cmd, sizeof(cmd),
		 "valgrind --tool=callgrind --callgrind-out-file=/dev/null "
		 "--toggle-collect=%s %s %s 2>&1",
		 fn, self, args);
	p = popen(cmd, "r"); // NOLINT(bugprone-command-processor)
	while (p && fgets(line, sizeof(line), p)) {
		const char *match = strstr(line, "Collected : ");

		if (match)
			n = strtod(match + strlen("Collected : "), NULL);
	}
	if (p)
		pclose(p);
	return n;
}

static bool check(const char *name, double n)
{
	return n > 0 && bench_check(name, n, "instructions", BENCH_AT_MOST,
				    INSTRUCTIONS_MAX);
}

int main(int argc, char **argv)
{
	double few, many, base;
	bool ok = true;

	if (argc > 1)
		return run_measured(argc, argv);
	few = count_instructions("route_choose", "route 29") / ROUNDS;
	many = count_instructions("route_choose", "route 290") / ROUNDS;
	ok &= check("route_choice_29_servers", few);
	ok &= check("route_choice_290_servers", many);
	ok &= bench_check("route_choice_growth_29_to_290", many / few, "times",
			  BENCH_AT_MOST, GROWTH_MAX);
	base = count_instructions("admit_push", "push 0");
	ok &= check("admit_push_10000_queued",
		    (count_instructions("admit_push", "push 1000") - base) /
			    ROUNDS);
	ok &= check("admit_pop_10000_queued",
		    count_instructions("admit_pop", "pop 1000") / ROUNDS);
	ok &= check("admit_first_pop_10000_queued",
		    count_instructions("admit_pop", "pop 1"));
	printf("# nothing is allocated: admit_new() and route_new() take all "
	       "memory; %d and %d servers, %d queued\n",
	       FEW_SERVERS, MANY_SERVERS, QUEUED);
	return !ok;
}
