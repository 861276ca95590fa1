// Malformed peer traffic must not stop a running daemon: random TCP bytes,
// random ZeroMQ frames, and well-formed msgpack objects of every message type
// with the wrong content. Seeded.
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <jansson.h>
#include <msgpack.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "base/rng.h"
#include "support/http.h"
#include "support/sys.h"

enum {
	SEED = 6,
	RAW_CONNECTIONS = 200,
	FRAME_MESSAGES = 2000,
	OBJECTS = 6000,
	MESSAGE_TYPES = 130, ///< exceeds the highest type in use
	MAX_DEPTH = 4,
	LINGER_MS = 3000,
	STARTUP_TIMEOUT_MS = 20000,
};

static struct sys sys;

static bool daemon_healthy(void *ctx)
{
	char url[128];
	int status = 0;

	snprintf(url, sizeof(url), "%s/admin/status", sys.nodes[0].admin);
	json_decref(http_json("GET", url, NULL, NULL, &status));
	return status == 200;
}

static void test_random_tcp_bytes_keep_daemon_up(void **state)
{
	static const unsigned char greeting[] = {0xff, 0, 0, 0,	   0,
						 0,    0, 0, 0x01, 0x7f};
	struct rng rng = {SEED};
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons(SYS_PEER_PORT),
	};

	inet_pton(AF_INET, sys.nodes[0].ip, &sa.sin_addr);
	for (int i = 0; i < RAW_CONNECTIONS; i++) {
		unsigned char buf[300];
		size_t len = rng_below(&rng, sizeof(buf));
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		for (size_t k = 0; k < len; k++)
			buf[k] = (unsigned char)rng_next(&rng);
		/* Half of them start with a ZeroMQ greeting. */
		if (len > sizeof(greeting) && rng_below(&rng, 2))
			memcpy(buf, greeting, sizeof(greeting));
		assert_int_equal(
			connect(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
		send(fd, buf, len, MSG_NOSIGNAL);
		close(fd);
	}
	assert_true(daemon_healthy(NULL));
}

static void *connect_dealer(void *zmq)
{
	void *sock = zmq_socket(zmq, ZMQ_DEALER);
	int linger = LINGER_MS;
	char url[64];

	snprintf(url, sizeof(url), "tcp://%s:%d", sys.nodes[0].ip,
		 SYS_PEER_PORT);
	zmq_setsockopt(sock, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(sock, ZMQ_SNDTIMEO, &linger, sizeof(linger));
	assert_int_equal(zmq_connect(sock, url), 0);
	return sock;
}

static void test_random_frames_keep_daemon_up(void **state)
{
	struct rng rng = {SEED};
	void *zmq = zmq_ctx_new();
	void *sock = connect_dealer(zmq);

	for (int i = 0; i < FRAME_MESSAGES; i++) {
		int frames = 1 + (int)rng_below(&rng, 6);

		for (int f = 0; f < frames; f++) {
			unsigned char buf[100];
			size_t len = rng_below(&rng, sizeof(buf));

			for (size_t k = 0; k < len; k++)
				buf[k] = (unsigned char)rng_next(&rng);
			zmq_send(sock, buf, len,
				 f + 1 < frames ? ZMQ_SNDMORE : 0);
		}
	}
	zmq_close(sock);
	zmq_ctx_term(zmq);
	assert_true(daemon_healthy(NULL));
}

static void pack_random_text(msgpack_packer *p, struct rng *rng)
{
	static const char *const texts[] = {"",	  "d1", "d2",	      "n1",
					    "n2", "x",	"127.0.0.1:1"};
	const char *s = texts[rng_below(rng, 7)];

	msgpack_pack_str(p, strlen(s));
	msgpack_pack_str_body(p, s, strlen(s));
}

/// A random well-formed object, nested up to depth.
static void pack_random_object(msgpack_packer *p, struct rng *rng, int depth)
{
	size_t n = rng_below(rng, 10);

	switch (rng_below(rng, depth > 0 ? 8 : 6)) {
	case 0:
		msgpack_pack_nil(p);
		break;
	case 1:
		msgpack_pack_uint64(p, rng_next(rng) >> rng_below(rng, 64));
		break;
	case 2:
		msgpack_pack_int64(p, -(int64_t)rng_below(rng, 1000000));
		break;
	case 3:
		pack_random_text(p, rng);
		break;
	case 4:
		msgpack_pack_bin(p, n);
		msgpack_pack_bin_body(p, "0123456789", n);
		break;
	case 5:
		if (rng_below(rng, 2))
			msgpack_pack_true(p);
		else
			msgpack_pack_double(p, 0.5);
		break;
	case 6:
		msgpack_pack_map(p, n);
		for (size_t i = 0; i < 2 * n; i++)
			pack_random_object(p, rng, depth - 1);
		break;
	default:
		msgpack_pack_array(p, n);
		for (size_t i = 0; i < n; i++)
			pack_random_object(p, rng, depth - 1);
		break;
	}
}

static void test_random_objects_keep_daemon_up(void **state)
{
	struct rng rng = {SEED};
	void *zmq = zmq_ctx_new();
	void *sock = connect_dealer(zmq);

	printf("seed %d\n", SEED);
	for (int i = 0; i < OBJECTS; i++) {
		uint32_t type = htonl((uint32_t)rng_below(&rng, MESSAGE_TYPES));
		const char *from = rng_below(&rng, 2) ? "n2" : "stranger";
		msgpack_sbuffer buf;
		msgpack_packer p;
		size_t n = rng_below(&rng, 10);

		msgpack_sbuffer_init(&buf);
		msgpack_packer_init(&p, &buf, msgpack_sbuffer_write);
		msgpack_pack_array(&p, n);
		for (size_t k = 0; k < n; k++)
			pack_random_object(&p, &rng, MAX_DEPTH);
		zmq_send(sock, from, strlen(from), ZMQ_SNDMORE);
		zmq_send(sock, &type, sizeof(type), ZMQ_SNDMORE);
		assert_true(zmq_send(sock, buf.data, buf.size, 0) >= 0);
		msgpack_sbuffer_destroy(&buf);
	}
	zmq_close(sock);
	zmq_ctx_term(zmq);
	assert_true(daemon_healthy(NULL));
}

static int start_system(void **state)
{
	struct sys_opts opts = {.domains = 1, .nodes_per_domain = 2};

	assert_true(sys_start(&sys, &opts));
	return wait_until(daemon_healthy, NULL, STARTUP_TIMEOUT_MS) ? 0 : -1;
}

static int stop_system(void **state)
{
	int status = -1;

	assert_true(daemon_healthy(NULL));
	/* The sanitizers report errors at a clean exit. */
	proc_signal(&sys.nodes[0].proc, SIGTERM);
	assert_true(proc_wait(&sys.nodes[0].proc, STARTUP_TIMEOUT_MS, &status));
	assert_int_equal(status, 0);
	sys_stop(&sys);
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_random_tcp_bytes_keep_daemon_up),
		cmocka_unit_test(test_random_frames_keep_daemon_up),
		cmocka_unit_test(test_random_objects_keep_daemon_up),
	};

	return cmocka_run_group_tests(tests, start_system, stop_system);
}
