// A stream cut into pieces at any byte yields the same complete events in order.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "sse/sse.h"

struct seen {
	int n;
	uint64_t id[8];
	uint64_t extra[8];
	char data[8][64];
	int stop_after; ///< events, 0 for all
};

static bool on_event(void *ctx, const struct sse_event *ev)
{
	struct seen *s = ctx;

	s->id[s->n] = ev->id;
	s->extra[s->n] = ev->extra;
	memcpy(s->data[s->n], ev->data, ev->len);
	s->data[s->n][ev->len] = '\0';
	s->n++;
	return !s->stop_after || s->n < s->stop_after;
}

static void start(struct sse *s, struct seen *seen)
{
	const struct sse_opts opts = {
		.extra_field = "x-version",
		.on_event = on_event,
		.ctx = seen,
	};

	memset(seen, 0, sizeof(*seen));
	sse_init(s, &opts);
}

static const char stream[] = "x-version: 3\nid: 1\ndata: a\n\n"
			     "id: 2\r\ndata: b\r\ndata: c\r\n\r\n"
			     ": comment\nid:3\ndata:\n\n";

/* A cut at any byte, also within a line end or a field, gives the same events. */
static void test_any_cut_gives_same_events(void **state)
{
	size_t len = sizeof(stream) - 1;

	for (size_t cut = 0; cut <= len; cut++) {
		struct seen seen;
		struct sse s;

		start(&s, &seen);
		assert_int_equal(sse_feed(&s, stream, cut), ERR_OK);
		assert_int_equal(sse_feed(&s, stream + cut, len - cut), ERR_OK);
		assert_true(sse_at_event_end(&s));
		assert_int_equal(seen.n, 3);
		assert_int_equal(seen.extra[0], 3);
		assert_int_equal(seen.extra[1], 0);
		assert_string_equal(seen.data[0], "a");
		assert_string_equal(seen.data[1], "b\nc");
		assert_string_equal(seen.data[2], "");
		assert_int_equal(seen.id[2], 3);
		sse_free(&s);
	}
}

/* The server closes in the middle of an event: the partial event is not delivered. */
static void test_partial_event_not_delivered(void **state)
{
	static const char text[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n";
	struct seen seen;
	struct sse s;

	start(&s, &seen);
	assert_int_equal(sse_feed(&s, text, sizeof(text) - 1), ERR_OK);
	assert_int_equal(seen.n, 1);
	assert_false(sse_at_event_end(&s));
	sse_free(&s);
}

static void test_stops_when_handler_returns_false(void **state)
{
	struct seen seen;
	struct sse s;

	start(&s, &seen);
	seen.stop_after = 1;
	assert_int_equal(sse_feed(&s, stream, sizeof(stream) - 1), ERR_OK);
	assert_int_equal(seen.n, 1);
	sse_free(&s);
}

static void test_oversized_line_is_refused(void **state)
{
	struct seen seen;
	struct sse s;
	char *big = malloc(SSE_EVENT_MAX_BYTES + 16);

	start(&s, &seen);
	memset(big, 'x', SSE_EVENT_MAX_BYTES + 16);
	assert_int_equal(sse_feed(&s, big, SSE_EVENT_MAX_BYTES + 16),
			 ERR_TOO_LARGE);
	sse_free(&s);
	free(big);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_any_cut_gives_same_events),
		cmocka_unit_test(test_partial_event_not_delivered),
		cmocka_unit_test(test_stops_when_handler_returns_false),
		cmocka_unit_test(test_oversized_line_is_refused),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
