// Tests of creating, parsing and checking keys.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "key/key.h"

static void test_new_key_matches_its_record(void **state)
{
	char text[KEY_TEXT_LEN + 1];
	char other[KEY_TEXT_LEN + 1];
	char id[KEY_ID_LEN + 1];
	struct key_record rec, rec2;

	assert_int_equal(key_generate(&rec, text), ERR_OK);
	assert_int_equal(key_generate(&rec2, other), ERR_OK);
	assert_int_equal(strlen(text), KEY_TEXT_LEN);
	assert_int_equal(key_id(text, id), ERR_OK);
	assert_string_equal(id, rec.id);
	assert_true(key_verify(&rec, text));
	assert_false(key_verify(&rec, other));
	text[KEY_TEXT_LEN - 2] ^= 1;
	assert_false(key_verify(&rec, text));
}

static void test_malformed_is_rejected(void **state)
{
	static const char *const bad[] = {
		"x",
		"ck_",
		"ck_abcdefghijkl",
		"ck__",
		"xx_abcdefghijkl_0123456789012345678901234567890123456789012",
		"ck_abcdefghi/kl_0123456789012345678901234567890123456789012",
		"ck_abcdefghijkl_01234567890123456789012345678901234567890123",
	};
	char id[KEY_ID_LEN + 1];

	assert_int_equal(key_id(NULL, id), ERR_KEY_MISSING);
	assert_int_equal(key_id("", id), ERR_KEY_MISSING);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		assert_int_equal(key_id(bad[i], id), ERR_KEY_UNKNOWN);
}

static void test_damaged_record_is_rejected(void **state)
{
	char text[KEY_TEXT_LEN + 1];
	struct key_record rec;

	assert_int_equal(key_generate(&rec, text), ERR_OK);
	rec.hash[5] = 'x';
	assert_false(key_verify(&rec, text));
	assert_false(key_record_valid("00", rec.hash));
	assert_false(key_record_valid(NULL, NULL));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_new_key_matches_its_record),
		cmocka_unit_test(test_malformed_is_rejected),
		cmocka_unit_test(test_damaged_record_is_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
