// Starts catkinctl and reads what it printed.
#include "support/ctl.h"

#include <jansson.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "support/proc.h"
#include "support/sys.h"

enum {
	CTL_TIMEOUT_MS = 30000,
	CTL_ARGV_MAX = 20,
	CTL_OUT_MAX = 4096, ///< bytes
};

static void ctl_read_output(const char *path, char *out, size_t len)
{
	FILE *f = fopen(path, "r");
	size_t n = f ? fread(out, 1, len - 1, f) : 0;

	out[n] = '\0';
	if (f)
		fclose(f);
	remove(path);
}

int ctl_run(const struct sys *s, const char *const *args, char *out, size_t len)
{
	static atomic_int runs;
	const char *argv[CTL_ARGV_MAX] = {"catkinctl", "--node",
					  s->nodes[0].admin, "--json"};
	char name[32];
	struct proc p;
	int status = 0;

	for (int i = 0; args[i] && i < CTL_ARGV_MAX - 5; i++)
		argv[4 + i] = args[i];
	snprintf(name, sizeof(name), "ctl%d", atomic_fetch_add(&runs, 1));
	if (!proc_start(&p, name, argv))
		return -1;
	if (!proc_wait(&p, CTL_TIMEOUT_MS, &status)) {
		proc_kill(&p);
		return -1;
	}
	ctl_read_output(p.log, out, len);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ctl_run_ok(const struct sys *s, const char *const *args)
{
	char out[CTL_OUT_MAX];
	int rc = ctl_run(s, args, out, sizeof(out));

	if (rc != 0)
		fprintf(stderr, "catkinctl %s: exit code %d: %s\n", args[0], rc,
			out);
	return rc == 0;
}

int ctl_grant(const struct sys *s, const char *team, char *key, size_t len)
{
	const char *const args[] = {"key", "grant", team, NULL};
	char out[CTL_OUT_MAX];
	int rc = ctl_run(s, args, out, sizeof(out));
	const char *obj = strchr(out, '{');
	json_t *j = json_loads(obj ? obj : "", 0, NULL);
	const char *k = json_string_value(json_object_get(j, "key"));

	if (k)
		snprintf(key, len, "%s", k);
	else if (rc == 0)
		rc = -1;
	json_decref(j);
	return rc;
}
