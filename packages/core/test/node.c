// Starts and stops cores for tests.
#include "node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support/addr.h"

static enum err nop_start(struct core *c, void **state)
{
	return ERR_OK;
}

static const struct core_mod_ops nop = {.name = "nop", .start = nop_start};

static void *node_run(void *arg)
{
	struct node *n = arg;

	core_run(n->core);
	return NULL;
}

static bool node_file(struct node *n, const char *id, const char *extra)
{
	const char *dir = getenv("TMPDIR");
	FILE *f;

	snprintf(n->path, sizeof(n->path), "%s/catkin-core-%d-%s.ini",
		 dir ? dir : "/tmp", (int)getpid(), id);
	f = fopen(n->path, "w");
	if (!f)
		return false;
	fprintf(f,
		"[platform]\nurl = http://%s:7000\n"
		"[peer]\nlisten = %s\n"
		"[http]\nlisten = %s:8000\nadmin = %s:8001\n"
		"[node]\nid = %s\ndomain = d1\ndrain_notice = 0ms\n%s",
		n->ip, n->peer, n->ip, n->ip, id, extra ? extra : "");
	return fclose(f) == 0;
}

bool node_start(struct node *n, int ip, const char *id,
		const struct core_mod_ops *mod, const char *extra)
{
	struct core_opts opts;

	addr_ip(ip, n->ip);
	snprintf(n->url, sizeof(n->url), "http://%s:8000", n->ip);
	snprintf(n->admin, sizeof(n->admin), "http://%s:8001", n->ip);
	snprintf(n->peer, sizeof(n->peer), "%s:8002", n->ip);
	if (!node_file(n, id, extra) ||
	    settings_load(n->path, stderr, &n->settings) != ERR_OK)
		return false;
	for (int i = 0; i < MOD_COUNT; i++)
		n->mods[i] = i == 0 ? mod : &nop;
	opts = (struct core_opts){
		.settings = n->settings,
		.settings_path = n->path,
		.mods = n->mods,
	};
	if (core_new(&opts, &n->core) != ERR_OK)
		return false;
	return pthread_create(&n->thread, NULL, node_run, n) == 0;
}

void node_stop(struct node *n)
{
	core_stop(n->core);
	pthread_join(n->thread, NULL);
	core_free(n->core);
	settings_free(n->settings);
	unlink(n->path);
}
