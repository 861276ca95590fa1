// A batch for a route that was just added, at a home whose watch on the operators' keys
// has gone silent. The home accepts the batch and gives up all its items.
#include <stdio.h>
#include <string.h>

#include "dep.h"

enum {
	SETTLE_MS = 2500, ///< nodes don't ask homes in their first 600 ms
	WATCH_RESTART_MS = 50, ///< from a change to the next watch
	PROBE_ITEMS = 4,
	BATCHES = 6,
	BATCH_ITEMS = 8,
	AFTER_ACK_MS =
		250, ///< from the operator's acknowledgement to the first batch
	BATCH_INTERVAL_MS = 120,
	WATCH_POLLS = 400, ///< tries to find the home's waiting watch
	READ_ROUNDS = 40,
};

static struct dep dep;

/* Home of the team's batches: owner of a batch on a route that all nodes know. */
static int find_home(void)
{
	for (int i = 0; i < 10; i++) {
		char id[32], path[48];

		snprintf(id, sizeof(id), "probe%d", i);
		snprintf(path, sizeof(path), "/learn/%s", id);
		dep_submit(&dep, 0, "k1", path, id, PROBE_ITEMS);
		if (dep_owner(&dep, id) >= DEP_ENTRY_NODES)
			return dep_owner(&dep, id);
		dep_sleep_ms(500);
	}
	return -1;
}

/* The connection on which the home's watch on the operators' keys waits goes silent;
 * the home's other connections and new ones work. */
static bool silence_watch(int home)
{
	for (int i = 0; i < WATCH_POLLS; i++) {
		if (quiet_silence(dep.links[home],
				  "GET /catkinpath/kv-watch?prefix=op"))
			return true;
		dep_sleep_ms(5);
	}
	return false;
}

/* Read a batch to its end, like its trainer.
 *
 * @return results listed as abandoned */
static int read_batch(int node, const char *id)
{
	int abandoned = 0;
	int read = 0;

	for (int i = 0; i < READ_ROUNDS && read < BATCH_ITEMS; i++) {
		json_t *page = read_results(&dep.nodes, node, id, read);
		const json_t *results = json_object_get(page, "results");

		for (size_t k = 0; k < json_array_size(results); k++) {
			const json_t *r = json_array_get(results, k);
			const char *state =
				json_string_value(json_object_get(r, "state"));

			dep_record("trainer: batch %s position %d: %s %s", id,
				   read,
				   json_string_value(json_object_get(r, "id")),
				   state);
			abandoned += strcmp(state, "abandoned") == 0;
			read++;
		}
		json_decref(page);
	}
	return abandoned;
}

static int run_case(void)
{
	json_t *route = json_pack(
		"[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i}]", "name", "drill",
		"host", "h1", "prefix", "/drill/", "kind", "rollout", "service",
		"engines", "max_queue_s", 40, "run_deadline_ms", 7500,
		"max_attempts", 3, "target_latency_ms", 400);
	int home;
	int entry;
	int wrong = 0;
	int accepted = 0;

	dep_sleep_ms(SETTLE_MS);
	home = find_home();
	/* An entry node that follows the other domain's relay. */
	entry = (home + 1) % 2;
	if (home < 0) {
		json_decref(route);
		return CASE_NOT_RUN;
	}
	dep_record("home of the team's batches: n%d; the trainer calls n%d",
		   home, entry);
	/* Every watch on the operators' keys returns and begins anew. */
	dep_publish(&dep, NULL);
	dep_sleep_ms(WATCH_RESTART_MS);
	if (dep_trouble() && !silence_watch(home)) {
		json_decref(route);
		return CASE_NOT_RUN;
	}
	if (dep_trouble())
		dep_record("disruption: one connection of n%d to the store "
			   "is silent",
			   home);
	dep_publish(&dep, route);
	dep_sleep_ms(AFTER_ACK_MS);
	for (int i = 0; i < BATCHES; i++) {
		char id[32], path[48];
		int status;

		snprintf(id, sizeof(id), "drill%d", i);
		snprintf(path, sizeof(path), "/drill/%s", id);
		status = dep_submit(&dep, entry, "k1", path, id, BATCH_ITEMS);
		dep_record("trainer: batch %s sent to n%d: %d, owner n%d", id,
			   entry, status, dep_owner(&dep, id));
		accepted += status == 202;
		dep_sleep_ms(BATCH_INTERVAL_MS);
	}
	for (int i = 0; i < BATCHES; i++) {
		char id[32];
		int abandoned;

		snprintf(id, sizeof(id), "drill%d", i);
		abandoned = read_batch(entry, id);
		dep_record("batch %s: %d items abandoned, %d runs at servers",
			   id, abandoned, dep_runs(&dep, id));
		/* The servers answer no 422 and no 500, and 40 s are not over. */
		wrong += abandoned;
	}
	dep_record("%d batches accepted, %d items given up without a reason",
		   accepted, wrong);
	if (!accepted)
		return CASE_NOT_RUN;
	return wrong ? CASE_BROKEN : CASE_HELD;
}

int main(void)
{
	int code = dep_start(&dep) ? run_case() : CASE_NOT_RUN;

	dep_record_runs(&dep);
	dep_record("exit code %d", code);
	dep_stop(&dep);
	return code;
}
