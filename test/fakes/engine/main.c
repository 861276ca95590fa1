// fake_engine: a model engine for tests.
#include <argtable2.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "engine.h"
#include "http.h"
#include "register.h"

static struct engine engine;

static int main_run(const struct engine_opts *opts)
{
	pthread_t reg;

	engine_init(&engine, opts);
	if (!http_start(&engine)) {
		fprintf(stderr, "fake_engine: can't listen on %s\n",
			opts->listen);
		return 1;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (*opts->platform &&
	    pthread_create(&reg, NULL, register_main, &engine) != 0)
		return 1;
	for (;;) {
		engine_tick(&engine, clock_now_ms());
		usleep(ENGINE_TICK_MS * 1000);
	}
}

static int main_int(const struct arg_int *a, int def)
{
	return a->count ? a->ival[0] : def;
}

int main(int argc, char **argv)
{
	struct arg_str *listen = arg_str1(NULL, "listen", "IP:PORT", "address");
	struct arg_str *id = arg_str1(NULL, "id", "ID", "server id");
	struct arg_str *domain =
		arg_str1(NULL, "domain", "D", "failure domain");
	struct arg_str *platform =
		arg_str0(NULL, "platform", "URL", "platform to register at");
	struct arg_int *slots =
		arg_int0(NULL, "slots", "N", "concurrent streams when warm");
	struct arg_int *token_us =
		arg_int0(NULL, "token-us", "N", "microseconds per token");
	struct arg_int *cold =
		arg_int0(NULL, "cold", "0|1", "start with one slot");
	struct arg_int *lag =
		arg_int0(NULL, "load-lag-ms", "N", "age of load reports in ms");
	struct arg_int *epoch = arg_int0(NULL, "checks-epoch", "0|1",
					 "reject orders of an older epoch");
	struct arg_lit *cheap = arg_lit0(NULL, "cheap", "preemptible VM");
	struct arg_lit *spare =
		arg_lit0(NULL, "spare", "register as a spare VM");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
	struct arg_end *end = arg_end(8);
	void *table[] = {listen, id,	domain, platform, slots, token_us, cold,
			 lag,	 epoch, cheap,	spare,	  seed,	 end};

	if (arg_parse(argc, argv, table) != 0) {
		arg_print_errors(stderr, end, "fake_engine");
		arg_print_glossary(stderr, table, "  %-22s %s\n");
		return 2;
	}
	return main_run(&(struct engine_opts){
		.listen = listen->sval[0],
		.id = id->sval[0],
		.domain = domain->sval[0],
		.platform = platform->count ? platform->sval[0] : "",
		.slots = main_int(slots, 16),
		.token_us = main_int(token_us, 500),
		.cold = main_int(cold, 1) != 0,
		.load_lag_ms = main_int(lag, 200),
		.checks_epoch = main_int(epoch, 1) != 0,
		.cheap = cheap->count > 0,
		.spare = spare->count > 0,
		.seed = (uint64_t)main_int(seed, 1),
	});
}
