// A real daemon on loopback before fake servers: latency added, requests and tokens
// per second and core, memory of open streams, idle cost.
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/bench.h"
#include "support/ctl.h"
#include "support/sys.h"

enum {
	NODES = 3,
	WAIT_MAX_MS = 30000,
	PAIRS = 400, ///< of one direct call and one through the daemon
	CALLERS = 8,
	CALLS_PER_CALLER = 250,
	STREAMS = 16, ///< concurrent streams of the token rate test
	TOKENS_PER_STREAM = 3000,
	OPEN_STREAMS = 200, ///< held open in the memory test
	OPEN_STREAM_TOKENS = 100000,
	SETTLE_MS = 3000,
	IDLE_MS = 8000,
	STREAM_TAIL = 256, ///< bytes
	STREAM_SEED = 2432, ///< for a stream of 15,360 tokens
};

/* Required peak load of 370 nodes: 8,100 requests and 1.7 million tokens a second.
 * One node's part may take at most a tenth of a core. */
static const double NODE_REQUESTS_PER_S = 8100.0 / 370;
static const double NODE_TOKENS_PER_S = 1700000.0 / 370;
static const double CORE_SHARE = 0.1;
/* Required limits of idle cost: % of a core, MB. */
static const double CPU_MAX_PERCENT = 2.1;
static const double RSS_MAX_MB = 128;
/* Limit of the added latency: one way between failure domains, ms. */
static const double HOP_MAX_MS = 1.5;

static struct sys sys;
static bool ok = true;

static size_t discard_body(char *data, size_t size, size_t n, void *ctx)
{
	*(size_t *)ctx += size * n;
	return size * n;
}

/// POST, reusing the connection of the handle.
///
/// @return HTTP status
static long post(CURL *easy, const char *url, const char *body,
		 size_t *received)
{
	long status = 0;

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, received);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	return status;
}

static void join_url(char *url, size_t len, const char *base, const char *path)
{
	snprintf(url, len, "%s%s", base, path);
}

/// CPU time of the first node, ms.
static double node_cpu_ms(void)
{
	unsigned long user = 0, system = 0;
	char path[64], line[1024];
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/stat",
		 (int)sys.nodes[0].proc.pid);
	f = fopen(path, "r");
	if (f && fgets(line, sizeof(line), f))
		sscanf(strrchr(line, ')') + 2,
		       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &system);
	if (f)
		fclose(f);
	return (double)(user + system) * 1000.0 / (double)sysconf(_SC_CLK_TCK);
}

/// Resident memory of the first node, MB.
static double node_rss_mb(void)
{
	char path[64], line[256];
	double kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status",
		 (int)sys.nodes[0].proc.pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f)) {
		if (sscanf(line, "VmRSS: %lf kB", &kb) == 1)
			break;
	}
	if (f)
		fclose(f);
	return kb / 1024;
}

static int compare_double(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double timed_post(CURL *easy, const char *url, const char *body)
{
	int64_t start_us = clock_now_us();
	size_t received = 0;

	if (post(easy, url, body, &received) != 200)
		ok = false;
	return (double)(clock_now_us() - start_us) / 1000;
}

/// Alternates direct and relayed calls, so that both see the same machine load.
static void bench_added(void)
{
	static double direct[PAIRS], relayed[PAIRS];
	char direct_url[128], relayed_url[128];
	CURL *a = curl_easy_init();
	CURL *b = curl_easy_init();
	double added_ms;

	for (int i = 0; i < sys.n_servers; i++) {
		if (!sys.servers[i].engine)
			join_url(direct_url, sizeof(direct_url),
				 sys.servers[i].url, "/book");
	}
	join_url(relayed_url, sizeof(relayed_url), sys.nodes[0].url,
		 "/v1/call/desk/book");
	for (int i = 0; i < PAIRS; i++) {
		direct[i] = timed_post(a, direct_url, "{\"call\":\"a\"}");
		relayed[i] = timed_post(b, relayed_url, "{\"call\":\"b\"}");
	}
	curl_easy_cleanup(a);
	curl_easy_cleanup(b);
	qsort(direct, PAIRS, sizeof(double), compare_double);
	qsort(relayed, PAIRS, sizeof(double), compare_double);
	added_ms = relayed[PAIRS / 2] - direct[PAIRS / 2];
	ok &= bench_check("daemon_added_p50", added_ms, "ms", BENCH_AT_MOST,
			  HOP_MAX_MS);
	added_ms = relayed[PAIRS * 99 / 100] - direct[PAIRS * 99 / 100];
	printf("info daemon added_p99 %.3f ms, direct p50 %.3f p99 %.3f ms\n",
	       added_ms, direct[PAIRS / 2], direct[PAIRS * 99 / 100]);
}

static void *caller(void *arg)
{
	CURL *easy = curl_easy_init();
	intptr_t succeeded = 0;
	char url[128];

	join_url(url, sizeof(url), sys.nodes[0].url, "/v1/call/desk/book");
	for (int i = 0; i < CALLS_PER_CALLER; i++) {
		size_t received = 0;

		succeeded +=
			post(easy, url, "{\"call\":\"c\"}", &received) == 200;
	}
	curl_easy_cleanup(easy);
	return (void *)succeeded;
}

static void bench_requests(void)
{
	pthread_t t[CALLERS];
	double cpu_ms = node_cpu_ms();
	double bound = NODE_REQUESTS_PER_S / CORE_SHARE;
	double rate;
	intptr_t succeeded = 0;

	for (int i = 0; i < CALLERS; i++)
		pthread_create(&t[i], NULL, caller, NULL);
	for (int i = 0; i < CALLERS; i++) {
		void *n;

		pthread_join(t[i], &n);
		succeeded += (intptr_t)n;
	}
	cpu_ms = node_cpu_ms() - cpu_ms;
	rate = (double)succeeded * 1000 / (cpu_ms > 1 ? cpu_ms : 1);
	ok &= succeeded == (intptr_t)CALLERS * CALLS_PER_CALLER;
	ok &= bench_check("daemon_requests_per_core", rate, "/s",
			  BENCH_AT_LEAST, bound);
}

struct stream {
	CURL *easy;
	size_t received; ///< bytes
	char tail[STREAM_TAIL]; ///< last bytes, with the token count
	size_t tail_len;
};

struct streams {
	CURLM *multi;
	struct stream s[OPEN_STREAMS];
	char body[128];
	char url[128];
	int n;
};

static size_t store_tail(char *data, size_t size, size_t n, void *ctx)
{
	struct stream *s = ctx;
	size_t len = size * n;
	size_t n_new = len < STREAM_TAIL / 2 ? len : STREAM_TAIL / 2;
	size_t n_old = s->tail_len < STREAM_TAIL / 2 - 1 ? s->tail_len
							 : STREAM_TAIL / 2 - 1;

	memmove(s->tail, s->tail + s->tail_len - n_old, n_old);
	memcpy(s->tail + n_old, data + len - n_new, n_new);
	s->tail_len = n_old + n_new;
	s->tail[s->tail_len] = '\0';
	s->received += len;
	return len;
}

/// Token count in the final line of a stream; 0 if the stream is incomplete.
static long stream_tokens(const struct stream *s)
{
	const char *end = strstr(s->tail, "\"end\"");
	const char *n = end ? strstr(end, "\"n\":") : NULL;

	return n ? strtol(n + 4, NULL, 10) : 0;
}

static void streams_open(struct streams *s, int n, int tokens)
{
	memset(s, 0, sizeof(*s));
	s->n = n;
	s->multi = curl_multi_init();
	join_url(s->url, sizeof(s->url), sys.nodes[0].url, "/v1/generate/talk");
	snprintf(s->body, sizeof(s->body),
		 "{\"prompt\":[1,2,3],\"max_tokens\":%d,\"seed\":%d}", tokens,
		 STREAM_SEED);
	for (int i = 0; i < n; i++) {
		CURL *easy = curl_easy_init();

		curl_easy_setopt(easy, CURLOPT_URL, s->url);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, s->body);
		curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, store_tail);
		curl_easy_setopt(easy, CURLOPT_WRITEDATA, &s->s[i]);
		curl_multi_add_handle(s->multi, easy);
		s->s[i].easy = easy;
	}
}

/// Run the streams.
///
/// @return streams still open
static int streams_run(struct streams *s, int ms)
{
	int64_t end = clock_now_ms() + ms;
	int running = s->n;

	while (running && clock_now_ms() < end) {
		curl_multi_perform(s->multi, &running);
		curl_multi_poll(s->multi, NULL, 0, 20, NULL);
	}
	return running;
}

/// @return streams with status 200 and a body
static int streams_stop(struct streams *s)
{
	int succeeded = 0;

	for (int i = 0; i < s->n; i++) {
		long status = 0;

		curl_easy_getinfo(s->s[i].easy, CURLINFO_RESPONSE_CODE,
				  &status);
		succeeded += status == 200 && s->s[i].received > 0;
		curl_multi_remove_handle(s->multi, s->s[i].easy);
		curl_easy_cleanup(s->s[i].easy);
	}
	curl_multi_cleanup(s->multi);
	return succeeded;
}

static void bench_tokens(void)
{
	struct streams s;
	double cpu_ms = node_cpu_ms();
	double bound = NODE_TOKENS_PER_S / CORE_SHARE;
	double rate;
	long tokens = 0;
	int n_complete = 0;

	streams_open(&s, STREAMS, TOKENS_PER_STREAM);
	streams_run(&s, WAIT_MAX_MS);
	cpu_ms = node_cpu_ms() - cpu_ms;
	for (int i = 0; i < STREAMS; i++) {
		tokens += stream_tokens(&s.s[i]);
		n_complete += stream_tokens(&s.s[i]) > 0;
	}
	streams_stop(&s);
	rate = (double)tokens * 1000 / (cpu_ms > 1 ? cpu_ms : 1);
	printf("info daemon %ld tokens in %d of %d streams, %.0f ms\n", tokens,
	       n_complete, STREAMS, cpu_ms);
	ok &= n_complete == STREAMS;
	ok &= bench_check("daemon_tokens_per_core", rate, "/s", BENCH_AT_LEAST,
			  bound);
}

static void bench_memory(void)
{
	struct streams s;
	double mb = node_rss_mb();
	int open;

	streams_open(&s, OPEN_STREAMS, OPEN_STREAM_TOKENS);
	open = streams_run(&s, SETTLE_MS);
	mb = (node_rss_mb() - mb) * 1000 / OPEN_STREAMS;
	streams_stop(&s);
	printf("info daemon %d of %d streams were open\n", open, OPEN_STREAMS);
	ok &= open == OPEN_STREAMS;
	ok &= bench_check("daemon_memory_1000_streams", mb, "MB", BENCH_AT_MOST,
			  RSS_MAX_MB);
}

static void bench_idle(void)
{
	double cpu, rss_mb;

	sleep(SETTLE_MS / 1000);
	cpu = node_cpu_ms();
	sleep(IDLE_MS / 1000);
	cpu = 100.0 * (node_cpu_ms() - cpu) / IDLE_MS;
	rss_mb = node_rss_mb();
	ok &= bench_check("daemon_idle_cpu", cpu, "%core", BENCH_AT_MOST,
			  CPU_MAX_PERCENT);
	ok &= bench_check("daemon_idle_rss", rss_mb, "MB", BENCH_AT_MOST,
			  RSS_MAX_MB);
}

static bool ctl_succeeds(const char *const *words)
{
	char out[4096];

	return ctl_run(&sys, words, out, sizeof(out)) == 0;
}

static bool is_ready(void *ctx)
{
	CURL *easy = curl_easy_init();
	char url[128];
	size_t received = 0;
	bool succeeded;

	join_url(url, sizeof(url), sys.nodes[0].url, "/v1/call/desk/book");
	succeeded = post(easy, url, "{\"call\":\"up\"}", &received) == 200;
	join_url(url, sizeof(url), sys.nodes[0].url, "/v1/generate/talk");
	succeeded = succeeded &&
		    post(easy, url, "{\"prompt\":[1],\"max_tokens\":1}",
			 &received) == 200;
	curl_easy_cleanup(easy);
	return succeeded;
}

static bool start_system(void)
{
	static const char *const engine[] = {
		"--cold", "0", "--slots", "400", "--token-us", "1000", NULL};
	struct sys_opts opts = {
		.domains = 1,
		.nodes_per_domain = NODES,
		.engines_per_domain = 1,
		.services_per_domain = 1,
		.engine_args = engine,
	};
	static const char *const desk[] = {
		"route", "add", "desk", "--service", "desk", "--open", NULL};
	static const char *const talk[] = {"route",    "add",	 "talk",
					   "--engine", "--open", NULL};
	static const char *const slot_start[] = {"set", "slot.start", "300",
						 NULL};
	static const char *const slot_max[] = {"set", "slot.max", "1000", NULL};

	return sys_start(&sys, &opts) && ctl_succeeds(desk) &&
	       ctl_succeeds(talk) && ctl_succeeds(slot_max) &&
	       ctl_succeeds(slot_start) &&
	       wait_until(is_ready, NULL, WAIT_MAX_MS);
}

int main(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ok = start_system();
	if (ok) {
		bench_idle();
		bench_added();
		bench_requests();
		bench_tokens();
		bench_memory();
	} else {
		printf("bench daemon_start 0 ok bound 1 fail\n");
	}
	sys_stop(&sys);
	curl_global_cleanup();
	return ok ? 0 : 1;
}
