// VM list: merging lagging lists with what the node knows, decoding malformed
// ones.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "../src/fleet_list.h"
#include "../src/fleet_wire.h"

static struct fleet_vm vm(const char *id, enum vm_state state)
{
	struct fleet_vm v = {.kind = VM_ENGINE, .state = state};

	snprintf(v.id, sizeof(v.id), "%s", id);
	snprintf(v.addr, sizeof(v.addr), "127.0.0.1:%s", id);
	return v;
}

static void merge(struct fleet_list *l, struct fleet_vm v, int64_t now)
{
	assert_int_equal(fleet_list_merge(l, &v, 1, now), ERR_OK);
}

static void test_leaving_stays_leaving(void **state)
{
	struct fleet_list l = {0};

	merge(&l, vm("1", VM_LIVE), 10);
	merge(&l, vm("1", VM_LEAVING), 20);
	merge(&l, vm("1", VM_LIVE), 30);
	assert_int_equal(l.vms[0].state, VM_LEAVING);
	assert_int_equal(l.vms[0].first_seen_ms, 10);
	assert_int_equal(fleet_list_merge(&l, NULL, 0, 40), ERR_OK);
	merge(&l, vm("1", VM_LIVE), 50);
	assert_int_equal(l.n, 0);
	merge(&l, vm("1", VM_LIVE), 20 + FLEET_TOMBSTONE_TTL_MS);
	assert_int_equal(l.n, 1);
	fleet_list_free(&l);
}

static void test_mark_leaving_survives_merge(void **state)
{
	struct fleet_list l = {0};

	merge(&l, vm("1", VM_LIVE), 10);
	fleet_list_mark_leaving(&l, "1", 20);
	merge(&l, vm("1", VM_LIVE), 30);
	assert_int_equal(l.vms[0].state, VM_LEAVING);
	fleet_list_free(&l);
}

static void test_same_id_new_address_is_new_vm(void **state)
{
	struct fleet_list l = {0};
	struct fleet_vm v = vm("1", VM_LIVE);

	merge(&l, vm("1", VM_LEAVING), 10);
	snprintf(v.addr, sizeof(v.addr), "127.0.0.9:1");
	merge(&l, v, 20);
	assert_int_equal(l.vms[0].state, VM_LIVE);
	assert_int_equal(l.vms[0].first_seen_ms, 20);
	fleet_list_free(&l);
}

static void test_gen_grows_on_change(void **state)
{
	struct fleet_list l = {0};
	uint64_t gen;

	merge(&l, vm("1", VM_STARTING), 10);
	gen = l.gen;
	merge(&l, vm("1", VM_STARTING), 20);
	assert_int_equal(l.gen, gen);
	merge(&l, vm("1", VM_LIVE), 30);
	assert_int_not_equal(l.gen, gen);
	fleet_list_free(&l);
}

static void test_decode_counts_bad_rows(void **state)
{
	static const struct {
		const char *body;
		enum err err;
		size_t n, bad;
	} rows[] = {
		{"{\"vms\":[],\"age_ms\":0}", ERR_OK, 0, 0},
		{"{\"vms\":[{\"id\":\"a\",\"addr\":\"1:2\",\"domain\":\"d\","
		 "\"kind\":\"engine\",\"state\":\"live\",\"cheap\":true}]}",
		 ERR_OK, 1, 0},
		{"{\"vms\":[{\"id\":\"a\",\"kind\":\"x\",\"state\":\"live\"},"
		 "{\"id\":\"b\",\"kind\":\"entry\",\"state\":\"live\"}]}",
		 ERR_OK, 1, 1},
		{"{\"vms\":[1,null,{}]}", ERR_OK, 0, 3},
		{"{\"vms\":{}}", ERR_PARSE, 0, 0},
		{"{\"vms\":[", ERR_PARSE, 0, 0},
		{"", ERR_PARSE, 0, 0},
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct fleet_vm *vms = NULL;
		size_t n = 0, bad = 0;
		int64_t age_ms = -1;

		assert_int_equal(fleet_wire_json.vms_decode(
					 rows[i].body, strlen(rows[i].body),
					 &vms, &n, &bad, &age_ms),
				 rows[i].err);
		assert_int_equal(n, rows[i].n);
		assert_int_equal(bad, rows[i].bad);
		free(vms);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_leaving_stays_leaving),
		cmocka_unit_test(test_mark_leaving_survives_merge),
		cmocka_unit_test(test_same_id_new_address_is_new_vm),
		cmocka_unit_test(test_gen_grows_on_change),
		cmocka_unit_test(test_decode_counts_bad_rows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
