// catkinpathd: loads the settings and runs the daemon's modules until SIGTERM.
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "core/core.h"
#include "core/settings.h"
#include "daemon/mods.h"
#include "platform/platform.h"

enum {
	EXIT_USAGE = 2, ///< invalid command line
	EXIT_SETTINGS = 3, ///< invalid settings file
	EXIT_START = 4, ///< trace file, wire or a module failed
	MAX_ERRORS = 8,
};

struct options {
	const char *config;
	bool check;
	int exit_code; ///< exit code, -1: continue
};

static struct core *daemon_core;

static void handle_term(int sig)
{
	core_stop(daemon_core);
}

static void handle_hup(int sig)
{
	core_reload(daemon_core);
}

static void print_help(void **table)
{
	printf("Usage: catkinpathd");
	arg_print_syntax(stdout, table, "\n");
	printf("\nServes callers, trainers and operators of one entry VM.\n\n");
	arg_print_glossary(stdout, table, "  %-18s %s\n");
	printf("\nSIGTERM drains and exits; SIGHUP reloads the settings.\n"
	       "Exit codes: 0 clean, 2 command line, 3 settings, 4 start.\n\n"
	       "Settings (INI; see docs/help/settings.md):\n\n");
	settings_print_help(stdout);
}

static struct options parse_args(int argc, char **argv)
{
	struct arg_file *config =
		arg_file0("c", "config", "FILE", "settings file");
	struct arg_lit *check = arg_lit0(
		NULL, "check", "check the settings file, print all errors");
	struct arg_lit *version = arg_lit0(NULL, "version", "print version");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_end *end = arg_end(MAX_ERRORS);
	void *table[] = {config, check, version, help, end};
	struct options o = {.exit_code = -1};
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		print_help(table);
		o.exit_code = 0;
	} else if (version->count) {
		printf("catkinpathd %s\n", CATKIN_VERSION);
		o.exit_code = 0;
	} else if (errors || !config->count) {
		arg_print_errors(stderr, end, "catkinpathd");
		fprintf(stderr, "catkinpathd: --config FILE is required; "
				"see --help\n");
		o.exit_code = EXIT_USAGE;
	} else {
		o.config = strdup(config->filename[0]);
		o.check = check->count > 0;
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return o;
}

static void handle_signals(void)
{
	struct sigaction term = {.sa_handler = handle_term};
	struct sigaction hup = {.sa_handler = handle_hup};

	sigaction(SIGTERM, &term, NULL);
	sigaction(SIGINT, &term, NULL);
	sigaction(SIGHUP, &hup, NULL);
	signal(SIGPIPE, SIG_IGN);
}

static void ignore_signals(void)
{
	signal(SIGTERM, SIG_IGN);
	signal(SIGINT, SIG_IGN);
	signal(SIGHUP, SIG_IGN);
}

/* Selects modules and wire operations by the `wire` setting. */
static bool select_wire(const char *name, struct core_opts *opts)
{
	opts->mods = daemon_mods;
	if (strcmp(name, "native") == 0)
		return true;
	opts->mods = daemon_site_mods;
	opts->wire = &platform_wire;
	return strcmp(name, platform_wire.name) == 0;
}

static int run(struct settings *s, const char *path)
{
	struct core_opts opts = {
		.settings = s,
		.settings_path = path,
	};
	const char *trace_path = settings_str(s, S_TRACE_FILE);

	log_setup("catkinpathd", settings_str(s, S_NODE_ID), LOG_INFO);
	log_set_level(settings_str(s, S_LOG_LEVEL));
	if (*trace_path && !trace_open(trace_path)) {
		log_event(EV_FATAL, "trace_file=%s", trace_path);
		return EXIT_START;
	}
	if (!select_wire(settings_str(s, S_PLATFORM_WIRE), &opts)) {
		log_event(EV_FATAL, "wire=%s",
			  settings_str(s, S_PLATFORM_WIRE));
		return EXIT_START;
	}
	signal(SIGPIPE, SIG_IGN);
	if (core_new(&opts, &daemon_core) != ERR_OK) {
		trace_close();
		return EXIT_START;
	}
	handle_signals();
	core_run(daemon_core);
	ignore_signals();
	core_free(daemon_core);
	trace_close();
	return 0;
}

int main(int argc, char **argv)
{
	struct options o = parse_args(argc, argv);
	struct settings *s;
	int code;

	if (o.exit_code >= 0)
		return o.exit_code;
	if (settings_load(o.config, stderr, &s) != ERR_OK) {
		free((char *)o.config);
		return EXIT_SETTINGS;
	}
	code = o.check ? 0 : run(s, o.config);
	if (o.check)
		printf("%s: no errors\n", o.config);
	settings_free(s);
	free((char *)o.config);
	return code;
}
