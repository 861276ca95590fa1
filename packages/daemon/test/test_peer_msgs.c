// Messages between daemons on the users' platform: packed messages read back
// the same, and damaged ones cause no crash or read out of bounds.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "base/msgpack_check.h"
#include "base/rng.h"
#include "job/handover_msg.h"
#include "job/home_msg.h"
#include "order/notice_msg.h"
#include "proxy_msg.h"
#include "room/room_msg.h"
#include "site/limit_msg.h"
#include "site/relay_msg.h"
#include "suspect/suspect_msg.h"
#include "support/mutate.h"

enum {
	DAMAGED_COPIES = 4000, ///< of each message, one byte changed
};

static struct arena msg_arena;
static msgpack_sbuffer buf;

static int setup(void **state)
{
	arena_init(&msg_arena, 0);
	msgpack_sbuffer_init(&buf);
	return 0;
}

static int teardown(void **state)
{
	arena_free(&msg_arena);
	msgpack_sbuffer_destroy(&buf);
	return 0;
}

/* Change one byte; truncate a quarter. */
static void read_with_byte_changed(void (*read)(const void *data, size_t len))
{
	struct rng rng = {buf.size};

	for (int i = 0; i < DAMAGED_COPIES; i++) {
		char *copy = malloc(buf.size);
		size_t len = buf.size;

		memcpy(copy, buf.data, len);
		copy[rng_below(&rng, len)] = (char)rng_next(&rng);
		if (rng_below(&rng, 4) == 0)
			len = 1 + rng_below(&rng, len);
		if (msgpack_is_valid(copy, len))
			read(copy, len);
		free(copy);
	}
}

/* Read damaged copies as the event loop does: only complete objects. */
static void read_damaged_copies(void (*read)(const void *data, size_t len))
{
	static const char number[] = "\xcf\xff\xff\xff\xff\xff\xff\xff\xff";
	static const char array[] = "\xdd\xff\xff\xff\xff";
	const struct mutate_bytes corpus[] = {
		{buf.data, buf.size},
		{number, sizeof(number) - 1},
		{array, sizeof(array) - 1},
	};
	int n_well_formed = 0;

	read_with_byte_changed(read);
	for (uint64_t seed = 1; seed <= MUTATE_SEEDS; seed++) {
		struct rng rng = {seed};

		for (int i = 0; i < MUTATIONS_PER_ENTRY; i++) {
			size_t len;
			char *copy = mutate(corpus, 3, 0, &rng, &len);

			if (msgpack_is_valid(copy, len)) {
				n_well_formed++;
				read(copy, len);
			}
			free(copy);
		}
	}
	/* Enough copies must reach the decoder. */
	assert_true(n_well_formed > MUTATE_SEEDS * MUTATIONS_PER_ENTRY / 50);
}

/* Strings must be terminated and bodies readable. */
static void read_every_byte(const char *text, const char *body, size_t len)
{
	volatile size_t sum = text ? strlen(text) : 0;

	for (size_t i = 0; i < len; i++)
		sum += (unsigned char)body[i];
}

static void read_home_ask(const void *data, size_t len)
{
	struct home_request ask;

	if (job_home_request_read(data, len, &msg_arena, &ask) != ERR_OK)
		return;
	assert_in_range(ask.kind, 0, HOME_END);
	read_every_byte(ask.addr, ask.body, ask.len);
	read_every_byte(ask.job, NULL, 0);
	read_every_byte(ask.item, NULL, 0);
	read_every_byte(ask.team, NULL, 0);
	read_every_byte(ask.host, NULL, 0);
	read_every_byte(ask.path, NULL, 0);
	assert_true(ask.wait_ms >= 0);
}

static void test_home_ask_round_trips_and_survives_damage(void **state)
{
	const struct home_request in = {
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
	struct home_request out;

	job_home_request_pack(&buf, &in);
	assert_int_equal(
		job_home_request_read(buf.data, buf.size, &msg_arena, &out),
		ERR_OK);
	assert_int_equal(out.seq, 7);
	assert_int_equal(out.kind, HOME_RESULTS);
	assert_string_equal(out.job, "b1");
	assert_string_equal(out.path, "/p");
	assert_int_equal(out.wait_ms, 300);
	assert_int_equal(out.len, 3);
	assert_memory_equal(out.body, "x\0y", 3);
	read_damaged_copies(read_home_ask);
}

static void read_home_reply(const void *data, size_t len)
{
	struct home_reply reply;

	if (job_home_reply_read(data, len, &msg_arena, &reply) != ERR_OK)
		return;
	read_every_byte(reply.ctype, reply.body, reply.len);
	assert_non_null(err_code(reply.err));
	assert_non_null(run_state_name(reply.run));
}

static void test_home_reply_round_trips_and_survives_damage(void **state)
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
	assert_int_equal(
		job_home_reply_read(buf.data, buf.size, &msg_arena, &out),
		ERR_OK);
	assert_int_equal(out.err, ERR_KV_DOWN);
	assert_int_equal(out.run, RUN_MAYBE);
	assert_int_equal(out.status, 202);
	read_damaged_copies(read_home_reply);
}

static void read_handover(const void *data, size_t len)
{
	struct handover h;

	handover_read(data, len, &msg_arena, &h);
}

static void test_handover_round_trips_and_survives_damage(void **state)
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
	assert_int_equal(handover_read(buf.data, buf.size, &msg_arena, &out),
			 ERR_OK);
	assert_string_equal(out.job, "b1");
	assert_int_equal(out.rev, 11);
	assert_string_equal(out.run, "r1");
	assert_string_equal(out.team, "t1");
	assert_int_equal(out.total, 24);
	assert_int_equal(out.at_ms, 1700000000000);
	assert_int_equal(out.age_ms, 12);
	read_damaged_copies(read_handover);
}

/* Revision 0 would write the owner key on condition that it does not exist. */
static void test_handover_without_revision_rejected(void **state)
{
	const struct handover in = {.job = "b1", .run = "r", .team = "t"};
	struct handover out;

	handover_pack(&buf, &in);
	assert_int_equal(handover_read(buf.data, buf.size, &msg_arena, &out),
			 ERR_PARSE);
}

static void read_proxy_ask(const void *data, size_t len)
{
	struct proxy_request ask;

	proxy_request_unpack(data, len, &msg_arena, &ask);
}

static void test_proxy_ask_round_trips_and_survives_damage(void **state)
{
	const struct proxy_request in = {
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
	struct proxy_request out = {0};

	proxy_request_pack(&buf, &in);
	assert_int_equal(
		proxy_request_unpack(buf.data, buf.size, &msg_arena, &out),
		ERR_OK);
	assert_int_equal(out.call.op, KV_PUT);
	assert_string_equal(out.call.key, "k");
	assert_null(out.call.from);
	assert_int_equal(out.call.len, 3);
	assert_memory_equal(out.call.value, "v\0w", 3);
	assert_int_equal(out.call.lease, 5);
	read_damaged_copies(read_proxy_ask);
}

static void read_proxy_reply(const void *data, size_t len)
{
	struct kv_result res;
	uint64_t seq;

	proxy_reply_unpack(data, len, &msg_arena, &seq, &res);
}

static void test_proxy_reply_round_trips_and_survives_damage(void **state)
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
	assert_int_equal(
		proxy_reply_unpack(buf.data, buf.size, &msg_arena, &seq, &out),
		ERR_OK);
	assert_int_equal(seq, 5);
	assert_int_equal(out.rev, 10);
	assert_true(out.more);
	assert_int_equal(out.n_items, 2);
	assert_string_equal(out.items[1].key, "b");
	assert_int_equal(out.items[1].rev, 9);
	assert_string_equal(out.deleted[0], "c");
	assert_int_equal(out.ttl_ms, 12);
	read_damaged_copies(read_proxy_reply);
}

static void read_relay_ask(const void *data, size_t len)
{
	struct relay_request q;

	if (relay_request_read(data, len, &q) == ERR_OK)
		assert_non_null(memchr(q.addr, '\0', sizeof(q.addr)));
}

static void test_relay_ask_round_trips_and_survives_damage(void **state)
{
	const struct relay_request in = {
		.seq = 2, .addr = "1.2.3.4:5", .revs = {1, 0, 99}};
	struct relay_request out;

	relay_request_pack(&buf, &in);
	assert_int_equal(relay_request_read(buf.data, buf.size, &out), ERR_OK);
	assert_string_equal(out.addr, "1.2.3.4:5");
	assert_int_equal(out.revs[2], 99);
	read_damaged_copies(read_relay_ask);
}

static void read_notice(const void *data, size_t len)
{
	struct order_notice n;

	order_notice_read(data, len, &msg_arena, &n);
}

static void test_order_notice_round_trips_and_survives_damage(void **state)
{
	const struct order_notice in = {.server = "i-1",
					.started_ms = 17,
					.model = "m",
					.version = 4,
					.since_sent_ms = 12,
					.state = SITE_ORDER_ACCEPTED};
	struct order_notice out;

	order_notice_pack(&buf, &in);
	assert_int_equal(
		order_notice_read(buf.data, buf.size, &msg_arena, &out),
		ERR_OK);
	assert_string_equal(out.server, "i-1");
	assert_string_equal(out.model, "m");
	assert_int_equal(out.started_ms, 17);
	assert_int_equal(out.version, 4);
	assert_int_equal(out.since_sent_ms, 12);
	assert_int_equal(out.state, SITE_ORDER_ACCEPTED);
	read_damaged_copies(read_notice);
}

static htab_handle find_server(void *ctx, const char *id, size_t len)
{
	return len == 2 && memcmp(id, "s1", 2) == 0 ? 77 : 0;
}

static void read_room_report(const void *data, size_t len)
{
	struct room_report rep;

	room_report_read(data, len, find_server, NULL, &rep);
}

static void test_room_report_round_trips_and_survives_damage(void **state)
{
	const struct room_msg_server_requests at[] = {{"s1", 8}, {"s2", 300}};
	const struct room_report in = {
		.process_start_ms = 1700000000000,
		.seq = 4,
		.sent_ms = 5000,
		.steps = {{.model = "m",
			   .step = 6,
			   .waiting = 40,
			   .running = 360,
			   .events_left = 7000,
			   .min_version = 5,
			   .due_in_ms = -1200}},
		.n_steps = 1,
	};
	static struct room_report out;

	room_report_pack(&buf, &in, at, 2);
	assert_int_equal(
		room_report_read(buf.data, buf.size, find_server, NULL, &out),
		ERR_OK);
	assert_int_equal(out.process_start_ms, in.process_start_ms);
	assert_int_equal(out.seq, 4);
	assert_int_equal(out.sent_ms, 5000);
	assert_int_equal(out.n_servers, 2);
	assert_int_equal(out.servers[0].server, 77);
	assert_int_equal(out.servers[0].running, 8);
	assert_int_equal(out.servers[1].server, 0);
	assert_int_equal(out.n_steps, 1);
	assert_memory_equal(&out.steps[0], &in.steps[0], sizeof(in.steps[0]));
	read_damaged_copies(read_room_report);
}

/* A report longer than the table must be rejected, not truncated. */
static void test_overlong_room_report_rejected(void **state)
{
	static struct room_msg_server_requests at[ROOM_SERVERS_MAX + 1];
	static struct room_report rep;

	for (size_t i = 0; i <= ROOM_SERVERS_MAX; i++)
		at[i] = (struct room_msg_server_requests){"s1", 1};
	room_report_pack(&buf, &rep, at, ROOM_SERVERS_MAX + 1);
	assert_int_equal(
		room_report_read(buf.data, buf.size, find_server, NULL, &rep),
		ERR_PARSE);
	msgpack_sbuffer_clear(&buf);
	rep = (struct room_report){0};
	room_report_pack(&buf, &rep, at, ROOM_SERVERS_MAX);
	assert_int_equal(
		room_report_read(buf.data, buf.size, find_server, NULL, &rep),
		ERR_OK);
	assert_int_equal(rep.n_servers, ROOM_SERVERS_MAX);
}

/* A relay's answer: one item and one deletion for each prefix. */
static void pack_news(void)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 5);
	msgpack_pack_uint64(&pk, 8);
	msgpack_pack_uint64(&pk, 20);
	msgpack_pack_true(&pk);
	msgpack_pack_uint64(&pk, 3000);
	msgpack_pack_array(&pk, RELAY_FEEDS);
	for (int i = 0; i < RELAY_FEEDS; i++) {
		msgpack_pack_array(&pk, 6);
		msgpack_pack_true(&pk);
		msgpack_pack_uint64(&pk, 40);
		msgpack_pack_false(&pk);
		msgpack_pack_uint64(&pk, 70);
		msgpack_pack_array(&pk, 1);
		msgpack_pack_array(&pk, 3);
		msgpack_pack_str_with_body(&pk, "a", 1);
		msgpack_pack_bin_with_body(&pk, "v\0w", 3);
		msgpack_pack_uint64(&pk, 69);
		msgpack_pack_array(&pk, 1);
		msgpack_pack_str_with_body(&pk, "b", 1);
	}
}

static void read_relay_news(const void *data, size_t len)
{
	struct relay_status word;
	struct relay_prefix_update parts[RELAY_FEEDS];

	if (relay_response_read(data, len, &msg_arena, &word, parts) != ERR_OK)
		return;
	assert_true(word.held_ms >= 0 && word.store_answers_ms >= 0);
	for (int i = 0; i < RELAY_FEEDS; i++) {
		const struct feed_update *n = &parts[i].news;

		assert_true(parts[i].age_ms >= 0);
		for (size_t k = 0; k < n->n_items; k++)
			read_every_byte(n->items[k].key, n->items[k].value,
					n->items[k].len);
		for (size_t k = 0; k < n->n_deleted; k++)
			read_every_byte(n->deleted[k], NULL, 0);
	}
}

static void test_relay_news_round_trips_and_survives_damage(void **state)
{
	struct relay_status word;
	struct relay_prefix_update parts[RELAY_FEEDS];

	pack_news();
	assert_int_equal(relay_response_read(buf.data, buf.size, &msg_arena,
					     &word, parts),
			 ERR_OK);
	assert_int_equal(word.held_ms, 20);
	assert_int_equal(parts[RELAY_FEEDS - 1].news.items[0].rev, 69);
	assert_string_equal(parts[0].news.deleted[0], "b");
	read_damaged_copies(read_relay_news);
}

static void read_limits(const void *data, size_t len)
{
	struct limit_msg_entry list[LIMIT_MSG_ENTRIES_MAX];
	size_t n;

	if (limit_msg_read(data, len, &msg_arena, list, &n) != ERR_OK)
		return;
	assert_true(n <= LIMIT_MSG_ENTRIES_MAX);
	for (size_t i = 0; i < n; i++) {
		read_every_byte(list[i].server, NULL, 0);
		assert_true(list[i].per_s >= 0 && list[i].wait_ms >= 0);
		assert_true(list[i].age_ms >= 0);
	}
}

static void test_limits_round_trip_and_survive_damage(void **state)
{
	const struct limit_msg_entry in[] = {
		{"i-1", 7, 2.5, 100, 3, 20.5, 421},
		{"i-2", 8, 0, 0, 0, 0, 0},
		{"i-3", 9, 0.0001, 0, 0, 0, 0},
	};
	struct limit_msg_entry out[LIMIT_MSG_ENTRIES_MAX];
	size_t n;

	limit_msg_pack(&buf, in, 3);
	assert_int_equal(
		limit_msg_read(buf.data, buf.size, &msg_arena, out, &n),
		ERR_OK);
	assert_int_equal(n, 3);
	assert_string_equal(out[0].server, "i-1");
	assert_int_equal(out[0].started_ms, 7);
	assert_true(out[0].per_s == 2.5 && out[0].wait_ms == 20.5);
	assert_true(out[0].count == 3 && out[0].interval_ms == 421);
	assert_true(out[1].per_s == 0);
	/* The smallest limit is still one. */
	assert_true(out[2].per_s > 0);
	read_damaged_copies(read_limits);
}

static void read_suspects(const void *data, size_t len)
{
	struct suspect_news list[SUSPECT_MSG_NEWS_MAX];
	size_t n;

	if (suspect_msg_read(data, len, &msg_arena, list, &n) != ERR_OK)
		return;
	assert_true(n <= SUSPECT_MSG_NEWS_MAX);
	for (size_t i = 0; i < n; i++) {
		read_every_byte(list[i].server, NULL, 0);
		assert_in_range(list[i].kind, 0, SUSPECT_NEWS_KINDS - 1);
		assert_true(list[i].age_ms >= 0 && list[i].seen_age_ms >= 0);
	}
}

static void test_suspects_round_trip_and_survive_damage(void **state)
{
	const struct suspect_news in[] = {
		{SUSPECT_NEWS_ENDED, {1, 2}, "i-1", 7, 10, 20},
		{SUSPECT_NEWS_BARRED, {UINT64_MAX, 3}, "", 0, 0, 30},
	};
	struct suspect_news out[SUSPECT_MSG_NEWS_MAX];
	size_t n;

	suspect_msg_pack(&buf, in, 2);
	assert_int_equal(
		suspect_msg_read(buf.data, buf.size, &msg_arena, out, &n),
		ERR_OK);
	assert_int_equal(n, 2);
	assert_int_equal(out[0].kind, SUSPECT_NEWS_ENDED);
	assert_string_equal(out[0].server, "i-1");
	assert_int_equal(out[0].started_ms, 7);
	assert_int_equal(out[0].age_ms, 10);
	assert_true(suspect_same(out[1].id, in[1].id));
	assert_int_equal(out[1].seen_age_ms, 30);
	read_damaged_copies(read_suspects);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			test_home_ask_round_trips_and_survives_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_home_reply_round_trips_and_survives_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_handover_round_trips_and_survives_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_handover_without_revision_rejected, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_proxy_ask_round_trips_and_survives_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_proxy_reply_round_trips_and_survives_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_relay_ask_round_trips_and_survives_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_order_notice_round_trips_and_survives_damage,
			setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_room_report_round_trips_and_survives_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_overlong_room_report_rejected, setup, teardown),
		cmocka_unit_test_setup_teardown(
			test_limits_round_trip_and_survive_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_suspects_round_trip_and_survive_damage, setup,
			teardown),
		cmocka_unit_test_setup_teardown(
			test_relay_news_round_trips_and_survives_damage, setup,
			teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
