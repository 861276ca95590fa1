// Starts, signals and kills child processes of a test.
#include "support/proc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"

enum {
	POLL_MS = 5,
};

static void pause_ms(int ms)
{
	struct timespec ts = {0, ms * 1000000L};

	nanosleep(&ts, NULL);
}

static void proc_exec(const char *log, const char *const argv[])
{
	char path[512];
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

	snprintf(path, sizeof(path), "%s/%s", CATKIN_BIN_DIR, argv[0]);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	close(fd);
	execv(path, (char *const *)argv);
	fprintf(stderr, "%s: %s\n", path, strerror(errno));
	_exit(127);
}

bool proc_start(struct proc *p, const char *name, const char *const argv[])
{
	const char *dir = getenv("TMPDIR");
	pid_t pid;

	snprintf(p->name, sizeof(p->name), "%s", name);
	snprintf(p->log, sizeof(p->log), "%s/catkin-%d-%s.log",
		 dir ? dir : "/tmp", (int)getpid(), name);
	pid = fork();
	if (pid < 0)
		return false;
	if (pid == 0)
		proc_exec(p->log, argv);
	p->pid = pid;
	return true;
}

void proc_signal(const struct proc *p, int sig)
{
	if (p->pid > 0)
		kill(p->pid, sig);
}

bool proc_wait(struct proc *p, int timeout_ms, int *status)
{
	int64_t deadline_ms = clock_now_ms() + timeout_ms;
	int st = 0;

	if (p->pid <= 0)
		return true;
	while (waitpid(p->pid, &st, WNOHANG) == 0) {
		if (clock_now_ms() > deadline_ms)
			return false;
		pause_ms(POLL_MS);
	}
	p->pid = 0;
	if (status)
		*status = st;
	return true;
}

void proc_kill(struct proc *p)
{
	if (p->pid <= 0)
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
}

bool wait_until(bool (*fn)(void *ctx), void *ctx, int timeout_ms)
{
	int64_t deadline_ms = clock_now_ms() + timeout_ms;

	while (!fn(ctx)) {
		if (clock_now_ms() > deadline_ms)
			return false;
		pause_ms(POLL_MS);
	}
	return true;
}

struct port {
	const char *ip;
	int port;
};

static bool port_open(void *ctx)
{
	const struct port *addr = ctx;
	struct sockaddr_in sa = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)addr->port),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int rc;

	inet_pton(AF_INET, addr->ip, &sa.sin_addr);
	rc = connect(fd, (struct sockaddr *)&sa, sizeof(sa));
	close(fd);
	return rc == 0;
}

bool wait_port(const char *ip, int port, int timeout_ms)
{
	struct port addr = {ip, port};

	return wait_until(port_open, &addr, timeout_ms);
}
