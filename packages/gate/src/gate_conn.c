// Sockets of a gate. To disconnect one, the handler puts a descriptor that fails
// every read and write under its number.
#include "gate_conn.h"

#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"

#define GATE_SIGNAL (SIGRTMIN + 1)

enum {
	MS_PER_S = 1000,
	NS_PER_MS = 1000000,
};

/* Async-signal-safe. Absolute time: one in the past fires at once. */
static void conn_set_timer(struct gate_conn *gc)
{
	int64_t until = gc->deadline_ms;
	struct itimerspec its = {
		.it_value.tv_sec = until / MS_PER_S,
		.it_value.tv_nsec = until % MS_PER_S * NS_PER_MS,
	};

	timer_settime(gc->timer, TIMER_ABSTIME, &its, NULL);
}

/*
 * Runs in the gate's thread. dup2() closes the socket and puts dead_fd under
 * its number. With SO_LINGER at zero the close resets the connection and
 * discards what the kernel had queued.
 */
static void conn_on_signal(int sig, siginfo_t *si, void *uc)
{
	struct gate_conn *gc = si->si_value.sival_ptr;
	const uint64_t one = 1;
	int saved = errno;

	if (!gc->close_requested && clock_now_ms() < gc->deadline_ms) {
		conn_set_timer(gc);
		errno = saved;
		return;
	}
	gc->closed = true;
	for (int i = 0; i < GATE_SOCKS_MAX; i++) {
		if (gc->socks[i] >= 0)
			dup2(gc->dead_fd, gc->socks[i]);
	}
	/* The thread may be about to poll: it must not miss this. */
	if (write(gc->wake_fd, &one, sizeof(one)) < 0) {
		/* The counter is saturated: the thread is awake already. */
	}
	errno = saved;
}

static void conn_install_handler(void)
{
	struct sigaction sa = {
		.sa_sigaction = conn_on_signal,
		.sa_flags = SA_SIGINFO,
	};

	sigfillset(&sa.sa_mask);
	sigaction(GATE_SIGNAL, &sa, NULL);
}

bool gate_conn_init(struct gate_conn *gc)
{
	static pthread_once_t once = PTHREAD_ONCE_INIT;
	int pair[2];

	pthread_once(&once, conn_install_handler);
	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair) != 0)
		return false;
	close(pair[1]);
	shutdown(pair[0], SHUT_RDWR);
	gc->dead_fd = pair[0];
	for (int i = 0; i < GATE_SOCKS_MAX; i++)
		gc->socks[i] = -1;
	return true;
}

void gate_conn_fini(struct gate_conn *gc)
{
	close(gc->dead_fd);
}

/* Blocks all signals but the gate's. */
static void conn_block_signals(void)
{
	sigset_t set;

	sigfillset(&set);
	sigdelset(&set, GATE_SIGNAL);
	pthread_sigmask(SIG_SETMASK, &set, NULL);
}

bool gate_conn_arm(struct gate_conn *gc)
{
	struct sigevent ev = {
		.sigev_notify = SIGEV_THREAD_ID,
		.sigev_signo = GATE_SIGNAL,
		.sigev_value.sival_ptr = gc,
	};

	conn_block_signals();
	ev._sigev_un._tid = gettid();
	if (timer_create(CLOCK_BOOTTIME, &ev, &gc->timer) != 0)
		return false;
	conn_set_timer(gc);
	return true;
}

void gate_conn_disarm(struct gate_conn *gc)
{
	timer_delete(gc->timer);
}

void gate_conn_signal(struct gate_conn *gc, pthread_t thread)
{
	const union sigval v = {.sival_ptr = gc};

	pthread_sigqueue(thread, GATE_SIGNAL, v);
}

static int conn_find_slot(const struct gate_conn *gc, int fd)
{
	for (int i = 0; i < GATE_SOCKS_MAX; i++) {
		if (gc->socks[i] == fd)
			return i;
	}
	return -1;
}

/*
 * The socket is registered before `closed` is checked: a signal between the two
 * disconnects it, an earlier one is seen by the check.
 */
static curl_socket_t conn_open_socket(void *ctx, curlsocktype purpose,
				      struct curl_sockaddr *addr)
{
	const struct linger reset_on_close = {1, 0};
	struct gate_conn *gc = ctx;
	int slot = conn_find_slot(gc, -1);
	int fd;

	if (slot < 0 || gc->closed)
		return CURL_SOCKET_BAD;
	fd = socket(addr->family, addr->socktype | SOCK_CLOEXEC,
		    addr->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
		   sizeof(reset_on_close));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &gc->user_timeout_ms,
		   sizeof(gc->user_timeout_ms));
	gc->socks[slot] = fd;
	if (!gc->closed)
		return fd;
	gc->socks[slot] = -1;
	close(fd);
	return CURL_SOCKET_BAD;
}

/* Unregistered before the close: another thread may then reuse the number. */
static int conn_close_socket(void *ctx, curl_socket_t fd)
{
	struct gate_conn *gc = ctx;
	int slot = conn_find_slot(gc, fd);

	if (slot >= 0)
		gc->socks[slot] = -1;
	return close(fd);
}

void gate_conn_attach(struct gate_conn *gc, void *easy)
{
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, conn_open_socket);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, gc);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, conn_close_socket);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, gc);
}
