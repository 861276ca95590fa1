// A home is lost in a deployment that has run for some days: the store holds the owner
// keys that the daemons wrote for the batches of those days.
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "lab.h"

enum {
	GROUPS = 16,
	GROUP_ITEMS = 4,
	ITEMS = GROUPS * GROUP_ITEMS,
	TARGET_GROUPS = 14, ///< that the trainer waits for: 90%
	/// Three trainers with a batch each 4 s, as on the sheet of Ghent.
	BATCHES_A_DAY = 3 * 86400 / 4,
	DAYS = 7,
	READY_MS = 20000,
	KILL_AFTER_MS = 500, ///< from the submission
	RUN_DEADLINE_MS = 7500,
	WAIT_LONGER_MS = 1500, ///< a trainer waits so much longer
	CONTACT_MS = 3000,
	AT_NO_SERVER_MS = 5000,
	WATCH_MS = 40000, ///< how long the batch is looked at after the step
};

static char *batch(const char *batch_id)
{
	json_t *items = json_array();
	json_t *obj;
	char *text;

	for (int i = 0; i < ITEMS; i++) {
		char id[48], group[32];

		snprintf(id, sizeof(id), "%.12s%04d", batch_id, i);
		snprintf(group, sizeof(group), "g%d", i / GROUP_ITEMS);
		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:{s:s,s:s,s:s},s:s,s:i,s:s}", "id",
				  id, "path", "/learn/3/91c4", "headers",
				  "X-Catkinpath-Model", "m",
				  "X-Catkinpath-Token-Count", "1016,400",
				  "X-Catkinpath-Prompt-Prefix",
				  "9c2e41:1000,5d07b8:16", "body",
				  "q83vEjRWeJA=", "token_count", 1416, "group",
				  group));
	}
	obj = json_pack("{s:i,s:s,s:i,s:i,s:o}", "step", 0, "model", "m",
			"min_version", 1, "target_groups", TARGET_GROUPS,
			"items", items);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static bool submit(struct lab *l, const char *id)
{
	char *body = batch(id);
	char path[64];
	bool accepted = false;

	snprintf(path, sizeof(path), "/learn/%s", id);
	for (int i = 0; i < 4 && !accepted; i++) {
		struct lab_answer a;

		lab_call(l, i % l->n_entry, "POST", "learn.example", path,
			 "key-of-alpha", id, body, 0, &a);
		lab_note(l, "sent batch %s, answer %d", id, a.status);
		accepted = a.status == 202;
		lab_answer_free(&a);
		if (!accepted)
			lab_sleep_ms(500);
	}
	free(body);
	return accepted;
}

/* Results that can be read now, -1 without an answer. */
static int count_results(struct lab *l, const char *id, int node)
{
	struct lab_answer a;
	char path[96];
	int total = 0;
	int n = -1;

	do {
		json_t *obj;
		int page;

		snprintf(path, sizeof(path), "/catkinpath/lots/%s?after=%d", id,
			 total);
		lab_call(l, node, "GET", "learn.example", path, "key-of-alpha",
			 NULL, NULL, 0, &a);
		obj = a.status == 200 && a.body ? json_loads(a.body, 0, NULL)
						: NULL;
		page = (int)json_array_size(json_object_get(obj, "results"));
		total += page;
		if (obj)
			n = total;
		json_decref(obj);
		lab_answer_free(&a);
		if (!page)
			break;
	} while (total < ITEMS);
	return n;
}

static bool end_batch(struct lab *l, const char *id)
{
	struct lab_answer a;
	char path[96];
	int status;

	snprintf(path, sizeof(path), "/catkinpath/lots/%s", id);
	lab_call(l, 0, "DELETE", "learn.example", path, "key-of-alpha", NULL,
		 NULL, 0, &a);
	status = a.status;
	lab_answer_free(&a);
	lab_note(l, "ended batch %s, answer %d", id, status);
	return status == 200;
}

/* The store after some days: one owner key a batch, as the daemons wrote one now. */
static bool fill(struct lab *l, const char *id, int days)
{
	char key[64];
	char *value;

	snprintf(key, sizeof(key), "catkin/run/%s", id);
	value = lab_get(l, key);
	if (!value)
		return false;
	lab_note(l, "owner key of an ended batch: %s = %s", key, value);
	pthread_mutex_lock(&l->store.lock);
	for (int i = 0; i < days * BATCHES_A_DAY; i++) {
		snprintf(key, sizeof(key), "catkin/run/%016llx",
			 (unsigned long long)i * 0x9e3779b97f4a7c15ull);
		lab_fill(l, key, value);
	}
	lab_fill_end(l);
	pthread_mutex_unlock(&l->store.lock);
	lab_note(l, "the store holds %d such keys, of %d days",
		 days * BATCHES_A_DAY, days);
	free(value);
	return true;
}

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

/* Items of a batch that no server finished and that are at none since `ms`. */
static int at_no_server(struct lab *l, const char *id, int64_t since_ms)
{
	int n = 0;

	pthread_mutex_lock(&l->lock);
	for (int k = 0; k < ITEMS; k++) {
		char item[48];
		bool idle = true;

		snprintf(item, sizeof(item), "%.12s%04d", id, k);
		for (int i = 0; i < l->n_runs; i++) {
			const struct lab_run *r = &l->runs[i];

			if (strcmp(r->id, item) == 0 &&
			    (r->complete || !r->end_ms || r->end_ms > since_ms))
				idle = false;
		}
		n += idle;
	}
	pthread_mutex_unlock(&l->lock);
	return n;
}

static int began(struct lab *l, const char *id)
{
	int n = 0;

	pthread_mutex_lock(&l->lock);
	for (int i = 0; i < l->n_runs; i++)
		n += strncmp(l->runs[i].id, id, 12) == 0;
	pthread_mutex_unlock(&l->lock);
	return n;
}

static int play(struct lab *l, bool kill_home)
{
	static const char id[] = "7c41e09b52d6a3f8";
	int64_t sent_ms = lab_now_ms();
	int64_t lost_ms = sent_ms;
	int64_t steady_ms, now;
	int owner, results, idle, runs;

	if (!submit(l, id))
		return LAB_EXIT_CANNOT_RUN;
	while (lab_now_ms() - sent_ms < KILL_AFTER_MS)
		lab_sleep_ms(5);
	owner = owner_of(l, id);
	runs = began(l, id);
	if (owner < l->n_entry || !runs)
		return LAB_EXIT_CANNOT_RUN;
	if (kill_home) {
		lab_node_signal(l, owner, SIGKILL);
		lost_ms = lab_now_ms();
		lab_note(l, "killed %s, which runs the batch; %d runs began",
			 l->nodes[owner].name, runs);
	}
	do {
		lab_sleep_ms(450);
		results = count_results(l, id, (int)(lab_now_ms() % 2));
		now = lab_now_ms();
		lab_note(l, "read %d results of %d; %d runs began", results,
			 ITEMS, began(l, id));
	} while (results < ITEMS &&
		 now - sent_ms < RUN_DEADLINE_MS + WAIT_LONGER_MS);
	steady_ms = kill_home ? lost_ms + CONTACT_MS : sent_ms;
	/* With fewer results a group that the trainer waits for is not whole. */
	idle = results < TARGET_GROUPS * GROUP_ITEMS &&
			       now - steady_ms >= AT_NO_SERVER_MS
		       ? at_no_server(l, id, now - AT_NO_SERVER_MS)
		       : 0;
	lab_note(l,
		 "the step's time is over: %d results, %d items at no server "
		 "for 5 s, the last %lld ms of them steady",
		 results, idle, (long long)(now - steady_ms));
	while (results < ITEMS && lab_now_ms() - sent_ms < WATCH_MS) {
		lab_sleep_ms(1000);
		results = count_results(l, id, 0);
		runs = began(l, id);
		lab_note(l, "later: %d results, %d runs began", results, runs);
	}
	return idle ? LAB_EXIT_BROKEN : LAB_EXIT_HELD;
}

int main(int argc, char **argv)
{
	static const char first[] = "1111e09b52d6a3f8";
	const char *trouble = getenv("TROUBLE");
	const char *days = getenv("DAYS");
	bool kill_home = !trouble || strcmp(trouble, "0") != 0;
	int code = LAB_EXIT_CANNOT_RUN;
	static struct lab l;

	if (lab_start(&l, argc > 1 ? argv[1] : "record.txt", 4, 1, LAB_CONF) &&
	    lab_nodes_start(&l, 2, 3) && lab_nodes_wait_ready(&l, READY_MS)) {
		lab_sleep_ms(2000);
		if (submit(&l, first) && end_batch(&l, first) &&
		    fill(&l, first, days ? atoi(days) : DAYS)) {
			lab_sleep_ms(8000);
			code = play(&l, kill_home);
		}
	}
	lab_note(&l, "%ld list calls of owner keys", l.store.list_calls);
	lab_stop(&l);
	printf("%s\n", code == LAB_EXIT_BROKEN ? "broken"
		       : code == LAB_EXIT_HELD ? "held"
					       : "cannot run");
	return code;
}
