// A home that runs a batch is restarted by its operator. While the next home reads the batch's
// results from the store, on a connection that has gone silent, a trainer submits the batch
// once more. Results that were read must come again.
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
	SHORT_ITEMS = 6,
	LONG_ITEMS = 6, ///< their ids begin with "L"
	ITEMS = SHORT_ITEMS + LONG_ITEMS,
	SHORT_EVENTS_MIN = 12, ///< events of a short item
	SUFFIXES = 64, ///< tried for such an id
	EVENT_MS = 350, ///< of the engines: items take over 4 s and 20 s
	SETTLE_MS = 5000, ///< after the start of the nodes
	FIRST_MS = 10000, ///< until the short items are listed
	READ_MS =
		1500, ///< over `settle_ms` (1 s), after the positions were read
	OWNER_MS = 8000, ///< until the next home has the batch
	AGAIN_MS = 300, ///< from then to the second submission
	POLL_MS = 100, ///< between reads
	WAIT_MS = 100, ///< that a read may wait
	WATCHED_MS = 7000, ///< reads after the second submission
	CONTACT_MS = 3000, ///< `contact_ms` of the site
	GRACE_MS = 8000, ///< from SIGTERM to SIGKILL
};

#define BATCH "b1"

static struct rig r;
static struct rig_node *near_edge; ///< answers the submissions
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

/* Id of an item: its number, and for a short item a suffix with which its text is long
 * enough. */
static void item_id(char *id, size_t len, const char *batch, int i)
{
	if (i >= SHORT_ITEMS) {
		snprintf(id, len, "L%s.%d", batch, i);
		return;
	}
	for (int k = 0; k < SUFFIXES; k++) {
		snprintf(id, len, "%s.%d-%d", batch, i, k);
		if (hosted_event_count(id) >= SHORT_EVENTS_MIN)
			return;
	}
}

static char *batch_text(const char *id, const char *prefix)
{
	json_t *items = json_array();
	json_t *obj;
	char *text;

	for (int i = 0; i < ITEMS; i++) {
		char item[48], path[64], group[16];

		item_id(item, sizeof(item), id, i);
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
static struct rig_node *owner_of(const char *id)
{
	struct rig_node *owner = NULL;
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

/* Results that are listed, -1 if the answer is not 200. */
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
	n = page ? (int)json_array_size(json_object_get(page, "results")) : -1;
	rig_record("trainer t%d: read of %s answered %d with %d results", team,
		   id, a.status, n);
	json_decref(page);
	rig_answer_free(&a);
	return n;
}

static bool start(void)
{
	static const char *const domains[] = {"d1", "d2", "d3"};

	if (!rig_platform_start(&r) || !rig_proxy_start(&r))
		return false;
	r.h.event_ms = EVENT_MS;
	publish_conf();
	for (int i = 0; i < HOMES; i++)
		rig_add(&r, domains[i], true)->by_proxy = true;
	for (int i = 0; i < EDGES; i++)
		rig_add(&r, domains[i % HOMES], false);
	near_edge = &r.nodes[HOMES];
	other_edge = &r.nodes[HOMES + 1];
	return rig_start(&r);
}

static bool is_short_listed(void *ctx)
{
	return count_results(0, BATCH) >= SHORT_ITEMS;
}

static bool is_handed_over(void *ctx)
{
	const struct rig_node *owner = owner_of(BATCH);

	return owner && owner != ctx;
}

/* Reads for a while, and counts the answers that lack results: all, and those that are sent
 * for later than contact_ms after the disruption. */
static int count_lacking(int64_t disrupted_ms, int *late)
{
	int64_t until_ms = clock_now_ms() + WATCHED_MS;
	int lacking = 0;

	*late = 0;
	while (clock_now_ms() < until_ms) {
		bool is_late = clock_now_ms() > disrupted_ms + CONTACT_MS;
		int n = count_results(0, BATCH);

		if (n >= 0 && n < SHORT_ITEMS) {
			lacking++;
			*late += is_late;
		}
		rig_sleep_ms(POLL_MS);
	}
	return lacking;
}

static int judge(void)
{
	struct rig_node *first;
	int64_t disrupted_ms;
	int lacking, late;

	if (submit(0, "/learn/", BATCH) != 202)
		return RIG_NOT_RUN;
	first = owner_of(BATCH);
	rig_set_wait(WAIT_MS);
	if (!first || !first->home ||
	    !wait_until(is_short_listed, NULL, FIRST_MS))
		return RIG_NOT_RUN;
	rig_sleep_ms(READ_MS);
	if (rig_trouble())
		rig_proxy_silence_list("catkin/record/" BATCH);
	proc_signal(&first->proc, SIGTERM);
	rig_record("operator: SIGTERM to %s, which runs the batch", first->id);
	if (!wait_until(is_handed_over, first, OWNER_MS))
		return RIG_NOT_RUN;
	rig_record("batch is run by %s", owner_of(BATCH)->id);
	rig_sleep_ms(AGAIN_MS);
	if (rig_trouble() && rig_proxy_silenced() != 1)
		return RIG_NOT_RUN;
	disrupted_ms = clock_now_ms();
	submit(0, "/learn/", BATCH);
	lacking = count_lacking(disrupted_ms, &late);
	rig_record("connections gone silent: %d; answers without results that "
		   "had been read: %d, of these %d later than %d ms after the "
		   "second submission",
		   rig_proxy_silenced(), lacking, late, CONTACT_MS);
	if (!proc_wait(&first->proc, GRACE_MS, NULL))
		proc_kill(&first->proc);
	return late ? RIG_BROKEN : 0;
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
