// soak SEED [NODES [SECONDS]]: one soak run; exits with 1 if a guarantee was
// violated, with 2 if it could not start.
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "soak.h"

enum {
	DEFAULT_NODES = 24, ///< processes
	DEFAULT_SECONDS = 20, ///< of fault injection
	RECOVER_MS = 20000, ///< recovery time of the users' deployments,
		///< and time for the reads of the checks
	SERVER_LINK_PORT = 8300,
	STORE_LINK_PORT = 8400,
	CANDIDATE_ONE_IN = 4, ///< one node in so many is a candidate leader
	MS_PER_S = 1000,
};

/// Enables hedged requests.
static const char SOAK_SETTINGS[] = "[front]\nhedge_percent = 10\n";

static struct soak soak;

void soak_sleep(int ms)
{
	struct timespec ts = {ms / MS_PER_S, (ms % MS_PER_S) * 1000000L};

	nanosleep(&ts, NULL);
}

static void print_line(const struct soak *k, const char *prefix,
		       const char *fmt, va_list ap)
{
	flockfile(stdout);
	printf("%7.3f %s", (double)(clock_now_ms() - k->start_ms) / MS_PER_S,
	       prefix);
	vprintf(fmt, ap);
	putchar('\n');
	fflush(stdout);
	funlockfile(stdout);
}

void soak_log(const struct soak *k, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	print_line(k, "", fmt, ap);
	va_end(ap);
}

void soak_violation(struct soak *k, const char *fmt, ...)
{
	va_list ap;

	__atomic_add_fetch(&k->n_violations, 1, __ATOMIC_RELAXED);
	va_start(ap, fmt);
	print_line(k, "BROKEN: ", fmt, ap);
	va_end(ap);
}

/* Publish each server with the address of its link. */
static bool start_server_links(struct soak *k)
{
	for (int i = 0; i < HOSTED_SERVERS; i++) {
		struct hosted_server *s = &k->h.servers[i];
		int port = SERVER_LINK_PORT + i;

		k->server_links[i] = link_start(k->h.ip, port, k->h.ip,
						HOSTED_SERVER_PORT + i);
		if (!k->server_links[i])
			return false;
		snprintf(s->addr, sizeof(s->addr), "%s:%d", k->h.ip, port);
		hosted_publish(&k->h, s);
	}
	return true;
}

static bool start_store_links(struct soak *k)
{
	for (int i = 0; i < k->ns.n; i++) {
		int port = STORE_LINK_PORT + i;

		k->store_links[i] =
			link_start(k->h.ip, port, k->h.ip, HOSTED_STORE_PORT);
		if (!k->store_links[i])
			return false;
		k->ns.list[i].store_port = port;
	}
	return true;
}

static bool system_start(struct soak *k)
{
	int candidates = k->opts.nodes / CANDIDATE_ONE_IN;

	if (!hosted_start(&k->h) || !start_server_links(k))
		return false;
	/* With a second model, nodes divide the engines among models. */
	hosted_put(&k->h, "op/version/n",
		   json_pack("{s:s,s:i}", "model", "n", "version", 1));
	nodes_init(&k->ns, &k->h, k->opts.nodes,
		   k->opts.nodes - (candidates > 2 ? candidates : 2));
	k->ns.settings = SOAK_SETTINGS;
	/* Homes hold reads for longer than a process takes to start again. */
	k->ns.wait_ms = SOAK_READ_WAIT_MS;
	return start_store_links(k) && nodes_start_all(&k->ns);
}

static void system_stop(struct soak *k)
{
	nodes_stop(&k->ns);
	for (int i = 0; i < k->ns.n; i++)
		link_stop(k->store_links[i]);
	for (int i = 0; i < HOSTED_SERVERS; i++)
		link_stop(k->server_links[i]);
	hosted_stop(&k->h);
	for (int i = 0; i < k->n_batches; i++) {
		for (int p = 0; p < SOAK_BATCH_ITEMS; p++)
			json_decref(k->batches[i].seen[p]);
	}
}

static int soak_run(struct soak *k)
{
	pthread_t threads[SOAK_BOOKING_THREADS + SOAK_TRAINER_THREADS];
	int n, accepted = 0;

	if (!callers_start(k, threads, &n))
		return 2;
	faults_run(k);
	soak_log(k, "all faults ended");
	k->stop = true;
	for (int i = 0; i < n; i++)
		pthread_join(threads[i], NULL);
	checks_run(k);
	for (int i = 0; i < k->n_batches; i++)
		accepted += k->batches[i].accepted;
	printf("seed=%llu nodes=%d bookings=%d batches=%d accepted=%d runs=%d "
	       "late=%d broken=%d\n",
	       (unsigned long long)k->opts.seed, k->opts.nodes, k->n_calls,
	       k->n_batches, accepted, k->h.n_runs, k->n_late_runs,
	       k->n_violations);
	return k->n_violations > 0;
}

int main(int argc, char **argv)
{
	struct soak *k = &soak;
	int rc = 2;

	signal(SIGPIPE, SIG_IGN);
	k->opts = (struct soak_opts){
		.seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1,
		.nodes = argc > 2 ? atoi(argv[2]) : DEFAULT_NODES,
		.faults_ms =
			(argc > 3 ? atoi(argv[3]) : DEFAULT_SECONDS) * MS_PER_S,
		.recover_ms = RECOVER_MS,
	};
	if (k->opts.nodes < CANDIDATE_ONE_IN || k->opts.nodes > NODES_MAX) {
		fprintf(stderr, "nodes: %d to %d\n", CANDIDATE_ONE_IN,
			NODES_MAX);
		return rc;
	}
	pthread_mutex_init(&k->lock, NULL);
	k->start_ms = clock_now_ms();
	k->version = 1;
	if (system_start(k))
		rc = soak_run(k);
	else
		fprintf(stderr, "could not start\n");
	system_stop(k);
	return rc;
}
