// Runs catkinctl against a local system.
#include "support/ctl.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

enum {
	CTL_MS = 20000,
	CTL_ARGS = 24,
};

int ctl_run(struct sys *s, const char *const *words, char *out, size_t len)
{
	static int runs;
	const char *argv[CTL_ARGS] = {"catkinctl", "--node", s->nodes[0].admin,
				      "--json"};
	char name[32];
	struct proc p;
	int status = -1;
	FILE *f;
	size_t n;

	for (int i = 0; words[i] && i < CTL_ARGS - 5; i++)
		argv[4 + i] = words[i];
	snprintf(name, sizeof(name), "ctl%d", runs++);
	if (!proc_start(&p, name, argv))
		return -1;
	if (!proc_wait(&p, CTL_MS, &status)) {
		proc_kill(&p);
		return -1;
	}
	f = fopen(p.log, "r");
	n = f ? fread(out, 1, len - 1, f) : 0;
	out[n] = '\0';
	if (f)
		fclose(f);
	remove(p.log);
	return WEXITSTATUS(status);
}

bool ctl_grant(struct sys *s, const char *team, char *key, size_t len)
{
	const char *const words[] = {"key", "grant", team, NULL};
	char out[4096];
	const char *json;
	json_t *j;
	const char *text;

	if (ctl_run(s, words, out, sizeof(out)) != 0)
		return false;
	json = strchr(out, '{');
	j = json ? json_loads(json, 0, NULL) : NULL;
	text = json_string_value(json_object_get(j, "key"));
	snprintf(key, len, "%s", text ? text : "");
	json_decref(j);
	return *key != '\0';
}
