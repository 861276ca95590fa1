// The home of a batch is killed, in a system that has run for some days: the store has an
// owner key of each batch that was ever accepted.
//
// Exit code: 0 the rule held, 1 broken, 2 the case could not run.
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "history.h"
#include "rig.h"

enum {
	TEAMS = 8,
	HOMES = 3, ///< one per failure domain
	EDGES = 9, ///< three per failure domain
	ITEMS = 12,
	SETTLE_MS =
		5000, ///< after the start of the nodes, and after the last retirement
	EVENT_MS = 50, ///< of the engines: an item takes 3 s
	RUN_MS = 1200, ///< from the submission to the kill
	DOWN_MS = 300, ///< until the process starts again
	CONTACT_MS = 3000, ///< after that until the state counts as steady
	BATCHES_A_DAY = 3 * 86400 / 4, ///< of three trainers, one each 4 s
	DAYS = 14,
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

	const char *days = getenv("HISTORY_DAYS");

	if (!rig_platform_start(&r) || !rig_proxy_start(&r))
		return false;
	r.h.event_ms = EVENT_MS;
	publish_conf();
	history_init(&r, (days ? atoi(days) : DAYS) * BATCHES_A_DAY);
	for (int i = 0; i < HOMES; i++)
		rig_add(&r, domains[i], true)->by_proxy = true;
	for (int i = 0; i < EDGES; i++)
		rig_add(&r, domains[i % HOMES], false)->by_proxy = true;
	near_edge = &r.nodes[HOMES];
	other_edge = &r.nodes[HOMES + 1];
	return rig_start(&r);
}

/* The first team whose batches a home runs that does not lead. */
static int submit_off_leader(const struct rig_node **home, char id[32])
{
	char *leader = hosted_get_value(&r.h, "catkin/leader");
	int found = -1;

	for (int i = 0; i < TEAMS && found < 0; i++) {
		char name[40];

		snprintf(id, 32, "L%015d", i);
		if (submit(i, "/learn/", id) != 202)
			continue;
		*home = owner_of(id);
		snprintf(name, sizeof(name), "\"%s/", *home ? (*home)->id : "");
		if (*home && (*home)->home && leader && !strstr(leader, name))
			found = i;
	}
	free(leader);
	return found;
}

static int judge(void)
{
	const struct rig_node *home = NULL;
	int64_t submitted_ms, steady_ms, idle_ms;
	int64_t killed_ms = 0;
	bool down = false;
	int team, n;
	char id[32];

	rig_sleep_ms(SETTLE_MS);
	submitted_ms = clock_now_ms();
	team = submit_off_leader(&home, id);
	if (team < 0)
		return RIG_NOT_RUN;
	rig_record("batch %s is run by %s", id, home->id);
	rig_sleep_ms(RUN_MS);
	if (rig_trouble()) {
		proc_kill(&r.nodes[home - r.nodes].proc);
		killed_ms = clock_now_ms();
		down = true;
		rig_record("%s killed", home->id);
	}
	do {
		rig_sleep_ms(500);
		if (down && clock_now_ms() - killed_ms >= DOWN_MS) {
			down = false;
			rig_node_start(&r, &r.nodes[home - r.nodes]);
			rig_record("%s starts again", home->id);
		}
		n = count_results(team, id);
	} while (n < ITEMS && clock_now_ms() - submitted_ms < STEP_MS);
	steady_ms = killed_ms ? killed_ms + DOWN_MS + CONTACT_MS : 0;
	idle_ms = last_run_ms(id);
	idle_ms = clock_now_ms() - (idle_ms > steady_ms ? idle_ms : steady_ms);
	rig_record("results: %d of %d, at no server for %lld "
		   "ms of steady state",
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
