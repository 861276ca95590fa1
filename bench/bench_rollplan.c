// CPU cost of choosing the next load order, by the number of servers of the service.
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "rollplan/rollplan.h"
#include "support/bench.h"

enum {
	DOMAINS = 4,
	MODELS = 3,
	ORDERS = 20,
	REPEATS = 3,
	/// The leader checks every 20 ms with 0.3 of a core: a tenth of those 6 ms.
	ORDER_BOUND_US = 600,
};

static struct site_servers *servers_new(int n)
{
	struct site_servers *t = site_servers_new();

	for (int i = 0; i < n; i++) {
		struct site_server_entry e = {.service = "engines",
					      .slots = 8,
					      .n_models = MODELS,
					      .started_ms = 1};

		snprintf(e.id, sizeof(e.id), "engine-%05d", i);
		snprintf(e.domain, sizeof(e.domain), "d%d", i % DOMAINS);
		for (int m = 0; m < MODELS; m++) {
			snprintf(e.models[m].name, SITE_NAME_SIZE, "m%d", m);
			e.models[m].version = 1;
		}
		if (site_servers_put(t, 1, 1, &e) != ERR_OK)
			abort();
	}
	return t;
}

static double thread_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Each model just got its first target version: no server has an owner yet. */
static double order_cost_us(int servers)
{
	struct site_servers *t = servers_new(servers);
	const struct rollplan_opts opts = {.max_loads = ORDERS,
					   .load_max_ms = 1000,
					   .order_timeout_ms = 4000};
	struct rollplan_order o;
	struct rollplan p;
	double start_us;
	double cost_us;

	rollplan_init(&p, &opts);
	for (int m = 0; m < MODELS; m++) {
		char name[SITE_NAME_SIZE];

		snprintf(name, sizeof(name), "m%d", m);
		rollplan_set_target(&p, name, 2);
	}
	start_us = thread_us();
	for (int i = 0; i < ORDERS; i++) {
		if (!rollplan_next_order(&p, t, "engines", 1000, &o))
			abort();
	}
	cost_us = (thread_us() - start_us) / ORDERS;
	site_servers_free(t);
	return cost_us;
}

int main(void)
{
	static const int sizes[] = {100, 300, 1000};
	bool ok = true;

	for (size_t i = 0; i < sizeof(sizes) / sizeof(*sizes); i++) {
		double min_us = 0;
		char name[64];

		for (int k = 0; k < REPEATS; k++) {
			double cost_us = order_cost_us(sizes[i]);

			min_us = !k || cost_us < min_us ? cost_us : min_us;
		}
		snprintf(name, sizeof(name), "rollplan_order_of_%d", sizes[i]);
		ok &= bench_check(name, min_us, "us", BENCH_AT_MOST,
				  ORDER_BOUND_US);
	}
	return !ok;
}
