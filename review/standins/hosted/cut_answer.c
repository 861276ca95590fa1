// An entry node is killed while it passes on a large answer that ends with its
// connection; what the caller sees of it.
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "world.h"

enum {
	READ_BYTES = 65536, ///< read at once
	READ_PAUSE_MS = 10, ///< between reads: some 50 Mbit/s
	KILL_AFTER_BYTES = 1000000,
	HEAD_MAX = 4096,
	RECEIVE_BUFFER = 262144,
};

static struct world w;

static int connect_to(const struct node *n)
{
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons(NODE_FRONT_PORT),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int bytes = RECEIVE_BUFFER;

	inet_pton(AF_INET, n->ip, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0)
		world_give_up(&w, "an entry node does not accept connections");
	return fd;
}

struct answer {
	char head[HEAD_MAX];
	size_t head_len; ///< with the blank line, 0 until it is complete
	size_t bytes; ///< of head and body
	int error; ///< errno of the end, 0: the peer ended the connection in order
};

static void add_bytes(struct answer *a, const char *buf, size_t n)
{
	const char *end;

	if (!a->head_len && a->bytes + n < HEAD_MAX) {
		memcpy(a->head + a->bytes, buf, n);
	} else if (!a->head_len && a->bytes < HEAD_MAX) {
		memcpy(a->head + a->bytes, buf, HEAD_MAX - 1 - a->bytes);
	}
	a->bytes += n;
	end = a->head_len ? NULL : strstr(a->head, "\r\n\r\n");
	if (end)
		a->head_len = (size_t)(end - a->head) + 4;
}

static void ask(struct node *n, struct answer *a)
{
	static const char request[] = "POST /book/1 HTTP/1.1\r\nHost: h1\r\n"
				      "Authorization: Bearer k1\r\n"
				      "X-Catkinpath-Request-Id: 5f0c1\r\n"
				      "X-Catkinpath-Deadline-Ms: 20000\r\n"
				      "Content-Length: 2\r\n\r\nhi";
	char *buf = malloc(READ_BYTES);
	bool killed = !world_trouble();
	int fd = connect_to(n);
	ssize_t got;

	if (send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) < 0)
		world_give_up(&w, "the request was not sent");
	world_note(&w, "sent booking 5f0c1 to %s", n->id);
	while ((got = recv(fd, buf, READ_BYTES, 0)) > 0) {
		add_bytes(a, buf, (size_t)got);
		if (!killed && a->bytes >= KILL_AFTER_BYTES) {
			world_note(&w, "SIGKILL to %s after %zu bytes", n->id,
				   a->bytes);
			proc_kill(&n->proc);
			killed = true;
		}
		world_sleep_ms(READ_PAUSE_MS);
	}
	a->error = got < 0 ? errno : 0;
	close(fd);
	free(buf);
}

int main(void)
{
	static struct answer a;
	char what[200];
	size_t body;
	bool success, framed;

	world_booking = WORLD_BOOKING_UNFRAMED;
	world_start(&w);
	world_publish_conf(&w);
	world_sleep_ms(1000);
	ask(&w.ns.list[0], &a);
	body = a.bytes - a.head_len;
	success = strncmp(a.head, "HTTP/1.", 7) == 0 &&
		  strncmp(a.head + 8, " 200", 4) == 0 &&
		  strcasestr(a.head, "X-Catkinpath-Server-Seal: seal") != NULL;
	framed = strcasestr(a.head, "Content-Length:") != NULL ||
		 strcasestr(a.head, "Transfer-Encoding:") != NULL;
	snprintf(what, sizeof(what),
		 "sealed 200: %d; length or chunks stated: %d; body %zu of %d "
		 "bytes; the connection ended with %s",
		 success, framed, body, WORLD_BIG_BYTES,
		 a.error ? strerror(a.error) : "an orderly end");
	world_note(&w, "%s", what);
	if (!success)
		world_give_up(&w, what);
	world_finish(&w, !a.error && !framed && body < WORLD_BIG_BYTES, what);
}
