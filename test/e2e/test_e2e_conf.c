// Configuration on running daemons: an accepted edit is in force on all nodes
// within 3 s and never reverts, despite concurrent edits, lost replies, hanging
// watches, silent links, restarts and a damaged document.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "base/clock.h"
#include "support/http.h"
#include "support/link.h"
#include "support/sys.h"

enum {
	FORCE_MS = 3000, ///< until an accepted edit is in force
	SETTLE_MS = 20000, ///< test timeout where no bound is promised
	RACERS = 6,
};

static struct sys sys;
static int next_id;

/// Post an edit of one operation.
///
/// @param base  base_rev, -1 for none
/// @return HTTP status
static int edit(int node, const char *id, const char *op, int base,
		json_t **answer)
{
	char url[128], body[512];
	int status;
	json_t *j;

	snprintf(url, sizeof(url), "%s/admin/conf/edit", sys.nodes[node].admin);
	snprintf(body, sizeof(body),
		 "{\"id\":\"%s\",\"author\":\"by-%s\",\"ops\":[%s],\"%s\":%d}",
		 id, id, op, base < 0 ? "none" : "base_rev", base);
	j = http_json("POST", url, NULL, body, &status);
	if (answer)
		*answer = j;
	else
		json_decref(j);
	return status;
}

static const char *new_id(void)
{
	static char id[32];

	snprintf(id, sizeof(id), "e%d", next_id++);
	return id;
}

static json_t *conf_of(int node)
{
	char url[128];

	snprintf(url, sizeof(url), "%s/admin/conf", sys.nodes[node].admin);
	return http_json("GET", url, NULL, NULL, NULL);
}

static int rev_of(int node)
{
	json_t *j = conf_of(node);
	int rev = (int)json_integer_value(json_object_get(j, "rev"));

	json_decref(j);
	return rev;
}

static int default_of(int node, const char *field)
{
	json_t *j = conf_of(node);
	json_t *d = json_object_get(j, "defaults");
	int v = (int)json_integer_value(json_object_get(d, field));

	json_decref(j);
	return v;
}

struct want {
	int rev;
	int skip; ///< index of a node not checked, -1 for none
};

static bool all_have(void *ctx)
{
	const struct want *w = ctx;

	for (int i = 0; i < sys.n_nodes; i++) {
		if (i != w->skip && rev_of(i) < w->rev)
			return false;
	}
	return true;
}

/// Assert that all nodes but skip (-1 for none) have a revision in FORCE_MS.
static void assert_in_force(int rev, int skip)
{
	struct want w = {rev, skip};
	int64_t begin = clock_now_ms();

	assert_true(wait_until(all_have, &w, FORCE_MS));
	print_message("revision %d in force on all nodes after %d ms\n", rev,
		      (int)(clock_now_ms() - begin));
}

static void fault(const char *body)
{
	char url[128];
	int status;

	snprintf(url, sizeof(url), "%s/fake/fault", sys.platform_url);
	json_decref(
		http_json(body ? "POST" : "DELETE", url, NULL, body, &status));
	assert_int_equal(status / 100, 2);
}

static int setup(void **state)
{
	struct sys_opts opts = {
		.domains = 3,
		.nodes_per_domain = 2,
		.platform_links = true,
	};
	struct want none = {0, -1};

	if (!sys_start(&sys, &opts))
		return -1;
	return wait_until(all_have, &none, SETTLE_MS) ? 0 : -1;
}

static int teardown(void **state)
{
	sys_stop(&sys);
	return 0;
}

#define SET(field, value) \
	"{\"op\":\"set\",\"field\":\"" field "\",\"value\":" #value "}"

static void test_first_edit(void **state)
{
	assert_int_equal(edit(0, new_id(), SET("queue.max", 11), 0, NULL), 200);
	assert_in_force(1, -1);
	assert_int_equal(default_of(5, "queue.max"), 11);
}

static const char *const race_ops[RACERS] = {
	SET("slot.max", 21),	   SET("slot.start", 2),
	SET("retry.ratio", 5),	   SET("team.weight", 50),
	SET("team.max_queued", 9), SET("call.deadline", 900),
};

struct racer {
	pthread_t thread;
	int index;
	bool same; ///< all edit one field
	int base;
	int status;
	json_t *answer;
};

static void *race(void *ctx)
{
	struct racer *r = ctx;
	char id[32];

	snprintf(id, sizeof(id), "race%d-%d", r->same, r->index);
	r->status = edit(r->index, id,
			 r->same ? SET("queue.max", 77) : race_ops[r->index],
			 r->base, &r->answer);
	return NULL;
}

static void run_race(struct racer *r, bool same)
{
	int base = rev_of(0);

	for (int i = 0; i < RACERS; i++) {
		r[i] = (struct racer){.index = i, .same = same, .base = base};
		pthread_create(&r[i].thread, NULL, race, &r[i]);
	}
	for (int i = 0; i < RACERS; i++)
		pthread_join(r[i].thread, NULL);
}

static void test_race_disjoint(void **state)
{
	struct racer r[RACERS];
	int base = rev_of(0);

	run_race(r, false);
	for (int i = 0; i < RACERS; i++) {
		assert_int_equal(r[i].status, 200);
		json_decref(r[i].answer);
	}
	assert_in_force(base + RACERS, -1);
	assert_int_equal(default_of(3, "slot.max"), 21);
	assert_int_equal(default_of(3, "call.deadline"), 900);
	assert_int_equal(default_of(3, "team.max_queued"), 9);
}

static void test_race_clash(void **state)
{
	struct racer r[RACERS];
	char winner[64] = "";
	int won = 0;

	run_race(r, true);
	for (int i = 0; i < RACERS; i++) {
		if (r[i].status != 200)
			continue;
		won++;
		snprintf(winner, sizeof(winner), "by-race1-%d", i);
	}
	assert_int_equal(won, 1);
	for (int i = 0; i < RACERS; i++) {
		json_t *e = json_object_get(r[i].answer, "error");
		const char *a = json_string_value(json_object_get(e, "author"));

		if (r[i].status != 200) {
			assert_int_equal(r[i].status, 409);
			assert_string_equal(a, winner);
		}
		json_decref(r[i].answer);
	}
}

static void test_lost_answer(void **state)
{
	int base = rev_of(0);
	char id[32];

	snprintf(id, sizeof(id), "%s", new_id());
	fault("{\"path\":\"/kv/conf\",\"method\":\"PUT\","
	      "\"mode\":\"drop_reply\",\"count\":1}");
	assert_int_equal(edit(1, id, SET("queue.max", 31), base, NULL), 200);
	assert_in_force(base + 1, -1);
	/* Another node recognises the edit by its id. */
	assert_int_equal(edit(4, id, SET("queue.max", 31), base, NULL), 200);
	assert_int_equal(rev_of(4), base + 1);
	fault(NULL);
}

static void test_unknown(void **state)
{
	int base = rev_of(0);
	json_t *answer;
	json_t *e;

	fault("{\"path\":\"/kv/conf\",\"method\":\"PUT\",\"mode\":\"hang\","
	      "\"count\":-1}");
	assert_int_equal(edit(2, new_id(), SET("queue.max", 41), base, &answer),
			 504);
	e = json_object_get(answer, "error");
	assert_string_equal(json_string_value(json_object_get(e, "run")),
			    "maybe");
	json_decref(answer);
	fault(NULL);
	assert_int_equal(edit(2, new_id(), SET("queue.max", 42), -1, NULL),
			 200);
	assert_in_force(base + 1, -1);
}

static void test_silent_watches(void **state)
{
	int base = rev_of(0);

	fault("{\"path\":\"/watch\",\"mode\":\"hang\",\"count\":-1}");
	assert_int_equal(edit(0, new_id(), SET("queue.max", 51), -1, NULL),
			 200);
	assert_in_force(base + 1, -1);
	fault(NULL);
}

/// A node that can't reach the store gets edits from its peers.
static void test_silent_link(void **state)
{
	int base = rev_of(0);

	link_set(sys.nodes[4].link, LINK_SILENT);
	link_set(sys.nodes[5].link, LINK_SILENT);
	assert_int_equal(edit(0, new_id(), SET("queue.max", 61), -1, NULL),
			 200);
	assert_in_force(base + 1, -1);
	link_set(sys.nodes[4].link, LINK_PASS);
	link_set(sys.nodes[5].link, LINK_PASS);
}

/// A node that starts with no copy on disk while the store is down gets the
/// document from its peers.
static void test_start_in_outage(void **state)
{
	struct want w = {rev_of(0), -1};

	fault("{\"path\":\"/\",\"mode\":\"refuse\",\"count\":-1}");
	proc_kill(&sys.nodes[3].proc);
	assert_true(sys_node_start(&sys, 3));
	assert_true(wait_until(all_have, &w, SETTLE_MS));
	fault(NULL);
}

static bool log_has(const char *path, const char *what)
{
	char line[1024];
	bool found = false;
	FILE *f = fopen(path, "r");

	while (f && !found && fgets(line, sizeof(line), f))
		found = strstr(line, what) != NULL;
	if (f)
		fclose(f);
	return found;
}

static bool bad_logged(void *ctx)
{
	return log_has(sys.nodes[0].proc.log, "conf-bad");
}

/// Nodes reject a damaged document in the store and keep the last valid one.
static void test_damaged_document(void **state)
{
	char url[128], body[128];
	int rev = rev_of(0);
	int status;
	json_t *j;
	int kv_rev;

	snprintf(url, sizeof(url), "%s/kv/conf/doc", sys.platform_url);
	j = http_json("GET", url, NULL, NULL, &status);
	kv_rev = (int)json_integer_value(json_object_get(j, "rev"));
	json_decref(j);
	snprintf(body, sizeof(body),
		 "{\"value\":\"{\\\"rev\\\":99,\",\"prev_rev\":%d}", kv_rev);
	json_decref(http_json("PUT", url, NULL, body, &status));
	assert_int_equal(status, 200);
	assert_true(wait_until(bad_logged, NULL, SETTLE_MS));
	for (int i = 0; i < sys.n_nodes; i++)
		assert_int_equal(rev_of(i), rev);
	assert_int_not_equal(edit(0, new_id(), SET("queue.max", 71), -1, NULL),
			     200);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_first_edit),
		cmocka_unit_test(test_race_disjoint),
		cmocka_unit_test(test_race_clash),
		cmocka_unit_test(test_lost_answer),
		cmocka_unit_test(test_unknown),
		cmocka_unit_test(test_silent_watches),
		cmocka_unit_test(test_silent_link),
		cmocka_unit_test(test_start_in_outage),
		cmocka_unit_test(test_damaged_document),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
