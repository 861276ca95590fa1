// Log lines: valid JSON, typed fields, rate limit, and no blocking on a slow reader.
#include <fcntl.h>
#include <jansson.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <setjmp.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#include "base/log.h"

static int saved_out;
static int pipe_fds[2];

static int setup(void **state)
{
	log_setup("test", "n1", LOG_DEBUG);
	saved_out = dup(STDOUT_FILENO);
	assert_int_equal(pipe(pipe_fds), 0);
	dup2(pipe_fds[1], STDOUT_FILENO);
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
	return 0;
}

static int teardown(void **state)
{
	dup2(saved_out, STDOUT_FILENO);
	close(saved_out);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	return 0;
}

/* Next line written, parsed; NULL if there is none. */
static json_t *next_line(void)
{
	char line[8192];
	size_t n = 0;

	while (n + 1 < sizeof(line) && read(pipe_fds[0], line + n, 1) == 1) {
		if (line[n] == '\n')
			return json_loadb(line, n, 0, NULL);
		n++;
	}
	return NULL;
}

static void next_second(void)
{
	time_t t = time(NULL);
	struct timespec ts = {0, 5000000};

	while (time(NULL) == t)
		nanosleep(&ts, NULL);
}

static void test_fields(void **state)
{
	json_t *obj;

	next_second();
	log_event(EV_START, "a=1 b=two c=\"three four\" d=007 e=http://x/?y=1 "
			    "f=-5 g=last words");
	obj = next_line();
	assert_non_null(obj);
	assert_string_equal(json_string_value(json_object_get(obj, "event")),
			    "start");
	assert_string_equal(json_string_value(json_object_get(obj, "node")),
			    "n1");
	assert_int_equal(json_integer_value(json_object_get(obj, "a")), 1);
	assert_string_equal(json_string_value(json_object_get(obj, "b")),
			    "two");
	assert_string_equal(json_string_value(json_object_get(obj, "c")),
			    "three four");
	assert_string_equal(json_string_value(json_object_get(obj, "d")),
			    "007");
	assert_string_equal(json_string_value(json_object_get(obj, "e")),
			    "http://x/?y=1");
	assert_int_equal(json_integer_value(json_object_get(obj, "f")), -5);
	assert_string_equal(json_string_value(json_object_get(obj, "g")),
			    "last words");
	json_decref(obj);
}

static const char *string_field(const json_t *obj, const char *key)
{
	return json_string_value(json_object_get(obj, key));
}

/* Guards against a field that overwrites a key that every line has: such lines were
 * attributed to the wrong event or node. */
static void test_fields_cannot_replace_line_keys(void **state)
{
	static const char *const keys[] = {
		"time", "level", "num", "event", "node", "program",
	};
	json_t *obj;

	next_second();
	log_event(EV_START, "time=x level=x num=x event=x node=x program=x "
			    "a=first a=second");
	obj = next_line();
	assert_non_null(obj);
	for (size_t i = 0; i < sizeof(keys) / sizeof(*keys); i++) {
		char name[32];

		snprintf(name, sizeof(name), "field_%s", keys[i]);
		assert_string_equal(string_field(obj, name), "x");
	}
	assert_string_equal(string_field(obj, "level"), "notice");
	assert_int_equal(json_integer_value(json_object_get(obj, "num")),
			 EV_START);
	assert_string_equal(string_field(obj, "event"), "start");
	assert_string_equal(string_field(obj, "node"), "n1");
	assert_string_equal(string_field(obj, "program"), "test");
	assert_string_equal(string_field(obj, "a"), "first");
	assert_string_equal(string_field(obj, "field_a"), "second");
	json_decref(obj);
}

static void test_invalid_utf8_is_logged(void **state)
{
	json_t *obj;

	log_event(EV_START, "path=%s", "a\"b\\\n\xff");
	obj = next_line();
	assert_non_null(obj);
	assert_non_null(json_object_get(obj, "path"));
	json_decref(obj);
}

/* Lines of an event over its rate limit are counted instead of written. */
static void test_rate_limit_counts_lines(void **state)
{
	json_t *obj;
	int lines = 0;
	json_int_t over_limit = 0;

	next_second();
	for (int i = 0; i < 120; i++)
		log_event(EV_DRAIN, "i=%d", i);
	next_second();
	log_event(EV_STOP, "x=1");
	while ((obj = next_line())) {
		const char *event =
			json_string_value(json_object_get(obj, "event"));

		lines += strcmp(event, "drain") == 0;
		if (strcmp(event, "log-left-out") == 0)
			over_limit += json_integer_value(
				json_object_get(obj, "over_budget"));
		json_decref(obj);
	}
	assert_int_equal(lines + over_limit, 120);
	assert_true(over_limit > 0);
}

/* With a full pipe the writer doesn't block and counts the lines not written. */
static void test_full_pipe_counts_lines(void **state)
{
	char buf[65536];
	json_t *obj;
	json_int_t no_room = 0;

	next_second();
	for (int i = 0; i < 4000; i++)
		log_event(EV_FATAL, "i=%d pad=%0200d", i, i);
	while (read(pipe_fds[0], buf, sizeof(buf)) > 0)
		;
	next_second();
	log_event(EV_STOP, "x=1");
	while ((obj = next_line())) {
		no_room += json_integer_value(json_object_get(obj, "no_room"));
		json_decref(obj);
	}
	assert_true(no_room > 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_fields, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_fields_cannot_replace_line_keys, setup, teardown),
		cmocka_unit_test_setup_teardown(test_invalid_utf8_is_logged,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_rate_limit_counts_lines,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_full_pipe_counts_lines,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
