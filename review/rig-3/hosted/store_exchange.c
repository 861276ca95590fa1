// All homes are retired, one after the other, and their machines removed. An edge node that
// runs a batch is then restarted by its operator.
//
// Exit code: 0 the rule held, 1 broken, 2 the case could not run.
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "rig.h"

enum {
	TEAMS = 8,
	HOMES = 3, ///< one per failure domain
	EDGES = 9, ///< three per failure domain
	ITEMS = 12,
	SETTLE_MS =
		5000, ///< after the start of the nodes, and after the last retirement
	RETIRE_S = 9, ///< given to empty a machine
	RETIRED_MS = 15000, ///< for the answer
	EVENT_MS = 50, ///< of the engines: an item takes 3 s
	RUN_MS = 1200, ///< from the submission to the edge node's SIGTERM
	GRACE_MS = 8000, ///< from SIGTERM to SIGKILL
	/// A step's items may be at no server for so long (RULES.md, Batch jobs, LOST).
	IDLE_MS = 5000,
	STEP_MS = 12000, ///< until the trainer gives up
};

static struct rig r;
static struct rig_node *near_edge; ///< runs the batch
static struct rig_node *other_edge; ///< answers the reads

/* A route for batches, as the site files of small deployments have them. */
static json_t *batch_route(const char *name, const char *prefix)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:b}",
			 "name", name, "host", "h1", "prefix", prefix, "kind",
			 "rollout", "service", "engines", "timeout_ms", 10000,
			 "target_latency_ms", 400, "max_attempts", 3,
			 "max_queue_s", 40, "run_deadline_ms", 7500,
			 "resumable", 1);
}

static void publish_conf(void)
{
	json_t *tenants = json_array();

	for (int i = 0; i < TEAMS; i++) {
		char name[16], key[16];

		snprintf(name, sizeof(name), "t%d", i);
		snprintf(key, sizeof(key), "key%d", i);
		json_array_append_new(tenants,
				      json_pack("{s:s,s:[s]}", "name", name,
						"api_keys", key));
	}
	hosted_put(&r.h, "op/config",
		   json_pack("{s:i,s:[o],s:[{s:s,s:{s:i}}],s:o}", "version",
			     100, "routes", batch_route("learn", "/learn/"),
			     "services", "name", "engines", "engine",
			     "kv_capacity", 100000, "tenants", tenants));
}

static char *batch_text(const char *id, const char *prefix)
{
	json_t *items = json_array();
	json_t *obj;
	char *text;

	for (int i = 0; i < ITEMS; i++) {
		char item[48], path[64], group[16];

		snprintf(item, sizeof(item), "%s.%d", id, i);
		snprintf(path, sizeof(path), "%s%s/%d", prefix, id, i);
		snprintf(group, sizeof(group), "g%d", i / 2);
		json_array_append_new(
			items, json_pack("{s:s,s:s,s:s,s:{s:s},s:s,s:i}", "id",
					 item, "path", path, "group", group,
					 "headers", "X-Catkinpath-Model", "m",
					 "body", "AAEC", "token_count", 100));
	}
	obj = json_pack("{s:i,s:s,s:i,s:i,s:o}", "step", 0, "model", "m",
			"min_version", 1, "target_groups", ITEMS / 2, "items",
			items);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static int submit(int team, const char *prefix, const char *id)
{
	char *body = batch_text(id, prefix);
	char path[96], key[16];
	struct rig_answer a;
	int status;

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	snprintf(key, sizeof(key), "key%d", team);
	rig_call(near_edge, "POST", path, key, id, body, &a);
	status = a.status;
	rig_record("trainer t%d: batch %s on %s answered %d", team, id, prefix,
		   status);
	rig_answer_free(&a);
	free(body);
	return status;
}

/* Node that the batch's owner key names. */
static const struct rig_node *owner_of(const char *id)
{
	const struct rig_node *owner = NULL;
	char key[64], name[40];
	char *value;

	snprintf(key, sizeof(key), "catkin/run/%s", id);
	value = hosted_get_value(&r.h, key);
	for (int i = 0; value && i < r.n; i++) {
		snprintf(name, sizeof(name), "\"%s\"", r.nodes[i].id);
		if (strstr(value, name))
			owner = &r.nodes[i];
	}
	free(value);
	return owner;
}

/* Results that are listed so far. */
static int count_results(int team, const char *id)
{
	char path[96], key[16];
	struct rig_answer a;
	json_t *page;
	int n;

	snprintf(key, sizeof(key), "key%d", team);
	snprintf(path, sizeof(path), "/catkinpath/lots/%s?after=0", id);
	rig_call(other_edge, "GET", path, key, NULL, NULL, &a);
	page = a.status == 200 ? json_loadb(a.body, a.len, 0, NULL) : NULL;
	n = (int)json_array_size(json_object_get(page, "results"));
	rig_record("trainer t%d: read of %s answered %d with %d results", team,
		   id, a.status, n);
	json_decref(page);
	rig_answer_free(&a);
	return n;
}

/* Latest start of a run of the batch's items, 0 if none started. */
static int64_t last_run_ms(const char *id)
{
	int64_t last = 0;
	size_t len = strlen(id);

	pthread_mutex_lock(&r.h.lock);
	for (int i = 0; i < r.h.n_runs; i++) {
		if (strncmp(r.h.runs[i].id, id, len) == 0 &&
		    r.h.runs[i].id[len] == '.')
			last = r.h.runs[i].start_ms;
	}
	pthread_mutex_unlock(&r.h.lock);
	return last;
}

static bool start(void)
{
	static const char *const domains[] = {"d1", "d2", "d3"};

	if (!rig_platform_start(&r))
		return false;
	r.h.event_ms = EVENT_MS;
	publish_conf();
	for (int i = 0; i < HOMES; i++)
		rig_add(&r, domains[i], true);
	for (int i = 0; i < EDGES; i++)
		rig_add(&r, domains[i % HOMES], false);
	near_edge = &r.nodes[HOMES];
	other_edge = &r.nodes[HOMES + 1];
	return rig_start(&r);
}

static bool is_retired(void *ctx)
{
	const struct rig_node *n = ctx;
	char key[64];
	char *value;
	bool retired;

	snprintf(key, sizeof(key), "status/retire/%s", n->id);
	value = hosted_get_value(&r.h, key);
	retired = value && strstr(value, "\"completed\"");
	free(value);
	return retired;
}

/* The operator has a machine emptied and takes it away when the system says so. */
static bool retire(struct rig_node *n)
{
	char key[64];

	snprintf(key, sizeof(key), "op/retire/%s", n->id);
	hosted_put(&r.h, key, json_pack("{s:i}", "finish_by_s", RETIRE_S));
	rig_record("operator: %s is to be emptied in %d s", n->id, RETIRE_S);
	if (!wait_until(is_retired, n, RETIRED_MS))
		return false;
	rig_record("%s says completed, its machine is removed", n->id);
	proc_kill(&n->proc);
	return true;
}

/* A planned restart. */
static bool restart(struct rig_node *n)
{
	proc_signal(&n->proc, SIGTERM);
	rig_record("operator: SIGTERM to %s", n->id);
	if (!proc_wait(&n->proc, GRACE_MS, NULL))
		proc_kill(&n->proc);
	rig_record("%s has ended and starts again", n->id);
	return rig_node_start(&r, n);
}

static int judge(void)
{
	const struct rig_node *owner;
	int64_t submitted_ms, idle_ms;
	int n;

	for (int i = 0; i < HOMES && rig_trouble(); i++) {
		if (!retire(&r.nodes[i]))
			return RIG_NOT_RUN;
	}
	rig_sleep_ms(SETTLE_MS);
	submitted_ms = clock_now_ms();
	if (submit(0, "/learn/", "Lb") != 202)
		return RIG_NOT_RUN;
	owner = owner_of("Lb");
	rig_record("batch Lb is run by %s", owner ? owner->id : "none");
	if (rig_trouble() && owner != near_edge)
		return RIG_NOT_RUN;
	rig_sleep_ms(RUN_MS);
	if (!restart(near_edge))
		return RIG_NOT_RUN;
	do {
		rig_sleep_ms(1000);
		n = count_results(0, "Lb");
	} while (n < ITEMS && clock_now_ms() - submitted_ms < STEP_MS);
	idle_ms = clock_now_ms() - last_run_ms("Lb");
	rig_record("results: %d of %d, last start of an item at a server %lld "
		   "ms ago",
		   n, ITEMS, (long long)idle_ms);
	return n < ITEMS && idle_ms > IDLE_MS ? RIG_BROKEN : 0;
}

int main(int argc, char **argv)
{
	int code = RIG_NOT_RUN;

	if (argc != 2 || !rig_record_open(argv[1]))
		return RIG_NOT_RUN;
	if (start()) {
		rig_sleep_ms(SETTLE_MS);
		code = judge();
	}
	rig_record("exit code %d", code);
	rig_stop(&r);
	return code;
}
