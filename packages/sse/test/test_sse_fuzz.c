// Mutated streams: the parsed events do not depend on how the bytes are cut into
// pieces, and they never hold more bytes than were fed.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "sse/sse.h"
#include "support/mutate.h"

#define ENTRY(text)                    \
	{                              \
		text, sizeof(text) - 1 \
	}

static const struct mutate_bytes corpus[] = {
	ENTRY("x-version: 3\nid: 1\ndata: a\n\n"),
	ENTRY("id: 2\r\ndata: b\r\ndata: c\r\n\r\nid:3\r\ndata\r\n\r\n"),
	ENTRY(": comment\n\n: more\nretry: 100\nevent: token\nid: 4\ndata:\n\n"),
	ENTRY("id: 18446744073709551615\nx-version: 18446744073709551616\n"
	      "data: {\"t\":\"\xc3\xa9\"}\n\n"),
	ENTRY("\xef\xbb\xbfid: 0007\nid: x\ndata: y\rdata: z\r\r\n\n"),
};

enum {
	CORPUS = sizeof(corpus) / sizeof(*corpus),
};

/* Counts and hash (FNV-1a) of the events seen. */
struct seen {
	size_t n;
	size_t bytes;
	uint64_t hash;
};

static void hash_add(struct seen *s, const void *data, size_t len)
{
	const unsigned char *p = data;

	for (size_t i = 0; i < len; i++)
		s->hash = (s->hash ^ p[i]) * UINT64_C(1099511628211);
}

static bool on_event(void *ctx, const struct sse_event *ev)
{
	struct seen *s = ctx;

	s->n++;
	s->bytes += ev->len;
	hash_add(s, &ev->id, sizeof(ev->id));
	hash_add(s, &ev->extra, sizeof(ev->extra));
	hash_add(s, &ev->len, sizeof(ev->len));
	hash_add(s, ev->data, ev->len);
	return true;
}

/* @param piece_rng  random lengths of the pieces; NULL: all bytes at once */
static struct seen feed(const char *data, size_t len, struct rng *piece_rng,
			bool *clean)
{
	struct seen seen = {0};
	const struct sse_opts opts = {
		.extra_field = "x-version",
		.on_event = on_event,
		.ctx = &seen,
	};
	struct sse s;

	sse_init(&s, &opts);
	for (size_t pos = 0; pos < len;) {
		size_t n = piece_rng ? 1 + rng_below(piece_rng, 9) : len;

		n = n < len - pos ? n : len - pos;
		assert_int_equal(sse_feed(&s, data + pos, n), ERR_OK);
		pos += n;
	}
	*clean = sse_at_event_end(&s);
	sse_free(&s);
	return seen;
}

static void test_events_independent_of_cuts(void **state)
{
	for (uint64_t seed = 1; seed <= MUTATE_SEEDS; seed++) {
		struct rng rng = {seed};

		for (size_t i = 0; i < CORPUS * MUTATIONS_PER_ENTRY; i++) {
			size_t len;
			char *data =
				mutate(corpus, CORPUS, i % CORPUS, &rng, &len);
			bool clean, clean_cut;
			struct seen whole = feed(data, len, NULL, &clean);
			struct seen cut = feed(data, len, &rng, &clean_cut);

			if (whole.n != cut.n || whole.hash != cut.hash ||
			    clean != clean_cut || whole.bytes > len)
				fail_msg("seed %d, mutation %zu", (int)seed, i);
			free(data);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_events_independent_of_cuts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
