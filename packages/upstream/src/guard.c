// A cut socket is replaced, under its number, by a descriptor that fails.
#include "guard.h"

#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/clock.h"

enum {
	GUARD_SOCKS = 256,
	GUARD_SIGNAL = SIGALRM, ///< of ITIMER_REAL
	/// A timer that took longer to set is set again: it counts from the time
	/// that was read before.
	GUARD_SET_MS = 5,
	MS_PER_S = 1000,
	US_PER_MS = 1000,
};

struct guard_slot {
	volatile sig_atomic_t fd; ///< -1: free
	_Atomic int64_t until_ms;
	_Atomic bool cut;
};

static struct guard {
	atomic_bool taken;
	_Atomic pid_t tid; ///< thread that has the guard
	int dead_fd; ///< fails every read and write
	struct guard_slot slots[GUARD_SOCKS];
} guard;

/* Async-signal-safe. */
static void set_timer(void)
{
	int64_t begin;

	do {
		int64_t at = INT64_MAX;
		int64_t left;
		struct itimerval it = {.it_value = {0}};

		begin = clock_now_ms();
		for (int i = 0; i < GUARD_SOCKS; i++) {
			const struct guard_slot *s = &guard.slots[i];

			if (s->fd >= 0 && !s->cut && s->until_ms < at)
				at = s->until_ms;
		}
		if (at == INT64_MAX)
			return;
		left = at > begin ? at - begin : 1;
		it.it_value.tv_sec = left / MS_PER_S;
		it.it_value.tv_usec = left % MS_PER_S * US_PER_MS;
		setitimer(ITIMER_REAL, &it, NULL);
	} while (clock_now_ms() - begin > GUARD_SET_MS);
}

/*
 * dup2() closes the socket and leaves a dead descriptor under the same number;
 * with SO_LINGER at zero the close resets the connection and drops what the
 * kernel still had to send. In the thread that writes, the kernel runs this
 * before the next instruction, however long the thread did not run.
 */
static void on_signal(int sig)
{
	int saved = errno;
	int64_t now = clock_now_ms();

	/* A thread that was started before the signal was masked. */
	if (gettid() != guard.tid) {
		if (guard.tid)
			syscall(SYS_tgkill, getpid(), guard.tid, GUARD_SIGNAL);
		errno = saved;
		return;
	}
	for (int i = 0; i < GUARD_SOCKS; i++) {
		struct guard_slot *s = &guard.slots[i];

		if (s->fd < 0 || s->cut || s->until_ms > now)
			continue;
		s->cut = true;
		dup2(guard.dead_fd, s->fd);
	}
	set_timer();
	errno = saved;
}

void guard_mask(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, GUARD_SIGNAL);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

static bool dead_open(void)
{
	int pair[2];

	if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair) != 0)
		return false;
	close(pair[1]);
	shutdown(pair[0], SHUT_RDWR);
	guard.dead_fd = pair[0];
	return true;
}

bool guard_take(void)
{
	const struct itimerval off = {.it_value = {0}};
	struct sigaction sa = {.sa_handler = on_signal, .sa_flags = SA_RESTART};
	sigset_t set;

	if (atomic_exchange(&guard.taken, true))
		return false;
	if (setitimer(ITIMER_REAL, &off, NULL) != 0 || !dead_open()) {
		guard.taken = false;
		return false;
	}
	for (int i = 0; i < GUARD_SOCKS; i++)
		guard.slots[i].fd = -1;
	guard.tid = gettid();
	sigfillset(&sa.sa_mask);
	sigaction(GUARD_SIGNAL, &sa, NULL);
	sigemptyset(&set);
	sigaddset(&set, GUARD_SIGNAL);
	pthread_sigmask(SIG_UNBLOCK, &set, NULL);
	return true;
}

void guard_release(void)
{
	const struct itimerval off = {.it_value = {0}};

	setitimer(ITIMER_REAL, &off, NULL);
	guard_mask();
	guard.tid = 0;
	close(guard.dead_fd);
	guard.taken = false;
}

static struct guard_slot *slot_of(int fd)
{
	for (int i = 0; i < GUARD_SOCKS; i++) {
		if (guard.slots[i].fd == fd)
			return &guard.slots[i];
	}
	return NULL;
}

/* The timer is set before the socket can carry a byte. */
curl_socket_t guard_socket(const struct curl_sockaddr *addr, int64_t until_ms)
{
	struct guard_slot *s = slot_of(-1);
	int fd;

	if (!s || clock_now_ms() >= until_ms)
		return CURL_SOCKET_BAD;
	fd = socket(addr->family, addr->socktype | SOCK_CLOEXEC,
		    addr->protocol);
	if (fd < 0)
		return CURL_SOCKET_BAD;
	s->until_ms = until_ms;
	s->cut = false;
	s->fd = fd;
	set_timer();
	return fd;
}

bool guard_was_cut(curl_socket_t fd)
{
	const struct guard_slot *s = fd >= 0 ? slot_of(fd) : NULL;

	return s && s->cut;
}

/* Freed before it is closed: its number may be taken by another thread. */
int guard_close(void *ctx, curl_socket_t fd)
{
	struct guard_slot *s = slot_of(fd);

	if (s)
		s->fd = -1;
	return close(fd);
}
