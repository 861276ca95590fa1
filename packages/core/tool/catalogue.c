// Prints the pages of docs/ that are generated from the .def tables.
#include <stdio.h>
#include <string.h>
#include <syslog.h>

#include "base/err.h"
#include "core/settings.h"

static const char *level_name(int level)
{
	static const char *const names[] = {"emerg", "alert",	"crit",
					    "err",   "warning", "notice",
					    "info",  "debug"};

	return names[level];
}

static void print_events(void)
{
	printf("# Log events\n\n"
	       "Generated from `packages/base/include/base/event.def` by "
	       "`make docs`. Each line on\nstandard error is "
	       "`<priority>time node program[pid]: ENUMBER name key=value "
	       "...`.\n\n"
	       "| number | name | level | meaning |\n|---|---|---|---|\n");
#define EVENT(sym, num, level, name, doc) \
	printf("| E%04d | %s | %s | %s |\n", num, name, level_name(level), doc);
#include "base/event.def"
#undef EVENT
}

static void print_errors(void)
{
	printf("# Errors\n\n"
	       "Generated from `packages/base/include/base/err.def` by `make "
	       "docs`. `run` says\nwhether a request with that answer ran, "
	       "unless the answer itself says otherwise.\n\n"
	       "| number | code | HTTP | run | meaning |\n"
	       "|---|---|---|---|---|\n");
#define ERR(sym, num, code, http, run, doc)                     \
	printf("| %d | %s | %d | %s | %s |\n", num, code, http, \
	       run_state_name(run), doc);
#include "base/err.def"
#undef ERR
}

static void print_metrics(void)
{
	printf("# Metrics\n\n"
	       "Generated from `metric.def` and `histogram.def` of "
	       "`packages/base/include/base` by\n`make docs`. Served at `GET "
	       "/metrics` of the admin listener.\n\n"
	       "| name | kind | meaning |\n|---|---|---|\n");
#define METRIC(sym, kind, name, help) \
	printf("| %s | %s | %s |\n", name, #kind, help);
#include "base/metric.def"
#undef METRIC
#define HISTOGRAM(sym, name, help) \
	printf("| %s | HISTOGRAM | %s |\n", name, help);
#include "base/histogram.def"
#undef HISTOGRAM
}

static void print_settings(void)
{
	printf("# Settings\n\n"
	       "Generated from `packages/core/include/core/setting.def` by `make "
	       "docs`; `catkinpathd\n--help` prints the same. `catkinpathd "
	       "--check --config FILE` reports all errors\nof a "
	       "file.\n\n```\n");
	settings_print_help(stdout);
	printf("```\n");
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*print)(void);
	} pages[] = {
		{"events", print_events},
		{"errors", print_errors},
		{"metrics", print_metrics},
		{"settings", print_settings},
	};

	for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
		if (argc == 2 && strcmp(argv[1], pages[i].name) == 0) {
			pages[i].print();
			return 0;
		}
	}
	fprintf(stderr, "usage: catalogue events|errors|metrics|settings\n");
	return 2;
}
