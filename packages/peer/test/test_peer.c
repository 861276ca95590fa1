// Messages between transports; stop() frees unread ones.
#include <poll.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include <cmocka.h>

#include "base/clock.h"
#include "base/mbox.h"
#include "peer/peer.h"
#include "support/link.h"

enum {
	MBOX_CAPACITY = 256,
	MESSAGES = 20,
	RECV_TIMEOUT_MS = 10000, ///< for a message over loopback
	RESEND_MS = 20,
	PORT = 7990,
	LINK_PORT = 7991,
	CUT_MS = 5500, ///< a failure domain is cut off
	/// A read waits so long for a home, its own wait included.
	RETURN_MS = 1450,
	RUN_OF_FIRST = 4711, ///< plus the endpoint's number
};

struct endpoint {
	struct mbox *inbox;
	struct peer_edge *edge;
	char addr[64];
};

static void endpoint_start(struct endpoint *e, const char *node, int host)
{
	struct peer_opts opts = {
		.node = node,
		.run = (uint64_t)(RUN_OF_FIRST + host),
		.max_unread = PEER_MSG_MAX,
	};

	snprintf(e->addr, sizeof(e->addr), "127.77.%d.%d:%d",
		 (int)(getpid() & 0xff), host, PORT);
	e->inbox = mbox_new(MBOX_CAPACITY);
	opts.listen = e->addr;
	opts.events = e->inbox;
	assert_int_equal(peer_zmq_ops.start(&opts, &e->edge), ERR_OK);
}

static void endpoint_stop(struct endpoint *e)
{
	peer_zmq_ops.stop(e->edge);
	mbox_free(e->inbox);
}

static bool readable(struct endpoint *e, int wait_ms)
{
	struct pollfd p = {.fd = mbox_fd(e->inbox), .events = POLLIN};

	return poll(&p, 1, wait_ms) == 1;
}

/* Take all messages that wait. */
static void take_all(struct endpoint *e)
{
	struct peer_msg *m;

	mbox_clear(e->inbox);
	while ((m = mbox_get(e->inbox)))
		peer_zmq_ops.msg_free(e->edge, m);
}

static void send_to_a(struct endpoint *from)
{
	assert_int_equal(peer_zmq_ops.send(from->edge, "a", 0, 7, "text", 4),
			 ERR_OK);
}

static void test_stop_frees_unread_messages(void **state)
{
	struct endpoint a, b;
	struct peer_msg *m;

	endpoint_start(&a, "a", 1);
	endpoint_start(&b, "b", 2);
	assert_int_equal(peer_zmq_ops.add(b.edge, "a", a.addr), ERR_OK);
	/* Messages are dropped until the connection is established. */
	for (int i = 0;
	     i < RECV_TIMEOUT_MS / RESEND_MS && !readable(&a, RESEND_MS); i++)
		send_to_a(&b);
	mbox_clear(a.inbox);
	m = mbox_get(a.inbox);
	assert_non_null(m);
	assert_string_equal(m->from, "b");
	assert_int_equal(m->type, 7);
	assert_int_equal(m->len, 4);
	assert_memory_equal(m->data, "text", 4);
	peer_zmq_ops.msg_free(a.edge, m);
	for (int i = 0; i < MESSAGES; i++)
		send_to_a(&b);
	assert_true(readable(&a, RECV_TIMEOUT_MS));
	endpoint_stop(&b);
	/* The leak sanitizer fails the program if messages leak. */
	endpoint_stop(&a);
}

/* First message that arrives, NULL after RECV_TIMEOUT_MS. */
static struct peer_msg *take_one(struct endpoint *e)
{
	if (!readable(e, RECV_TIMEOUT_MS))
		return NULL;
	mbox_clear(e->inbox);
	return mbox_get(e->inbox);
}

/* A reply to a process that was killed was taken by the next one of its node. */
static void test_messages_name_both_processes(void **state)
{
	static const uint64_t meant_for[] = {0, 0x1122334455667788};
	struct endpoint a, b;

	endpoint_start(&a, "a", 1);
	endpoint_start(&b, "b", 2);
	assert_int_equal(peer_zmq_ops.add(b.edge, "a", a.addr), ERR_OK);
	/* A second connection of one process: its id must differ. */
	assert_int_equal(peer_zmq_ops.add(b.edge, "a", a.addr), ERR_OK);
	while (!readable(&a, RESEND_MS))
		send_to_a(&b);
	take_all(&a);
	for (int i = 0; i < 2; i++) {
		struct peer_msg *m;

		assert_int_equal(peer_zmq_ops.send(b.edge, "a", meant_for[i], 8,
						   "text", 4),
				 ERR_OK);
		while ((m = take_one(&a)) && m->type != 8)
			peer_zmq_ops.msg_free(a.edge, m);
		if (!m) {
			fail();
			return;
		}
		assert_string_equal(m->from, "b");
		assert_true(m->run == RUN_OF_FIRST + 2);
		assert_true(m->to_run == meant_for[i]);
		assert_int_equal(m->len, 4);
		peer_zmq_ops.msg_free(a.edge, m);
	}
	endpoint_stop(&b);
	endpoint_stop(&a);
}

/* A connection that broke off at its sender only comes back with its routing id; the
 * receiver refused it as long as it took the first one for alive. */
static void
test_reconnected_peer_is_heard_beside_its_old_connection(void **state)
{
	static const char id[] = "R12345678abcd";
	void *zmq = zmq_ctx_new();
	void *socks[2];
	struct endpoint a;
	char url[80];

	endpoint_start(&a, "a", 1);
	snprintf(url, sizeof(url), "tcp://%s", a.addr);
	for (int i = 0; i < 2; i++) {
		struct peer_msg *m;

		socks[i] = zmq_socket(zmq, ZMQ_DEALER);
		zmq_setsockopt(socks[i], ZMQ_ROUTING_ID, id, sizeof(id) - 1);
		assert_int_equal(zmq_connect(socks[i], url), 0);
		zmq_send(socks[i], "b", 1, ZMQ_SNDMORE);
		zmq_send(socks[i], "\0\0\0\7", 4, ZMQ_SNDMORE);
		zmq_send(socks[i], "text", 4, 0);
		m = take_one(&a);
		assert_non_null(m);
		peer_zmq_ops.msg_free(a.edge, m);
	}
	endpoint_stop(&a);
	for (int i = 0; i < 2; i++) {
		int zero = 0;

		zmq_setsockopt(socks[i], ZMQ_LINGER, &zero, sizeof(zero));
		zmq_close(socks[i]);
	}
	zmq_ctx_term(zmq);
}

/* Send until a message arrives; false after timeout_ms. */
static bool reaches_a(struct endpoint *a, struct endpoint *b, int timeout_ms)
{
	int64_t end_ms = clock_now_ms() + timeout_ms;

	take_all(a);
	while (clock_now_ms() < end_ms) {
		send_to_a(b);
		if (readable(a, RESEND_MS))
			return true;
	}
	return false;
}

/* Load pattern: a failure domain is cut off for seconds and returns. Connections from
 * before stay dead, and callers' reads that were sent on them timed out one by one. */
static void test_peer_is_reached_after_cut(void **state)
{
	struct endpoint a, b;
	struct link *link;
	char ip[64], addr[80];

	endpoint_start(&a, "a", 1);
	endpoint_start(&b, "b", 2);
	snprintf(ip, sizeof(ip), "127.77.%d.3", (int)(getpid() & 0xff));
	snprintf(addr, sizeof(addr), "%s:%d", ip, LINK_PORT);
	*strchr(a.addr, ':') = '\0';
	link = link_start(ip, LINK_PORT, a.addr, PORT);
	assert_non_null(link);
	assert_int_equal(peer_zmq_ops.add(b.edge, "a", addr), ERR_OK);
	assert_true(reaches_a(&a, &b, RECV_TIMEOUT_MS));
	link_set_mode(link, LINK_BLACKHOLE);
	usleep(RESEND_MS * 1000);
	assert_false(reaches_a(&a, &b, CUT_MS));
	link_set_mode(link, LINK_PASS);
	assert_true(reaches_a(&a, &b, RETURN_MS));
	endpoint_stop(&b);
	take_all(&a);
	endpoint_stop(&a);
	link_stop(link);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stop_frees_unread_messages),
		cmocka_unit_test(test_messages_name_both_processes),
		cmocka_unit_test(
			test_reconnected_peer_is_heard_beside_its_old_connection),
		cmocka_unit_test(test_peer_is_reached_after_cut),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
