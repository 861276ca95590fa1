// fake_platform: the platform's API for tests and local runs.
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

#include "base/clock.h"
#include "fake.h"
#include "server.h"

enum {
	TICK_MS = 5, ///< precision of lease expiry
	BOOT_MS = 500,
	LEAVE_MS = 2000,
};

bool fake_wait_change(struct fake *f, int64_t until_ms)
{
	struct timespec ts;
	int64_t left_ms = until_ms - clock_now_ms();

	if (left_ms <= 0)
		return false;
	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += left_ms / 1000;
	ts.tv_nsec += left_ms % 1000 * 1000000;
	if (ts.tv_nsec >= 1000000000) {
		ts.tv_nsec -= 1000000000;
		ts.tv_sec++;
	}
	pthread_cond_timedwait(&f->changed, &f->lock, &ts);
	return true;
}

static void fake_init(struct fake *f)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&f->changed, &attr);
	pthread_mutex_init(&f->lock, NULL);
	orders_init(&f->orders);
}

static void fake_tick(struct fake *f)
{
	pthread_mutex_lock(&f->lock);
	if (kv_expire_leases(&f->kv, clock_now_ms()))
		pthread_cond_broadcast(&f->changed);
	pthread_mutex_unlock(&f->lock);
}

static int fake_run(struct fake *f, const char *listen)
{
	const struct timespec tick = {0, TICK_MS * 1000000};

	fake_init(f);
	signal(SIGPIPE, SIG_IGN);
	if (!server_start(f, listen)) {
		fprintf(stderr, "fake_platform: can't listen on %s\n", listen);
		return 1;
	}
	for (;;) {
		nanosleep(&tick, NULL);
		fake_tick(f);
	}
}

static int64_t opt_int(const struct arg_int *a, int64_t def)
{
	return a->count ? a->ival[0] : def;
}

int main(int argc, char **argv)
{
	static struct fake f;
	struct arg_str *listen = arg_str1(NULL, "listen", "IP:PORT", NULL);
	struct arg_int *seed = arg_int0(NULL, "seed", "N",
					"accepted like by the other fakes; "
					"ignored, nothing here is random");
	struct arg_int *lag = arg_int0(NULL, "vm-lag", "MS", NULL);
	struct arg_int *boot = arg_int0(NULL, "boot", "MS", NULL);
	struct arg_int *leave = arg_int0(NULL, "leave", "MS", NULL);
	struct arg_lit *fence =
		arg_lit0(NULL, "fence", "reject orders of an older epoch");
	struct arg_end *end = arg_end(5);
	void *table[] = {listen, seed, lag, boot, leave, fence, end};

	if (arg_parse(argc, argv, table) > 0) {
		arg_print_errors(stderr, end, "fake_platform");
		arg_print_syntax(stderr, table, "\n");
		return 2;
	}
	f.opts = (struct fake_opts){
		.vm_lag_ms = opt_int(lag, 0),
		.boot_ms = opt_int(boot, BOOT_MS),
		.leave_ms = opt_int(leave, LEAVE_MS),
		.fence = fence->count > 0,
	};
	return fake_run(&f, listen->sval[0]);
}
