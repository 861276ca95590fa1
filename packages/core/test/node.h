// A core on its own thread with one test module.
#pragma once

#include <pthread.h>

#include "core/core.h"
#include "core/settings.h"

struct node {
	char ip[16];
	char url[64]; ///< of the public listener
	char admin[64]; ///< of the admin listener
	char peer[64]; ///< "IP:port"
	char path[256]; ///< settings file
	struct settings *settings;
	const struct core_mod_ops *mods[MOD_COUNT];
	struct core *core;
	pthread_t thread;
};

/// Start a core.
///
/// @param n      number of its loopback address
/// @param mod    module to run; the others do nothing
/// @param extra  lines appended to the settings file, may be NULL
/// @return false on error
bool node_start(struct node *n, int ip, const char *id,
		const struct core_mod_ops *mod, const char *extra);

/// Drain, join the thread, free.
void node_stop(struct node *n);
