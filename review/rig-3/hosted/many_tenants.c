// Six hundred tenants send a request each within one usage window. The window is reported,
// then the leader is killed and another node leads.
//
// Exit code: 0 the rule held, 1 broken, 2 the case could not run.
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "rig.h"

enum {
	TEAMS = 600,
	STRIDE = 7, ///< of the order in which the tenants send
	HOMES = 3, ///< one per failure domain
	EDGES = 9, ///< three per failure domain
	SETTLE_MS = 5000, ///< after the start of the nodes
	WINDOW_MS = 5000, ///< `report_window_s` of the site
	WINDOW_START_MS = 100, ///< the requests begin so soon in a window
	REPORTED_MS = 15000, ///< for the report
	LEADER_MS = 15000, ///< for another leader
	AFTER_MS = 12000, ///< for its reports
};

static struct rig r;
static char window_id[32]; ///< in which the requests ran

static void publish_conf(void)
{
	json_t *tenants = json_array();

	for (int i = 0; i < TEAMS; i++) {
		char name[16], key[16];

		snprintf(name, sizeof(name), "t%03d", i);
		snprintf(key, sizeof(key), "key%d", i);
		json_array_append_new(tenants,
				      json_pack("{s:s,s:[s]}", "name", name,
						"api_keys", key));
	}
	hosted_put(&r.h, "op/config",
		   json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i}],"
			     "s:[{s:s}],s:o}",
			     "version", 100, "routes", "name", "book", "host",
			     "h1", "prefix", "/book/", "kind", "idempotent",
			     "service", "desk", "target_latency_ms", 150,
			     "timeout_ms", 2000, "max_attempts", 2, "services",
			     "name", "desk", "tenants", tenants));
}

static bool start(void)
{
	static const char *const domains[] = {"d1", "d2", "d3"};

	if (!rig_platform_start(&r))
		return false;
	publish_conf();
	for (int i = 0; i < HOMES; i++)
		rig_add(&r, domains[i], true);
	for (int i = 0; i < EDGES; i++)
		rig_add(&r, domains[i % HOMES], false);
	return rig_start(&r);
}

/* One request of each tenant, all in one window. */
static bool send_requests(void)
{
	int64_t window, begin_ms;
	int n = 0;

	while (clock_wall_ms() % WINDOW_MS > WINDOW_START_MS)
		rig_sleep_ms(1);
	begin_ms = clock_wall_ms();
	window = begin_ms / WINDOW_MS;
	for (int i = 0; i < TEAMS; i++) {
		char path[32], key[16], id[24];
		struct rig_answer a;

		snprintf(path, sizeof(path), "/book/%d", i);
		snprintf(key, sizeof(key), "key%d", i * STRIDE % TEAMS);
		snprintf(id, sizeof(id), "b%d", i);
		rig_call(&r.nodes[HOMES + i % EDGES], "POST", path, key, id,
			 "x", &a);
		n += a.status == 200;
		rig_answer_free(&a);
	}
	snprintf(window_id, sizeof(window_id), "%lld", (long long)window);
	rig_record("clients: %d requests sent in %lld ms of window %s, %d "
		   "answered 200",
		   TEAMS, (long long)(clock_wall_ms() - begin_ms), window_id,
		   n);
	return n == TEAMS && clock_wall_ms() / WINDOW_MS == window;
}

/* Tenants in the platform's report of the window, 0 without one. */
static int tenants_reported(void)
{
	int n;

	pthread_mutex_lock(&r.h.lock);
	n = (int)json_object_size(json_object_get(r.h.reports, window_id));
	pthread_mutex_unlock(&r.h.lock);
	return n;
}

static bool is_reported(void *ctx)
{
	return tenants_reported() > 0;
}

/* Node that leads. */
static struct rig_node *leader(void)
{
	struct rig_node *found = NULL;
	char *value = hosted_get_value(&r.h, "catkin/leader");
	char name[40];

	for (int i = 0; value && i < r.n; i++) {
		snprintf(name, sizeof(name), "\"%s", r.nodes[i].id);
		if (strstr(value, name))
			found = &r.nodes[i];
	}
	free(value);
	return found;
}

static bool is_other_leader(void *ctx)
{
	const struct rig_node *now = leader();

	return now && now != ctx;
}

static int conflicts(void)
{
	int n;

	pthread_mutex_lock(&r.h.lock);
	n = r.h.usage_conflicts;
	pthread_mutex_unlock(&r.h.lock);
	return n;
}

static int judge(void)
{
	struct rig_node *first;

	if (!send_requests() || !wait_until(is_reported, NULL, REPORTED_MS))
		return RIG_NOT_RUN;
	rig_record("platform: window %s is reported, with %d tenants",
		   window_id, tenants_reported());
	first = leader();
	if (!first || conflicts())
		return RIG_NOT_RUN;
	if (rig_trouble()) {
		proc_kill(&first->proc);
		rig_record("%s, which leads, is killed", first->id);
		if (!wait_until(is_other_leader, first, LEADER_MS))
			return RIG_NOT_RUN;
		rig_record("%s leads", leader()->id);
		if (!rig_node_start(&r, first))
			return RIG_NOT_RUN;
	}
	rig_sleep_ms(AFTER_MS);
	rig_record("platform: reports accepted with other counts than the "
		   "window's first one: %d",
		   conflicts());
	return conflicts() ? RIG_BROKEN : 0;
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
