// Malformed messages and batches are rejected with an error code.
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "base/rng.h"
#include "rollout/batch_json.h"
#include "rollout/rollout.h"

enum {
	MUTANTS = 4000,
	MESSAGES = 16,
};

static const char batch_text[] =
	"{\"batch\":\"b\",\"trainer\":\"t\",\"step\":1,\"version\":1,"
	"\"max_staleness\":1,\"route\":\"r\",\"groups\":[{\"group\":\"g\","
	"\"prompt\":[1,2,3],\"n\":4,\"max_tokens\":9}]}";

struct message {
	enum rollout_msg type;
	void *buf;
	size_t len;
};

static struct rollout *node_new(const char *id)
{
	struct rollout_opts opts = {
		.request_timeout_ms = 1000,
		.sched = {.max_runs = 8, .max_queued = 8, .stall_ms = 1000},
	};
	struct rollout_member peer = {.domain = "d2", .alive = true};
	struct rollout *r;

	snprintf(opts.node, sizeof(opts.node), "%s", id);
	snprintf(opts.inc, sizeof(opts.inc), "i-%s", id);
	snprintf(peer.id, sizeof(peer.id), "%s", id[1] == '1' ? "n2" : "n1");
	r = rollout_new(&opts);
	rollout_set_members(r, &peer, 1);
	return r;
}

/* Messages that a node sends when it accepts a batch. */
static size_t record_messages(struct message *out)
{
	struct rollout *r = node_new("n1");
	struct rollout_action *a;
	struct batch *b = NULL;
	const char *why;
	size_t n = 0;

	assert_int_equal(batch_parse(batch_text, strlen(batch_text), &b, &why),
			 ERR_OK);
	rollout_post(r, 1, b, 10);
	while ((a = rollout_next(r))) {
		struct rollout_kv kv = {.call = a->call, .err = ERR_NOT_FOUND};

		if (a->kind == ROLLOUT_KV_GET)
			rollout_kv_done(r, &kv, 20);
		if (a->kind == ROLLOUT_SEND && n < MESSAGES) {
			out[n++] = (struct message){a->msg, a->buf, a->len};
			a->buf = NULL;
		}
		rollout_action_free(a);
	}
	rollout_free(r);
	return n;
}

static void test_malformed_messages_are_rejected(void **state)
{
	struct message m[MESSAGES];
	size_t n = record_messages(m);
	struct rollout *r = node_new("n2");
	struct rng rng = {5};
	int refused = 0;

	if (n == 0) {
		fail_msg("no message was recorded");
		return;
	}
	for (int i = 0; i < MUTANTS; i++) {
		const struct message *o = &m[rng_below(&rng, n)];
		size_t len = 1 + rng_below(&rng, o->len);
		char *buf = malloc(len);

		memcpy(buf, o->buf, len);
		for (int k = 0; k < 3; k++)
			buf[rng_below(&rng, len)] = (char)rng_next(&rng);
		refused += rollout_recv(r, "n1", 1,
					(enum rollout_msg)rng_below(
						&rng, ROLLOUT_MSG_COUNT),
					buf, len, i) != ERR_OK;
		free(buf);
	}
	print_message("%d of %d refused\n", refused, MUTANTS);
	assert_true(refused > MUTANTS / 2);
	rollout_free(r);
	for (size_t i = 0; i < n; i++)
		free(m[i].buf);
}

static void test_malformed_batches_are_rejected(void **state)
{
	struct rng rng = {6};
	int refused = 0;

	for (int i = 0; i < MUTANTS; i++) {
		size_t len = 1 + rng_below(&rng, strlen(batch_text));
		char *text = strndup(batch_text, len);
		struct batch *b = NULL;
		const char *why = NULL;
		enum err e;

		text[rng_below(&rng, len)] = (char)rng_next(&rng);
		e = batch_parse(text, len, &b, &why);
		assert_true(e == ERR_OK || why != NULL);
		refused += e != ERR_OK;
		if (e == ERR_OK)
			batch_free(b);
		free(text);
	}
	assert_true(refused > MUTANTS / 2);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_malformed_messages_are_rejected),
		cmocka_unit_test(test_malformed_batches_are_rejected),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
