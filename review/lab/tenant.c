// A trainer of one tenant names another tenant in its items' header fields.
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conf.h"
#include "lab.h"

enum {
	ITEMS = 8,
	READY_MS = 20000,
	RESULTS_MS = 9000,
};

static char *batch(bool forged)
{
	json_t *items = json_array();
	json_t *obj;
	char *text;

	for (int i = 0; i < ITEMS; i++) {
		char id[32], group[32];
		json_t *headers = json_pack(
			"{s:s,s:s,s:s}", "X-Catkinpath-Model", "m",
			"X-Catkinpath-Token-Count", "540,400",
			"X-Catkinpath-Prompt-Prefix", "9c2e41:300,5d07b8:240");

		if (forged)
			json_object_set_new(headers, "X-Catkinpath-Tenant",
					    json_string("beta"));
		snprintf(id, sizeof(id), "e5b2907c14da6f%02d", i);
		snprintf(group, sizeof(group), "g%d", i / 4);
		json_array_append_new(
			items, json_pack("{s:s,s:s,s:o,s:s,s:i,s:s}", "id", id,
					 "path", "/learn/3/91c4", "headers",
					 headers, "body", "q83vEjRWeJA=",
					 "token_count", 940, "group", group));
	}
	obj = json_pack("{s:i,s:s,s:i,s:i,s:o}", "step", 0, "model", "m",
			"min_version", 1, "target_groups", ITEMS / 4, "items",
			items);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

static bool submit(struct lab *l, const char *body)
{
	struct lab_answer a;
	bool accepted;

	for (int i = 0; i < 4; i++) {
		lab_call(l, i % l->n_entry, "POST", "learn.example",
			 "/learn/7c41e09b52d6a3f8", "key-of-alpha",
			 "7c41e09b52d6a3f8", body, 0, &a);
		lab_note(l, "sent batch 7c41e09b52d6a3f8 of alpha, answer %d",
			 a.status);
		accepted = a.status == 202;
		lab_answer_free(&a);
		if (accepted)
			return true;
		lab_sleep_ms(500);
	}
	return false;
}

static int count_results(struct lab *l)
{
	struct lab_answer a;
	json_t *obj;
	int n;

	lab_call(l, 1 % l->n_entry, "GET", "learn.example",
		 "/catkinpath/lots/7c41e09b52d6a3f8?after=0", "key-of-alpha",
		 NULL, NULL, 0, &a);
	obj = a.body ? json_loads(a.body, 0, NULL) : NULL;
	n = (int)json_array_size(json_object_get(obj, "results"));
	json_decref(obj);
	lab_answer_free(&a);
	return n;
}

static int judge(struct lab *l)
{
	int broken = 0;

	for (int i = 0; i < l->n_runs; i++) {
		const struct lab_run *r = &l->runs[i];
		bool bad = r->n_teams != 1 || strcmp(r->teams[0], "alpha") != 0;

		lab_note(l,
			 "server %s ran %s, X-Catkinpath-Tenant: %s%s%s (%d "
			 "fields)%s",
			 l->servers[r->server].id, r->id,
			 r->n_teams ? r->teams[0] : "none",
			 r->n_teams > 1 ? ", " : "",
			 r->n_teams > 1 ? r->teams[1] : "", r->n_teams,
			 bad ? " <- not the key's tenant" : "");
		broken += bad;
	}
	lab_note(l, "%d of %d runs bear another tenant than the key's", broken,
		 l->n_runs);
	if (l->n_runs < ITEMS)
		return LAB_EXIT_CANNOT_RUN;
	return broken ? LAB_EXIT_BROKEN : LAB_EXIT_HELD;
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool forged = !trouble || strcmp(trouble, "0") != 0;
	char *body = batch(forged);
	int code = LAB_EXIT_CANNOT_RUN;
	static struct lab l;
	int64_t until;

	if (lab_start(&l, argc > 1 ? argv[1] : "record.txt", 2, 1, LAB_CONF) &&
	    lab_nodes_start(&l, 2, 2) && lab_nodes_wait_ready(&l, READY_MS) &&
	    submit(&l, body)) {
		until = lab_now_ms() + RESULTS_MS;
		while (count_results(&l) < ITEMS && lab_now_ms() < until)
			lab_sleep_ms(300);
		lab_note(&l, "read %d results", count_results(&l));
		code = judge(&l);
	}
	lab_stop(&l);
	free(body);
	printf("%s\n", code == LAB_EXIT_BROKEN ? "broken"
		       : code == LAB_EXIT_HELD ? "held"
					       : "cannot run");
	return code;
}
