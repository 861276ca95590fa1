// order_holder: holds a duty like a daemon and sends orders continuously.
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "core/core.h"
#include "core/settings.h"
#include "daemon/mods.h"
#include "orders.h"

static struct core *running;

static void on_term(int sig)
{
	core_stop(running);
}

static const struct core_mod_ops *mode_ops(const char *mode)
{
	if (strcmp(mode, "naive") == 0)
		return &orders_naive_ops;
	if (strcmp(mode, "report") == 0)
		return &orders_report_ops;
	return &orders_gate_ops;
}

int main(int argc, char **argv)
{
	const struct sigaction term = {.sa_handler = on_term};
	const struct core_mod_ops *mods[MOD_COUNT];
	struct core_opts opts = {.mods = mods};
	int ret = 1;

	if (argc != 3 || settings_load(argv[1], stderr, &opts.settings)) {
		fprintf(stderr, "usage: order_holder FILE gate|report|naive\n");
		return 2;
	}
	for (int i = 0; i < MOD_COUNT; i++)
		mods[i] = &orders_none_ops;
	mods[MOD_PLATFORM] = &platform_mod_ops;
	mods[MOD_MEMBER] = &member_mod_ops;
	mods[MOD_FLEET] = &fleet_mod_ops;
	mods[MOD_DUTY] = &duty_mod_ops;
	mods[MOD_USAGE] = mode_ops(argv[2]);
	log_setup("order_holder", settings_str(opts.settings, S_NODE_ID),
		  LOG_INFO);
	signal(SIGPIPE, SIG_IGN);
	if (core_new(&opts, &running) == ERR_OK) {
		sigaction(SIGTERM, &term, NULL);
		ret = core_run(running) == ERR_OK ? 0 : 1;
		core_free(running);
	}
	settings_free(opts.settings);
	return ret;
}
