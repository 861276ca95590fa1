// A batch comes on a route that was just added, after the connection on which its home
// hears of configurations went silent.
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "lab.h"

enum {
	ITEMS = 32,
	GROUP_ITEMS = 4,
	READY_MS = 20000,
	SETTLE_MS = 4000,
	/// From the moment at which the connection goes silent.
	CONF_AT_MS = 50,
	BATCH_AT_MS = 250,
	STEP_MS = 9000,
};

/* The configuration with one more rollout route, as a text. */
static char *newer_conf(void)
{
	json_t *conf = json_loads(LAB_CONF, 0, NULL);
	json_t *routes = json_object_get(conf, "routes");
	json_t *route = json_deep_copy(json_array_get(routes, 1));
	char *text;

	json_object_set_new(conf, "version", json_integer(9));
	json_object_set_new(route, "name", json_string("r-learn-2"));
	json_object_set_new(route, "host", json_string("learn-2.example"));
	json_object_set_new(route, "prefix", json_string("/learn-2/"));
	json_array_append_new(routes, route);
	text = json_dumps(conf, JSON_COMPACT);
	json_decref(conf);
	return text;
}

static char *batch(const char *batch_id, const char *prefix)
{
	json_t *items = json_array();
	json_t *obj;
	char *text;

	for (int i = 0; i < ITEMS; i++) {
		char id[48], group[32], path[64];

		snprintf(id, sizeof(id), "%.12s%04d", batch_id, i);
		snprintf(group, sizeof(group), "g%d", i / GROUP_ITEMS);
		snprintf(path, sizeof(path), "%s3/91c4", prefix);
		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:{s:s,s:s,s:s},s:s,s:i,s:s}", "id",
				  id, "path", path, "headers",
				  "X-Catkinpath-Model", "m",
				  "X-Catkinpath-Token-Count", "1016,400",
				  "X-Catkinpath-Prompt-Prefix",
				  "9c2e41:1000,5d07b8:16", "body",
				  "q83vEjRWeJA=", "token_count", 1416, "group",
				  group));
	}
	obj = json_pack("{s:i,s:s,s:i,s:i,s:o}", "step", 0, "model", "m",
			"min_version", 1, "target_groups", ITEMS / GROUP_ITEMS,
			"items", items);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static int submit(struct lab *l, int node, const char *id, const char *host,
		  const char *prefix)
{
	char *body = batch(id, prefix);
	struct lab_answer a;
	char path[64];
	int status;

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	lab_call(l, node, "POST", host, path, "key-of-alpha", id, body, 0, &a);
	lab_note(l, "sent batch %s to %s at %s, answer %d", id, host,
		 l->nodes[node].name, a.status);
	status = a.status;
	lab_answer_free(&a);
	free(body);
	return status;
}

/* Node that the owner key of a batch names, -1 for none. */
static int owner_of(struct lab *l, const char *id)
{
	char key[64];
	char *value;
	json_t *obj;
	const char *node;
	int found = -1;

	snprintf(key, sizeof(key), "catkin/run/%s", id);
	value = lab_get(l, key);
	obj = value ? json_loads(value, 0, NULL) : NULL;
	node = json_string_value(json_object_get(obj, "node"));
	for (int i = 0; node && i < l->n_nodes; i++) {
		if (strcmp(l->nodes[i].name, node) == 0)
			found = i;
	}
	json_decref(obj);
	free(value);
	return found;
}

struct results {
	int completed;
	int abandoned;
};

static struct results read_results(struct lab *l, int node, const char *host,
				   const char *id)
{
	struct results out = {0, 0};
	struct lab_answer a;
	char path[96];
	const json_t *list;
	json_t *obj;

	snprintf(path, sizeof(path), "/catkinpath/lots/%s?after=0", id);
	lab_call(l, node, "GET", host, path, "key-of-alpha", NULL, NULL, 0, &a);
	obj = a.status == 200 ? json_loads(a.body, 0, NULL) : NULL;
	list = json_object_get(obj, "results");
	for (size_t i = 0; i < json_array_size(list); i++) {
		const char *state = json_string_value(
			json_object_get(json_array_get(list, i), "state"));

		if (state && strcmp(state, "completed") == 0)
			out.completed++;
		else
			out.abandoned++;
	}
	json_decref(obj);
	lab_answer_free(&a);
	return out;
}

static int play(struct lab *l, bool silent)
{
	static const char id[] = "7c41e09b52d6a3f8";
	static const char host[] = "learn-2.example";
	int home = owner_of(l, "1111e09b52d6a3f8");
	char *conf = newer_conf();
	struct results got = {0, 0};
	int64_t t0, sent_ms;
	int entry = 0;
	int status = 0;

	lab_note(l, "home of alpha: %s",
		 home < 0 ? "none" : l->nodes[home].name);
	if (home < l->n_entry)
		return LAB_EXIT_CANNOT_RUN;
	/* An entry node of another failure domain follows another relay. */
	while (entry < l->n_entry - 1 &&
	       l->nodes[entry].name[strlen(l->nodes[entry].name) - 1] ==
		       l->nodes[home].name[strlen(l->nodes[home].name) - 1])
		entry++;
	t0 = lab_now_ms();
	if (silent) {
		lab_mute_watch(l, home, "op/");
		lab_note(l,
			 "the connection of %s, home of alpha, on which it "
			 "watches op/ goes silent; new ones work",
			 l->nodes[home].name);
	}
	lab_sleep_ms(CONF_AT_MS);
	lab_put(l, "op/config", conf);
	lab_note(l, "configuration 9 is acknowledged: a route for %s", host);
	free(conf);
	while (lab_now_ms() - t0 < BATCH_AT_MS)
		lab_sleep_ms(5);
	sent_ms = lab_now_ms();
	for (int i = 0; i < 3 && status != 202; i++) {
		status = submit(l, entry, id, host, "/learn-2/");
		if (status != 202 && status != 503 && status != 504)
			break;
		if (status != 202)
			lab_sleep_ms(500);
	}
	if (status != 202) {
		lab_note(l, "the batch was not accepted");
		return LAB_EXIT_CANNOT_RUN;
	}
	lab_note(l, "owner key names %s",
		 owner_of(l, id) < 0 ? "none" : l->nodes[owner_of(l, id)].name);
	while (got.completed + got.abandoned < ITEMS &&
	       lab_now_ms() - sent_ms < STEP_MS) {
		lab_sleep_ms(300);
		got = read_results(l, entry, host, id);
		lab_note(l, "read %d completed and %d abandoned of %d; %d runs",
			 got.completed, got.abandoned, ITEMS, l->n_runs);
	}
	if (got.abandoned)
		lab_note(l,
			 "%d items were given up %lld ms after the submission, "
			 "without a 422 or 500, before max_queue_s, the end of "
			 "the batch or of its route",
			 got.abandoned, (long long)(lab_now_ms() - sent_ms));
	return got.abandoned ? LAB_EXIT_BROKEN : LAB_EXIT_HELD;
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool silent = !trouble || strcmp(trouble, "0") != 0;
	int code = LAB_EXIT_CANNOT_RUN;
	static struct lab l;

	if (lab_start(&l, argc > 1 ? argv[1] : "record.txt", 4, 1, LAB_CONF) &&
	    lab_nodes_start(&l, 4, 3) && lab_nodes_wait_ready(&l, READY_MS)) {
		lab_sleep_ms(SETTLE_MS);
		if (submit(&l, 0, "1111e09b52d6a3f8", "learn.example",
			   "/learn/") == 202) {
			lab_sleep_ms(SETTLE_MS);
			code = play(&l, silent);
		}
	}
	lab_stop(&l);
	printf("%s\n", code == LAB_EXIT_BROKEN ? "broken"
		       : code == LAB_EXIT_HELD ? "held"
					       : "cannot run");
	return code;
}
