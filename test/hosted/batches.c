// Submits and reads batches, with cmocka assertions on each response.
#include "batches.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/clock.h"

void batch_submit(struct nodes *ns, const char *id, int node, int min_version)
{
	char *body = batch_body(id, BATCH_ITEMS, min_version);
	struct response a;
	char path[64];

	snprintf(path, sizeof(path), "/learn/%s", id);
	node_call(ns, node, "POST", path, "k1", id, body, &a);
	assert_int_equal(a.status, 202);
	response_free(&a);
	free(body);
}

void batch_wait_home_owner(struct nodes *ns, int64_t until_ms)
{
	for (int i = 0; clock_now_ms() < until_ms; i++) {
		char id[16];

		snprintf(id, sizeof(id), "home%d", i);
		batch_submit(ns, id, i % NODES_ENTRY, 1);
		json_decref(batch_read_all(ns, id, until_ms));
		if (batch_owner(ns, id) >= ns->n_entry)
			return;
	}
	fail_msg("no batch is owned by a home node");
}

static void assert_result(const json_t *r, const char *batch)
{
	const char *fault = hosted_check_result(r, batch);

	if (fault)
		fail_msg("%s: %s", batch, fault);
}

json_t *batch_read_all(struct nodes *ns, const char *id, int64_t until_ms)
{
	json_t *seen = json_array();

	for (int i = 0; clock_now_ms() < until_ms; i++) {
		int after = (int)json_array_size(seen);
		json_t *page = read_results(ns, i % NODES_ENTRY, id, after);
		const json_t *results = json_object_get(page, "results");

		if (page)
			assert_int_equal(json_integer_value(json_object_get(
						 page, "total")),
					 BATCH_ITEMS);
		for (size_t k = 0; k < json_array_size(results); k++) {
			assert_result(json_array_get(results, k), id);
			json_array_append(seen, json_array_get(results, k));
		}
		json_decref(page);
		if (json_array_size(seen) == BATCH_ITEMS)
			return seen;
	}
	fail_msg("read %zu of %d results of batch %s", json_array_size(seen),
		 BATCH_ITEMS, id);
	return seen;
}

void batch_assert_same_results(struct nodes *ns, const char *id, json_t *seen)
{
	for (int i = 0; i < NODES_ENTRY; i++) {
		json_t *page = read_results(ns, i, id, 0);

		assert_non_null(page);
		assert_true(json_equal(json_object_get(page, "results"), seen));
		json_decref(page);
	}
}

int batch_owner(struct nodes *ns, const char *batch)
{
	char key[64];
	char *value;
	int node = -1;

	snprintf(key, sizeof(key), "catkin/run/%s", batch);
	value = hosted_get_value(ns->h, key);
	for (int i = 0; value && i < ns->n; i++) {
		char name[64];

		snprintf(name, sizeof(name), "\"%s\"", ns->list[i].id);
		if (strstr(value, name))
			node = i;
	}
	free(value);
	return node;
}
