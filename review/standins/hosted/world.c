// Starts the platform's stand-in and the daemons; records what happens.
#include "world.h"

#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "support/addr.h"

enum {
	READY_MS = 20000,
	SETTLE_MS = 2500, ///< until all nodes know and reach each other
	MAX_QUEUE_S = 40,
};

enum world_booking world_booking;
char world_last_tenant[256];
int world_keys_passed;
int world_slow_from = 1 << 30;

bool world_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

void world_sleep_ms(int ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&ts, NULL);
}

void world_note(struct world *w, const char *fmt, ...)
{
	va_list ap;

	fprintf(w->record, "%6lld ms  ",
		(long long)(clock_now_ms() - w->start_ms));
	va_start(ap, fmt);
	vfprintf(w->record, fmt, ap);
	va_end(ap);
	fprintf(w->record, "\n");
	fflush(w->record);
}

static void end_all(struct world *w)
{
	nodes_stop(&w->ns);
	for (int i = 0; i < WORLD_LEADS; i++) {
		if (w->links[i])
			link_stop(w->links[i]);
	}
}

void world_finish(struct world *w, bool broken, const char *what)
{
	world_note(w, "%s: %s", broken ? "BROKEN" : "held", what);
	printf("%s: %s\n", broken ? "BROKEN" : "held", what);
	end_all(w);
	fclose(w->record);
	/* The stand-in's threads may still wait in calls. */
	fflush(stdout);
	_Exit(broken ? 1 : 0);
}

void world_give_up(struct world *w, const char *why)
{
	world_note(w, "could not run: %s", why);
	printf("could not run: %s\n", why);
	end_all(w);
	fclose(w->record);
	fflush(stdout);
	_Exit(2);
}

bool world_write_settings(const struct world *w, int i)
{
	const struct node *n = &w->ns.list[i];
	bool lead = i >= WORLD_ENTRIES;
	FILE *f = fopen(n->conf, "we");

	if (!f)
		return false;
	fprintf(f,
		"[node]\nid = %s\ndomain = d%d\ndrain_notice = 2500ms\n"
		"memory = %dMB\ngrace = 8s\n\n"
		"[http]\nlisten = %s:%d\nadmin = %s:%d\nmax_body = 32MB\n"
		"max_connections = 1024\n\n"
		"[front]\nhedge_percent = 10\n\n"
		"[platform]\nwire = hosted\nurl = http://%s:%d\n",
		n->id, i % WORLD_LEADS + 1, lead ? 290 : 260, n->ip,
		NODE_FRONT_PORT, n->ip, NODE_ADMIN_PORT, w->h.ip,
		n->store_port);
	if (w->duty_url)
		fprintf(f, "duty_url = %s\n", w->duty_url);
	fprintf(f,
		"timeout = 800ms\nvalue_max = 1048576B\n\n"
		"[peer]\nlisten = %s:%d\n\n[upstream]\nsource = %s\n\n"
		"[lead]\ncandidate = %d\n\n[tally]\nwindow = 5s\n\n"
		"[configuration]\napply = 2000ms\nevacuate = 5000ms\n"
		"revoke = 5000ms\n\n[servers]\nleave = 2000ms\n",
		n->ip, NODE_PEER_PORT, n->ip, lead);
	return fclose(f) == 0;
}

static void start_links(struct world *w)
{
	for (int i = 0; i < WORLD_LEADS; i++) {
		int port = WORLD_STORE_PORT + i;

		w->links[i] =
			link_start(w->h.ip, port, w->h.ip, HOSTED_STORE_PORT);
		if (!w->links[i])
			world_give_up(w, "no port for a link");
		w->ns.list[WORLD_ENTRIES + i].store_port = port;
	}
}

void world_start(struct world *w)
{
	w->record = fopen(getenv("RECORD"), "we");
	if (!w->record)
		exit(2);
	w->start_ms = clock_now_ms();
	signal(SIGPIPE, SIG_IGN);
	if (!hosted_start(&w->h))
		world_give_up(w, "no port for the platform");
	nodes_init(&w->ns, &w->h, WORLD_NODES, WORLD_ENTRIES);
	start_links(w);
	for (int i = 0; i < WORLD_NODES; i++) {
		if (!world_write_settings(w, i) || !node_start(&w->ns, i))
			world_give_up(w, "a daemon did not start");
	}
	for (int i = 0; i < WORLD_NODES; i++) {
		if (!node_wait_ready(&w->ns, i, READY_MS))
			world_give_up(w, "a daemon did not become ready");
	}
	world_sleep_ms(SETTLE_MS);
	world_note(w, "all daemons are ready; trouble=%d", world_trouble());
}

static json_t *route(const char *name, const char *host, const char *prefix,
		     const char *kind, const char *service, int attempts)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "name", name,
			 "host", host, "prefix", prefix, "kind", kind,
			 "service", service, "timeout_ms", 2000,
			 "target_latency_ms", 150, "max_attempts", attempts);
}

static json_t *rollout_route(const char *name, const char *prefix)
{
	json_t *r = route(name, "h1", prefix, "rollout", "engines", 3);

	json_object_set_new(r, "max_queue_s", json_integer(MAX_QUEUE_S));
	json_object_set_new(r, "run_deadline_ms", json_integer(7500));
	json_object_set_new(r, "timeout_ms", json_integer(10000));
	return r;
}

void world_publish_tenants(struct world *w, json_t *tenants)
{
	json_t *routes = json_array();

	json_array_append_new(
		routes, route("book", "h1", "/book/", "idempotent", "desk", 2));
	json_array_append_new(routes, route("pay", "h1", "/pay/",
					    "non_idempotent", "desk", 2));
	json_array_append_new(routes, rollout_route("learn", "/learn/"));
	w->h.conf_version += 3;
	hosted_put(&w->h, "op/config",
		   json_pack("{s:I,s:o,s:[{s:s,s:{s:i}},{s:s}],s:o}", "version",
			     (json_int_t)w->h.conf_version, "routes", routes,
			     "services", "name", "engines", "engine",
			     "kv_capacity", 10000, "name", "desk", "tenants",
			     tenants));
}

void world_publish_conf(struct world *w)
{
	world_publish_tenants(w, json_pack("[{s:s,s:[s,s]}]", "name", "t1",
					   "api_keys", "k1", "k2"));
}

char *world_batch(const char *id, const char *prefix, int items)
{
	json_t *arr = json_array();
	json_t *obj;
	char *text;

	for (int i = 0; i < items; i++) {
		char item[64], path[96], group[64];

		snprintf(item, sizeof(item), "%s.%d", id, i);
		snprintf(path, sizeof(path), "%s%d", prefix, i);
		snprintf(group, sizeof(group), "g%d", i / 4);
		obj = json_pack("{s:s,s:s,s:s,s:{s:s},s:s,s:i}", "id", item,
				"path", path, "group", group, "headers",
				"X-Catkinpath-Model", "m", "body", "AAEC",
				"token_count", 10);
		json_array_append_new(arr, obj);
	}
	obj = json_pack("{s:i,s:s,s:i,s:i,s:o}", "step", 0, "model", "m",
			"min_version", 1, "target_groups", items / 4, "items",
			arr);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	return text;
}

int world_submit(struct world *w, int node, const char *id, const char *prefix,
		 const char *body)
{
	struct response a;
	char path[128];
	int status;

	snprintf(path, sizeof(path), "%s%s", prefix, id);
	node_call(&w->ns, node, "POST", path, "k1", id, body, &a);
	world_note(w, "submitted batch %s at %s: status %d", id,
		   w->ns.list[node].id, a.status);
	status = a.status;
	response_free(&a);
	return status;
}

int world_runner(struct world *w, const char *batch)
{
	size_t len = strlen(batch);
	int node = -1;

	pthread_mutex_lock(&w->h.lock);
	for (int i = 0; i < w->h.n_runs && node < 0; i++) {
		const char *id = w->h.runs[i].id;

		if (strncmp(id, batch, len) == 0 && id[len] == '.')
			node = node_of_run(&w->ns, &w->h.runs[i]);
	}
	pthread_mutex_unlock(&w->h.lock);
	return node;
}
