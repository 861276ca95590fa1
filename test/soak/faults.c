// Injects faults drawn by the seed. They overlap, but two faults of a group never have
// the same target.
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "soak.h"

enum {
	FAULTS_AT_ONCE = 5, ///< of a stream
	GAP_MAX_MS = 900, ///< longest time between two faults
	LEAVING_GAP_MAX_MS =
		1800, ///< the same in the stream of leaving servers
	/// Separate, so that seeds of the other stream keep their faults.
	LEAVING_SEED = 0x1eaf,
	STEP_MS = 10,
	/// From SIGTERM to SIGKILL, on the users' platform.
	GRACE_MS = 8000,
	/// A draining process first writes its counts to the store: it must exit once
	/// the store has been reachable for this long.
	DRAIN_MS = 5000,
	/// A process started more recently may not handle signals yet and has accepted
	/// no work (seed 44: SIGTERM 34 ms after the start).
	STARTUP_MS = 500,
	RESPONSE_LOSS_PERCENT = 30, ///< of the store's responses
	BYTE_DELAY_MS = 900, ///< of the bytes sent to a server
};

enum group {
	GROUP_NODE, ///< a node's process
	GROUP_STORE_LINK, ///< a node's link to the store
	GROUP_SERVER, ///< a server or its link
	GROUP_STORE, ///< the store
	GROUP_KEY, ///< the API key that is revoked
	GROUP_WATCHES, ///< connections with waiting watches
	GROUP_ALL, ///< every process
	GROUPS,
};

struct fault;

struct fault_kind {
	const char *name;
	enum group group;
	int min_ms;
	int max_ms;
	void (*begin)(struct soak *k, const struct fault *f);
	void (*end)(struct soak *k, const struct fault *f);
};

/// Random sequence of faults from a table, with its own generator.
struct stream {
	const struct fault_kind *kinds;
	int n_kinds;
	int gap_ms;
	struct rng rng;
	int64_t next_ms;
};

struct fault {
	const struct fault_kind *kind;
	int target;
	int variant;
	int64_t end_ms;
};

static void allow_stale_orders(struct soak *k)
{
	pthread_mutex_lock(&k->h.lock);
	k->h.stale_ok_until_ms = clock_now_ms() + SOAK_RESUME_MS;
	pthread_mutex_unlock(&k->h.lock);
}

static void set_keys(struct soak *k, bool with_second)
{
	static const char *const both[] = {"k1", "k2", NULL};
	static const char *const one[] = {"k1", NULL};

	hosted_publish_conf(&k->h, with_second ? both : one);
}

static void kill_begin(struct soak *k, const struct fault *f)
{
	k->node_fault[f->target] = true;
	proc_kill(&k->ns.list[f->target].proc);
}

static void start_end(struct soak *k, const struct fault *f)
{
	k->started_ms[f->target] = clock_now_ms();
	k->node_fault[f->target] = false;
	if (!node_start(&k->ns, f->target))
		soak_violation(k, "node %d could not be started", f->target);
}

static void pause_begin(struct soak *k, const struct fault *f)
{
	k->node_fault[f->target] = true;
	proc_signal(&k->ns.list[f->target].proc, SIGSTOP);
}

static void pause_end(struct soak *k, const struct fault *f)
{
	allow_stale_orders(k);
	k->node_fault[f->target] = false;
	proc_signal(&k->ns.list[f->target].proc, SIGCONT);
}

static void term_begin(struct soak *k, const struct fault *f)
{
	k->node_fault[f->target] = true;
	k->term_while_starting[f->target] =
		clock_now_ms() - k->started_ms[f->target] < STARTUP_MS;
	proc_signal(&k->ns.list[f->target].proc, SIGTERM);
}

static void term_end(struct soak *k, const struct fault *f)
{
	int64_t healthy_ms = clock_now_ms() - k->store_fault_ms[f->target];
	int status = 0;

	if (!proc_wait(&k->ns.list[f->target].proc, 0, &status)) {
		if (healthy_ms > DRAIN_MS)
			soak_violation(k, "node %d did not exit after SIGTERM",
				       f->target);
		proc_kill(&k->ns.list[f->target].proc);
	} else if (status != 0 &&
		   !(k->term_while_starting[f->target] && WIFSIGNALED(status) &&
		     WTERMSIG(status) == SIGTERM)) {
		soak_violation(
			k, "node %d exited with wait status %d after SIGTERM",
			f->target, status);
	}
	start_end(k, f);
}

static void kill_all_begin(struct soak *k, const struct fault *f)
{
	for (int i = 0; i < k->ns.n; i++)
		kill_begin(k, &(struct fault){.target = i});
}

static void start_all_end(struct soak *k, const struct fault *f)
{
	for (int i = 0; i < k->ns.n; i++)
		start_end(k, &(struct fault){.target = i});
}

static const enum link_mode link_modes[] = {LINK_BLACKHOLE, LINK_DROP_REPLIES,
					    LINK_RESET};

static void store_link_begin(struct soak *k, const struct fault *f)
{
	k->store_link_fault[f->target] = true;
	link_set_mode(k->store_links[f->target], link_modes[f->variant]);
}

static void store_link_end(struct soak *k, const struct fault *f)
{
	k->store_link_fault[f->target] = false;
	link_set_mode(k->store_links[f->target], LINK_PASS);
}

static void server_link_begin(struct soak *k, const struct fault *f)
{
	k->server_link_fault[f->target] = true;
	link_set_mode(k->server_links[f->target], link_modes[f->variant]);
}

static void server_link_end(struct soak *k, const struct fault *f)
{
	allow_stale_orders(k);
	k->server_link_fault[f->target] = false;
	link_set_mode(k->server_links[f->target], LINK_PASS);
}

static void server_delay_begin(struct soak *k, const struct fault *f)
{
	k->server_link_fault[f->target] = true;
	link_delay(k->server_links[f->target], BYTE_DELAY_MS, "POST /pay/");
}

static void server_delay_end(struct soak *k, const struct fault *f)
{
	k->server_link_fault[f->target] = false;
	link_delay(k->server_links[f->target], 0, "");
}

static void set_unresponsive(struct soak *k, int server, bool unresponsive)
{
	pthread_mutex_lock(&k->h.lock);
	k->h.servers[server].unresponsive = unresponsive;
	pthread_mutex_unlock(&k->h.lock);
}

static void unresponsive_begin(struct soak *k, const struct fault *f)
{
	set_unresponsive(k, f->target, true);
}

static void unresponsive_end(struct soak *k, const struct fault *f)
{
	set_unresponsive(k, f->target, false);
}

static void leave_begin(struct soak *k, const struct fault *f)
{
	hosted_server_leave(&k->h, &k->h.servers[f->target], f->variant);
}

static void leave_end(struct soak *k, const struct fault *f)
{
	hosted_server_return(&k->h, &k->h.servers[f->target]);
}

static void mute_begin(struct soak *k, const struct fault *f)
{
	hosted_mute_watches(&k->h, f->variant ? "servers/" : "op/");
}

static void mute_end(struct soak *k, const struct fault *f)
{
}

static void set_store(struct soak *k, int store_down, int loss_percent)
{
	pthread_mutex_lock(&k->h.lock);
	k->h.store_down = store_down;
	k->h.store_loss_percent = loss_percent;
	pthread_cond_broadcast(&k->h.changed);
	pthread_mutex_unlock(&k->h.lock);
}

static void store_away_begin(struct soak *k, const struct fault *f)
{
	set_store(k, 1 + f->variant % 2, 0);
}

static void store_lossy_begin(struct soak *k, const struct fault *f)
{
	set_store(k, 0, RESPONSE_LOSS_PERCENT);
}

static void store_end(struct soak *k, const struct fault *f)
{
	set_store(k, 0, 0);
}

static void key_begin(struct soak *k, const struct fault *f)
{
	set_keys(k, false);
	k->revoked_ms = clock_now_ms();
}

static void key_end(struct soak *k, const struct fault *f)
{
	k->revoked_ms = 0;
	if (k->n_restored < SOAK_RESTORES_MAX)
		k->restored_ms[k->n_restored++] = clock_now_ms();
	set_keys(k, true);
}

static const struct fault_kind kinds[] = {
	{"kill", GROUP_NODE, 50, 2500, kill_begin, start_end},
	{"pause", GROUP_NODE, 100, 4000, pause_begin, pause_end},
	{"term", GROUP_NODE, GRACE_MS, GRACE_MS, term_begin, term_end},
	{"kill-all", GROUP_ALL, 50, 1500, kill_all_begin, start_all_end},
	{"store-link", GROUP_STORE_LINK, 500, 6000, store_link_begin,
	 store_link_end},
	{"server-link", GROUP_SERVER, 500, 5000, server_link_begin,
	 server_link_end},
	{"server-late", GROUP_SERVER, 500, 4000, server_delay_begin,
	 server_delay_end},
	{"server-dark", GROUP_SERVER, 500, 4000, unresponsive_begin,
	 unresponsive_end},
	{"server-leaves", GROUP_SERVER, 2000, 5000, leave_begin, leave_end},
	{"store-away", GROUP_STORE, 300, 5000, store_away_begin, store_end},
	{"store-lossy", GROUP_STORE, 1000, 5000, store_lossy_begin, store_end},
	{"key", GROUP_KEY, 6000, 9000, key_begin, key_end},
};

/* Servers leave one after another while the nodes' watch connections go silent. */
static const struct fault_kind leaving_kinds[] = {
	{"leaves", GROUP_SERVER, 2500, 7000, leave_begin, leave_end},
	{"leaves", GROUP_SERVER, 2500, 7000, leave_begin, leave_end},
	{"watches-silent", GROUP_WATCHES, 500, 1500, mute_begin, mute_end},
};

enum {
	KINDS = sizeof(kinds) / sizeof(kinds[0]),
	LEAVING_KINDS = sizeof(leaving_kinds) / sizeof(leaving_kinds[0]),
	VARIANTS = sizeof(link_modes) / sizeof(link_modes[0]),
	STREAMS = 2,
	FAULTS = STREAMS * FAULTS_AT_ONCE, ///< most concurrent faults
};

static int targets_of(const struct soak *k, enum group g)
{
	switch (g) {
	case GROUP_NODE:
	case GROUP_STORE_LINK:
		return k->ns.n;
	case GROUP_SERVER:
		return HOSTED_SERVERS;
	default:
		return 1;
	}
}

static bool conflict(const struct fault *a, const struct fault *b)
{
	enum group x = a->kind->group;
	enum group y = b->kind->group;

	/* A fault of GROUP_ALL targets every process. */
	if ((x == GROUP_ALL && y == GROUP_NODE) ||
	    (x == GROUP_NODE && y == GROUP_ALL))
		return true;
	return x == y && a->target == b->target;
}

static void fault_begin(struct soak *k, struct stream *st, struct fault *list,
			int *n)
{
	struct rng *r = &st->rng;
	struct fault f = {
		.kind = &st->kinds[rng_below(r, (uint64_t)st->n_kinds)]};
	const struct fault_kind *kind = f.kind;
	int span = kind->max_ms - kind->min_ms;
	int ms = kind->min_ms + (int)rng_below(r, (uint64_t)span + 1);

	f.target = (int)rng_below(r, (uint64_t)targets_of(k, kind->group));
	f.variant = (int)rng_below(r, VARIANTS);
	f.end_ms = clock_now_ms() + ms;
	for (int i = 0; i < *n; i++) {
		if (conflict(&f, &list[i]))
			return;
	}
	soak_log(k, "%s target=%d variant=%d ms=%d", kind->name, f.target,
		 f.variant, ms);
	kind->begin(k, &f);
	list[(*n)++] = f;
}

static void faults_end(struct soak *k, struct fault *list, int *n, bool all)
{
	for (int i = *n - 1; i >= 0; i--) {
		struct fault f = list[i];

		if (!all && clock_now_ms() < f.end_ms)
			continue;
		f.kind->end(k, &f);
		soak_log(k, "%s target=%d ended", f.kind->name, f.target);
		list[i] = list[--*n];
	}
}

/* Record which nodes, links and servers have a fault now. */
static void record_faults(struct soak *k)
{
	bool store_fault = k->h.store_down || k->h.store_loss_percent;
	int64_t now = clock_now_ms();

	if (store_fault)
		k->store_down_ms = now;
	for (int i = 0; i < k->ns.n; i++) {
		if (store_fault || k->store_link_fault[i])
			k->store_fault_ms[i] = now;
		if (k->node_fault[i] || now - k->started_ms[i] < STARTUP_MS)
			k->node_fault_ms[i] = now;
	}
	for (int i = 0; i < HOSTED_SERVERS; i++) {
		if (k->server_link_fault[i])
			k->server_fault_ms[i] = now;
	}
}

static int count_faults(const struct stream *st, const struct fault *list,
			int n)
{
	int found = 0;

	for (int i = 0; i < n; i++)
		found += list[i].kind >= st->kinds &&
			 list[i].kind < st->kinds + st->n_kinds;
	return found;
}

static void stream_step(struct soak *k, struct stream *st, struct fault *list,
			int *n)
{
	if (count_faults(st, list, *n) == FAULTS_AT_ONCE ||
	    clock_now_ms() < st->next_ms)
		return;
	fault_begin(k, st, list, n);
	st->next_ms = clock_now_ms() +
		      (int64_t)rng_below(&st->rng, (uint64_t)st->gap_ms);
}

void faults_run(struct soak *k)
{
	struct stream streams[STREAMS] = {
		{kinds, KINDS, GAP_MAX_MS, {k->opts.seed}, 0},
		{leaving_kinds,
		 LEAVING_KINDS,
		 LEAVING_GAP_MAX_MS,
		 {k->opts.seed ^ LEAVING_SEED},
		 0},
	};
	struct fault list[FAULTS];
	int n = 0;
	int64_t end = clock_now_ms() + k->opts.faults_ms;

	k->h.store_loss_seed = k->opts.seed;
	while (clock_now_ms() < end) {
		record_faults(k);
		leaving_check(k);
		faults_end(k, list, &n, false);
		for (int i = 0; i < STREAMS; i++)
			stream_step(k, &streams[i], list, &n);
		soak_sleep(STEP_MS);
	}
	faults_end(k, list, &n, true);
}
