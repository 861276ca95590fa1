// Callers ask the same thing at the same time while the servers of the service crash.
// The servers come back and serve everything else, but this lookup is refused with 400
// from then on, at all entry nodes.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <pthread.h>

#include "dep.h"
#include "support/proc.h"

enum {
	SERVERS = 4,
	SERVER_PORT = 8600, ///< of the first server
	SERVER_SLOTS = 6,
	CALLERS = 12, ///< that ask at the same time
	CRASH_AFTER_MS = 250, ///< the lookups are at servers by then
	ENTRY_EXPIRES_MS = 3600, ///< three heartbeats of a server
	DOWN_MS = 4500, ///< a crash of the site file lasts so long
	SETTLE_MS = 3500, ///< longer than contact_ms
	LATER_LOOKUPS = 60,
	LATER_INTERVAL_MS = 150,
	DENIED_FREE = 5, ///< the rule allows so many, and one in 500
};

static struct dep dep;
static struct proc servers[SERVERS];
static int n_starts;

struct lookup {
	int node;
	char id[32];
	const char *body;
	int status;
};

/* Each start of a server is a new incarnation with a new id. */
static void server_id(int i, char *id, size_t len)
{
	snprintf(id, len, "q-%d-%d", i, n_starts);
}

static bool start_server(int i)
{
	char id[32], port[16], key[64], addr[64];
	const char *const argv[] = {"../review/lookup_server",
				    id,
				    dep.hosted.ip,
				    port,
				    "400",
				    NULL};

	server_id(i, id, sizeof(id));
	snprintf(port, sizeof(port), "%d", SERVER_PORT + i);
	snprintf(key, sizeof(key), "servers/%s", id);
	snprintf(addr, sizeof(addr), "%s:%s", dep.hosted.ip, port);
	if (!proc_start(&servers[i], id, argv) ||
	    !wait_port(dep.hosted.ip, SERVER_PORT + i, 5000))
		return false;
	hosted_put(&dep.hosted, key,
		   json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i}", "service",
			     "sizes", "addr", addr, "zone", "d1", "version",
			     "v1", "slots", SERVER_SLOTS, "state", "ready",
			     "cold_left_ms", 0, "born",
			     5000 + 100 * n_starts + i));
	return true;
}

static bool start_servers(void)
{
	n_starts++;
	for (int i = 0; i < SERVERS; i++) {
		if (!start_server(i))
			return false;
	}
	return true;
}

/* Kill the servers and record what they ran. */
static void kill_servers(void)
{
	for (int i = 0; i < SERVERS; i++) {
		FILE *log;
		char line[128];

		proc_kill(&servers[i]);
		log = servers[i].log[0] ? fopen(servers[i].log, "re") : NULL;
		while (log && fgets(line, sizeof(line), log)) {
			line[strcspn(line, "\n")] = '\0';
			dep_record("server %s: %s", servers[i].name, line);
		}
		if (log)
			fclose(log);
	}
}

static void expire_entries(void)
{
	for (int i = 0; i < SERVERS; i++) {
		char id[32], key[64];

		server_id(i, id, sizeof(id));
		snprintf(key, sizeof(key), "servers/%s", id);
		hosted_delete(&dep.hosted, key);
	}
}

static void *look_up(void *ctx)
{
	struct lookup *l = ctx;
	struct response a;

	node_call(&dep.nodes, l->node, "POST", "/size/hand", "k1", l->id,
		  l->body, &a);
	l->status = a.status;
	response_free(&a);
	dep_record("caller: lookup %s '%s' at n%d: %d", l->id, l->body, l->node,
		   l->status);
	return NULL;
}

/* Callers ask at the same time, at all entry nodes; the servers crash meanwhile. */
static void ask_together(void)
{
	static struct lookup calls[CALLERS];
	pthread_t threads[CALLERS];

	for (int i = 0; i < CALLERS; i++) {
		calls[i] = (struct lookup){.node = i % DEP_ENTRY_NODES,
					   .body = "hand=183"};
		snprintf(calls[i].id, sizeof(calls[i].id), "first%d", i);
		pthread_create(&threads[i], NULL, look_up, &calls[i]);
	}
	dep_sleep_ms(CRASH_AFTER_MS);
	if (dep_trouble()) {
		kill_servers();
		dep_record("disruption: all servers of the service crash");
	}
	for (int i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
}

static bool bring_back(void)
{
	if (!dep_trouble())
		return true;
	dep_sleep_ms(ENTRY_EXPIRES_MS);
	expire_entries();
	dep_sleep_ms(DOWN_MS - ENTRY_EXPIRES_MS);
	dep_record("the servers are back");
	return start_servers();
}

static int look_up_later(void)
{
	int denied = 0;
	int served = 0;
	int other = 0;

	for (int i = 0; i < LATER_LOOKUPS; i++) {
		struct lookup same = {.node = i % DEP_ENTRY_NODES,
				      .body = "hand=183"};
		struct lookup differs = {.node = i % DEP_ENTRY_NODES,
					 .body = "hand=201"};

		snprintf(same.id, sizeof(same.id), "later%d", i);
		snprintf(differs.id, sizeof(differs.id), "other%d", i);
		look_up(&same);
		denied += same.status == 400;
		served += same.status == 200;
		if (i % 10 == 0) {
			look_up(&differs);
			other += differs.status == 200;
		}
		dep_sleep_ms(LATER_INTERVAL_MS);
	}
	dep_record("later lookups: %d of %d denied with 400, %d served; "
		   "another lookup: %d of %d served",
		   denied, LATER_LOOKUPS, served, other, LATER_LOOKUPS / 10);
	if (!other)
		return CASE_NOT_RUN;
	return denied > DENIED_FREE + 1 ? CASE_BROKEN : CASE_HELD;
}

static int run_case(void)
{
	dep_publish(&dep, json_pack("[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i}]",
				    "name", "size", "host", "h1", "prefix",
				    "/size/", "kind", "idempotent", "service",
				    "sizes", "target_latency_ms", 800,
				    "timeout_ms", 3000, "max_attempts", 2));
	if (!start_servers())
		return CASE_NOT_RUN;
	dep_sleep_ms(SETTLE_MS);
	ask_together();
	if (!bring_back())
		return CASE_NOT_RUN;
	dep_sleep_ms(SETTLE_MS);
	return look_up_later();
}

int main(void)
{
	int code = dep_start(&dep) ? run_case() : CASE_NOT_RUN;

	kill_servers();
	dep_record("exit code %d", code);
	dep_stop(&dep);
	return code;
}
