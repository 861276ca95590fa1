// Tests of documents: edits, look-ups, edit conflicts, damaged input.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <jansson.h>

#include "base/rng.h"
#include "conf/edit.h"
#include "conf/field.h"

#define SALT "00112233445566778899aabbccddeeff"
#define HASH SALT SALT

static struct conf *doc;
static struct conf_edit_info info;
static int next_id;

/// Apply `ops` (JSON array); base_rev < 0 for none. Replaces doc if accepted.
static enum err apply_edit_as(const char *id, const char *ops, long base_rev)
{
	char text[2048];
	struct conf *next;
	json_t *j;
	enum err e;

	snprintf(text, sizeof(text),
		 "{\"id\":\"%s\",\"author\":\"by-%s\","
		 "\"ops\":%s%s%ld}",
		 id, id, ops,
		 base_rev < 0 ? ",\"none\":" : ",\"base_rev\":", base_rev);
	j = json_loads(text, 0, NULL);
	assert_non_null(j);
	e = conf_edit_apply(doc, j, &next, &info);
	json_decref(j);
	if (next) {
		conf_free(doc);
		doc = next;
	}
	return e;
}

static enum err apply_edit(const char *ops)
{
	char id[16];

	snprintf(id, sizeof(id), "e%d", next_id++);
	return apply_edit_as(id, ops, -1);
}

static int setup(void **state)
{
	doc = NULL;
	assert_int_equal(apply_edit("[{\"op\":\"team-add\",\"team\":\"T\"}]"),
			 0);
	return 0;
}

static int teardown(void **state)
{
	conf_free(doc);
	return 0;
}

static void test_scope_exception_precedence(void **state)
{
	struct conf_scope s = {.team = "T", .route = "desk", .domain = "d1"};

	assert_int_equal(conf_get_int(doc, CF_CALL_DEADLINE, &s), 10000);
	apply_edit(
		"[{\"op\":\"set\",\"field\":\"call.deadline\",\"value\":5000}]");
	assert_int_equal(conf_get_int(doc, CF_CALL_DEADLINE, &s), 5000);
	apply_edit(
		"[{\"op\":\"except\",\"scope\":\"domain\",\"name\":\"d1\","
		"\"field\":\"call.deadline\",\"value\":1,\"reason\":\"r\"}]");
	assert_int_equal(conf_get_int(doc, CF_CALL_DEADLINE, &s), 5000);
	assert_int_equal(info.rev, 0);
	apply_edit(
		"[{\"op\":\"except\",\"scope\":\"domain\",\"name\":\"d1\","
		"\"field\":\"call.deadline\",\"value\":100,\"reason\":\"r\"},"
		"{\"op\":\"except\",\"scope\":\"route\",\"name\":\"desk\","
		"\"field\":\"call.deadline\",\"value\":200,\"reason\":\"r\"}]");
	assert_int_equal(conf_get_int(doc, CF_CALL_DEADLINE, &s), 200);
	s.route = NULL;
	assert_int_equal(conf_get_int(doc, CF_CALL_DEADLINE, &s), 100);
	apply_edit("[{\"op\":\"unexcept\",\"scope\":\"domain\",\"name\":\"d1\","
		   "\"field\":\"call.deadline\"}]");
	assert_int_equal(conf_get_int(doc, CF_CALL_DEADLINE, &s), 5000);
}

/// Operations that are refused, with the expected error.
static const struct {
	const char *ops;
	enum err err;
} refused_edits[] = {
	{"[]", ERR_CONF_OP},
	{"[{\"op\":\"explode\"}]", ERR_CONF_OP},
	{"[{\"op\":\"set\",\"field\":\"no.such\",\"value\":1}]",
	 ERR_CONF_FIELD},
	{"[{\"op\":\"set\",\"field\":\"queue.max\",\"value\":0}]",
	 ERR_CONF_RANGE},
	{"[{\"op\":\"set\",\"field\":\"queue.max\",\"value\":\"9\"}]",
	 ERR_CONF_RANGE},
	{"[{\"op\":\"except\",\"scope\":\"team\",\"name\":\"T\",\"field\":"
	 "\"queue.max\",\"value\":9}]",
	 ERR_CONF_REASON},
	{"[{\"op\":\"except\",\"scope\":\"team\",\"name\":\"T\",\"field\":"
	 "\"queue.max\",\"value\":9,\"reason\":\"  \"}]",
	 ERR_CONF_REASON},
	{"[{\"op\":\"except\",\"scope\":\"moon\",\"name\":\"T\",\"field\":"
	 "\"queue.max\",\"value\":9,\"reason\":\"r\"}]",
	 ERR_CONF_OP},
	{"[{\"op\":\"team-add\",\"team\":\"T\"}]", ERR_CONF_EXISTS},
	{"[{\"op\":\"team-add\",\"team\":\"a b\"}]", ERR_CONF_OP},
	{"[{\"op\":\"route-add\",\"route\":\"r\",\"target\":\"moon\"}]",
	 ERR_INVALID},
	{"[{\"op\":\"route-add\",\"route\":\"r\",\"target\":\"service\"}]",
	 ERR_INVALID},
	{"[{\"op\":\"route-add\",\"route\":\"r\",\"target\":\"engine\","
	 "\"teams\":[\"nobody\"]}]",
	 ERR_CONF_ABSENT},
	{"[{\"op\":\"route-change\",\"route\":\"r\",\"attr\":\"open\","
	 "\"value\":true}]",
	 ERR_CONF_ABSENT},
	{"[{\"op\":\"route-remove\",\"route\":\"r\"}]", ERR_CONF_ABSENT},
	{"[{\"op\":\"key-grant\",\"key\":\"abcdefghijkl\",\"team\":\"X\","
	 "\"salt\":\"" SALT "\",\"hash\":\"" HASH "\"}]",
	 ERR_CONF_ABSENT},
	{"[{\"op\":\"key-grant\",\"key\":\"abcdefghijkl\",\"team\":\"T\","
	 "\"salt\":\"1\",\"hash\":\"2\"}]",
	 ERR_CONF_OP},
	{"[{\"op\":\"key-withdraw\",\"key\":\"abcdefghijkl\"}]",
	 ERR_CONF_ABSENT},
	{"[{\"op\":\"domain-out\",\"domain\":\"d1\"}]", ERR_CONF_REASON},
	{"[{\"op\":\"team-add\",\"team\":\"U\"},{\"op\":\"explode\"}]",
	 ERR_CONF_OP},
};

static void test_refused_edit_changes_nothing(void **state)
{
	for (size_t i = 0; i < sizeof(refused_edits) / sizeof(refused_edits[0]);
	     i++) {
		enum err e = apply_edit(refused_edits[i].ops);

		if (e != refused_edits[i].err)
			print_message("case %zu: %s\n", i,
				      refused_edits[i].ops);
		assert_int_equal(e, refused_edits[i].err);
		assert_int_equal(conf_rev(doc), 1);
	}
	assert_null(conf_team_find(doc, "U"));
}

static void test_key_and_route_operations(void **state)
{
	const struct conf_route *r;
	json_t *j;
	char *text;

	assert_int_equal(
		apply_edit(
			"[{\"op\":\"key-grant\",\"key\":\"abcdefghijkl\","
			"\"team\":\"T\",\"salt\":\"" SALT "\",\"hash\":\"" HASH
			"\"},{\"op\":\"route-add\",\"route\":\"desk\",\"target\":"
			"\"service\",\"service\":\"desk\",\"teams\":[\"T\"]}]"),
		ERR_OK);
	assert_false(conf_key_find(doc, "abcdefghijkl")->withdrawn);
	r = conf_route_find(doc, "desk");
	assert_int_equal(r->target, CONF_TARGET_SERVICE);
	assert_int_equal(r->n_teams, 1);
	assert_false(r->open);
	apply_edit(
		"[{\"op\":\"route-change\",\"route\":\"desk\",\"attr\":\"open\","
		"\"value\":true}]");
	assert_true(conf_route_find(doc, "desk")->open);
	apply_edit("[{\"op\":\"key-withdraw\",\"key\":\"abcdefghijkl\"}]");
	assert_true(conf_key_find(doc, "abcdefghijkl")->withdrawn);
	j = conf_public_json(doc);
	text = json_dumps(j, 0);
	assert_null(strstr(text, SALT));
	free(text);
	json_decref(j);
	apply_edit(
		"[{\"op\":\"domain-out\",\"domain\":\"d1\",\"reason\":\"r\"}]");
	assert_false(conf_domain_enabled(doc, "d1"));
	assert_true(conf_domain_enabled(doc, "d2"));
}

static void test_conflicting_edit_is_refused(void **state)
{
	const char *a = "[{\"op\":\"set\",\"field\":\"queue.max\","
			"\"value\":7}]";
	const char *b = "[{\"op\":\"set\",\"field\":\"slot.max\","
			"\"value\":8}]";

	assert_int_equal(apply_edit_as("a", a, 1), ERR_OK);
	assert_int_equal(apply_edit_as("b", b, 1), ERR_OK);
	assert_int_equal(conf_get_int(doc, CF_QUEUE_MAX, NULL), 7);
	assert_int_equal(conf_get_int(doc, CF_SLOT_MAX, NULL), 8);
	assert_int_equal(apply_edit_as("c", a, 1), ERR_CONF_CLASH);
	assert_string_equal(info.conflict_author, "by-a");
	assert_int_equal(info.conflict_rev, 2);
	assert_int_equal(apply_edit_as("a", a, 1), ERR_OK);
	assert_true(info.already_applied);
	assert_int_equal(info.rev, 2);
	assert_int_equal(conf_rev(doc), 3);
}

static void test_base_older_than_history_is_refused(void **state)
{
	const char *a = "[{\"op\":\"set\",\"field\":\"queue.max\","
			"\"value\":7}]";

	for (int i = 0; i < CONF_EDIT_HISTORY_MAX + 2; i++)
		assert_int_equal(apply_edit(a), ERR_OK);
	assert_int_equal(
		apply_edit_as(
			"late",
			"[{\"op\":\"set\",\"field\":\"slot.max\",\"value\":8}]",
			1),
		ERR_CONF_CLASH);
}

/// Truncated documents are rejected; random bytes don't crash the parser.
static void test_damaged_document_is_rejected(void **state)
{
	struct rng rng = {.state = 42};
	size_t len;
	char copy[4096];
	const char *text;
	struct conf *c;

	test_key_and_route_operations(state);
	text = conf_text(doc, &len);
	assert_true(len < sizeof(copy));
	print_message("seed %llu\n", (unsigned long long)rng.state);
	for (size_t cut = 0; cut < len; cut++) {
		assert_int_not_equal(conf_parse(text, cut, &c), ERR_OK);
		assert_null(c);
	}
	for (int i = 0; i < 5000; i++) {
		memcpy(copy, text, len);
		for (uint64_t n = rng_below(&rng, 4) + 1; n > 0; n--)
			copy[rng_below(&rng, len)] = (char)rng_next(&rng);
		conf_parse(copy, len, &c);
		conf_free(c);
	}
	assert_int_equal(conf_parse(text, CONF_DOC_MAX_BYTES + 1, &c),
			 ERR_TOO_LARGE);
}

static void test_field_values_are_parsed(void **state)
{
	int64_t v;

	assert_int_equal(conf_field_parse(CF_CALL_DEADLINE, "3s", &v), ERR_OK);
	assert_int_equal(v, 3000);
	assert_int_equal(conf_field_parse(CF_CALL_DEADLINE, "9h", &v),
			 ERR_INVALID);
	assert_int_equal(conf_field_parse(CF_CALL_DEADLINE, "3d", &v),
			 ERR_PARSE);
	assert_int_equal(conf_field_parse(CF_QUEUE_MAX, "3s", &v), ERR_PARSE);
	assert_int_equal(conf_field_parse(CF_QUEUE_MAX, "", &v), ERR_PARSE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_scope_exception_precedence,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_refused_edit_changes_nothing, setup, teardown),
		cmocka_unit_test_setup_teardown(test_key_and_route_operations,
						setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_conflicting_edit_is_refused, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_base_older_than_history_is_refused, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_damaged_document_is_rejected, setup, teardown),
		cmocka_unit_test(test_field_values_are_parsed),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
