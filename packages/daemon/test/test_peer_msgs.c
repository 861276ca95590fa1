// Messages between daemons on the users' platform: what is packed is read back,
// and damaged bytes are refused whole.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/packed.h"
#include "base/rng.h"
#include "job/handover_msg.h"
#include "job/home_msg.h"
#include "proxy_msg.h"
#include "site/relay_msg.h"

enum {
	DAMAGES = 4000, ///< damaged copies of each message
};

static struct arena a;
static msgpack_sbuffer buf;

static int setup(void **state)
{
	arena_init(&a, 0);
	msgpack_sbuffer_init(&buf);
	return 0;
}

static int teardown(void **state)
{
	arena_free(&a);
	msgpack_sbuffer_destroy(&buf);
	return 0;
}

/* Read damaged copies, as the loop would: only what is one whole object. */
static void damage(void (*read)(const void *data, size_t len))
{
	struct rng rng = {buf.size};

	for (int i = 0; i < DAMAGES; i++) {
		char *copy = malloc(buf.size);
		size_t len = buf.size;

		memcpy(copy, buf.data, len);
		copy[rng_below(&rng, len)] = (char)rng_next(&rng);
		if (rng_below(&rng, 4) == 0)
			len = 1 + rng_below(&rng, len);
		if (packed_ok(copy, len))
			read(copy, len);
		free(copy);
	}
}

static void read_home_ask(const void *data, size_t len)
{
	struct home_ask ask;

	job_home_ask_read(data, len, &a, &ask);
}

static void test_home_ask(void **state)
{
	const struct home_ask in = {
		.seq = 7,
		.kind = HOME_RESULTS,
		.addr = "1.2.3.4:5",
		.job = "b1",
		.item = "i1",
		.team = "t1",
		.host = "h1",
		.path = "/p",
		.after = 12,
		.wait_ms = 300,
		.body = "x\0y",
		.len = 3,
	};
	struct home_ask out;

	job_home_ask_pack(&buf, &in);
	assert_int_equal(job_home_ask_read(buf.data, buf.size, &a, &out),
			 ERR_OK);
	assert_int_equal(out.seq, 7);
	assert_int_equal(out.kind, HOME_RESULTS);
	assert_string_equal(out.job, "b1");
	assert_string_equal(out.path, "/p");
	assert_int_equal(out.wait_ms, 300);
	assert_int_equal(out.len, 3);
	assert_memory_equal(out.body, "x\0y", 3);
	damage(read_home_ask);
}

static void read_home_reply(const void *data, size_t len)
{
	struct home_reply reply;

	job_home_reply_read(data, len, &a, &reply);
}

static void test_home_reply(void **state)
{
	const struct home_reply in = {
		.seq = 9,
		.err = ERR_KV_DOWN,
		.run = RUN_MAYBE,
		.status = 202,
		.ctype = "c",
		.body = "b",
		.len = 1,
	};
	struct home_reply out;

	job_home_reply_pack(&buf, &in);
	assert_int_equal(job_home_reply_read(buf.data, buf.size, &a, &out),
			 ERR_OK);
	assert_int_equal(out.err, ERR_KV_DOWN);
	assert_int_equal(out.run, RUN_MAYBE);
	assert_int_equal(out.status, 202);
	damage(read_home_reply);
}

static void read_handover(const void *data, size_t len)
{
	struct handover h;

	handover_read(data, len, &a, &h);
}

static void test_handover(void **state)
{
	const struct handover in = {
		.job = "b1",
		.rev = 11,
		.run = "r1",
		.team = "t1",
		.total = 24,
		.at_ms = 1700000000000,
		.age_ms = 12,
	};
	struct handover out;

	handover_pack(&buf, &in);
	assert_int_equal(handover_read(buf.data, buf.size, &a, &out), ERR_OK);
	assert_string_equal(out.job, "b1");
	assert_int_equal(out.rev, 11);
	assert_string_equal(out.run, "r1");
	assert_string_equal(out.team, "t1");
	assert_int_equal(out.total, 24);
	assert_int_equal(out.at_ms, 1700000000000);
	assert_int_equal(out.age_ms, 12);
	damage(read_handover);
}

/* Guards against a write of an owner key that must not exist. */
static void test_handover_without_revision(void **state)
{
	const struct handover in = {.job = "b1", .run = "r", .team = "t"};
	struct handover out;

	handover_pack(&buf, &in);
	assert_int_equal(handover_read(buf.data, buf.size, &a, &out),
			 ERR_PARSE);
}

static void read_proxy_ask(const void *data, size_t len)
{
	struct proxy_ask ask;

	proxy_ask_read(data, len, &a, &ask);
}

static void test_proxy_ask(void **state)
{
	const struct proxy_ask in = {
		.seq = 3,
		.addr = "1.2.3.4:5",
		.call = {.op = KV_PUT,
			 .key = "k",
			 .value = "v\0w",
			 .len = 3,
			 .rev = 4,
			 .lease = 5,
			 .ms = 6},
	};
	struct proxy_ask out = {0};

	proxy_ask_pack(&buf, &in);
	assert_int_equal(proxy_ask_read(buf.data, buf.size, &a, &out), ERR_OK);
	assert_int_equal(out.call.op, KV_PUT);
	assert_string_equal(out.call.key, "k");
	assert_null(out.call.from);
	assert_int_equal(out.call.len, 3);
	assert_memory_equal(out.call.value, "v\0w", 3);
	assert_int_equal(out.call.lease, 5);
	damage(read_proxy_ask);
}

static void read_proxy_reply(const void *data, size_t len)
{
	struct kv_result res;
	uint64_t seq;

	proxy_reply_read(data, len, &a, &seq, &res);
}

static void test_proxy_reply(void **state)
{
	const struct kv_item items[] = {{"a", "1", 1, 8}, {"b", "", 0, 9}};
	const char *const deleted[] = {"c"};
	const struct kv_result in = {
		.err = ERR_OK,
		.rev = 10,
		.items = items,
		.n_items = 2,
		.more = true,
		.deleted = deleted,
		.n_deleted = 1,
		.lease = 11,
		.ttl_ms = 12,
	};
	struct kv_result out;
	uint64_t seq;

	proxy_reply_pack(&buf, 5, &in);
	assert_int_equal(proxy_reply_read(buf.data, buf.size, &a, &seq, &out),
			 ERR_OK);
	assert_int_equal(seq, 5);
	assert_int_equal(out.rev, 10);
	assert_true(out.more);
	assert_int_equal(out.n_items, 2);
	assert_string_equal(out.items[1].key, "b");
	assert_int_equal(out.items[1].rev, 9);
	assert_string_equal(out.deleted[0], "c");
	assert_int_equal(out.ttl_ms, 12);
	damage(read_proxy_reply);
}

static void read_relay_ask(const void *data, size_t len)
{
	struct relay_question q;

	relay_ask_read(data, len, &q);
}

static void test_relay_ask(void **state)
{
	const struct relay_question in = {
		.seq = 2, .addr = "1.2.3.4:5", .revs = {1, 0, 99}};
	struct relay_question out;

	relay_ask_pack(&buf, &in);
	assert_int_equal(relay_ask_read(buf.data, buf.size, &out), ERR_OK);
	assert_string_equal(out.addr, "1.2.3.4:5");
	assert_int_equal(out.revs[2], 99);
	damage(read_relay_ask);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_home_ask, setup, teardown),
		cmocka_unit_test_setup_teardown(test_home_reply, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_handover, setup, teardown),
		cmocka_unit_test_setup_teardown(test_handover_without_revision,
						setup, teardown),
		cmocka_unit_test_setup_teardown(test_proxy_ask, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_proxy_reply, setup,
						teardown),
		cmocka_unit_test_setup_teardown(test_relay_ask, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
