// Starts and stops the deployment, publishes configurations, submits batches.
#include "dep.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>

#include "base/clock.h"

enum {
	DEP_READY_MS = 20000,
};

static FILE *record_file;
static int64_t start_ms;

bool dep_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return !trouble || strcmp(trouble, "0") != 0;
}

void dep_record(const char *fmt, ...)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	const char *path = getenv("RECORD");
	va_list ap;

	pthread_mutex_lock(&lock);
	if (!record_file) {
		record_file = fopen(path ? path : "record.txt", "ae");
		start_ms = clock_now_ms();
	}
	if (record_file) {
		fprintf(record_file, "%7.3f ",
			(double)(clock_now_ms() - start_ms) / 1000);
		va_start(ap, fmt);
		vfprintf(record_file, fmt, ap);
		va_end(ap);
		fputc('\n', record_file);
		fflush(record_file);
	}
	pthread_mutex_unlock(&lock);
}

void dep_sleep_ms(int ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&ts, NULL);
}

/* The lines of deploy/settings.ini, with the bounds of the small deployments. */
static bool write_settings(const struct dep *s, int i)
{
	const struct node *n = &s->nodes.list[i];
	FILE *f = fopen(n->conf, "we");

	if (!f)
		return false;
	fprintf(f,
		"[node]\nid = %s\ndomain = d%d\ndrain_notice = 2500ms\n"
		"[http]\nlisten = %s:%d\nadmin = %s:%d\nmax_body = 32MB\n"
		"max_connections = 1024\n"
		"[front]\nhedge_percent = 10\n"
		"[platform]\nwire = hosted\nurl = http://%s:%d\n"
		"duty_url = http://%s:%d\ntimeout = 800ms\n"
		"value_max = 1048576B\n"
		"[peer]\nlisten = %s:%d\n"
		"[upstream]\nsource = %s\n"
		"[lead]\ncandidate = %d\n[tally]\nwindow = 5s\n"
		"[configuration]\napply = 2000ms\nevacuate = 5000ms\n"
		"revoke = 5000ms\n[servers]\nleave = 2000ms\n",
		n->id, i % 2 + 1, n->ip, NODE_FRONT_PORT, n->ip,
		NODE_ADMIN_PORT, s->hosted.ip, n->store_port, s->hosted.ip,
		HOSTED_STORE_PORT, n->ip, NODE_PEER_PORT, n->ip,
		i >= DEP_ENTRY_NODES);
	return fclose(f) == 0;
}

static bool start_node(struct dep *s, int i)
{
	return write_settings(s, i) && node_start(&s->nodes, i);
}

bool dep_restart_node(struct dep *s, int i)
{
	return start_node(s, i) && node_wait_ready(&s->nodes, i, DEP_READY_MS);
}

bool dep_start(struct dep *s)
{
	memset(s, 0, sizeof(*s));
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (!hosted_start(&s->hosted))
		return false;
	dep_publish(s, NULL);
	nodes_init(&s->nodes, &s->hosted, DEP_NODES, DEP_ENTRY_NODES);
	for (int i = 0; i < DEP_NODES; i++) {
		s->links[i] = quiet_start(s->hosted.ip, DEP_LINK_PORT + i,
					  s->hosted.ip, HOSTED_STORE_PORT);
		s->nodes.list[i].store_port = DEP_LINK_PORT + i;
		if (!s->links[i] || !start_node(s, i))
			return false;
	}
	for (int i = 0; i < DEP_NODES; i++) {
		if (!node_wait_ready(&s->nodes, i, DEP_READY_MS))
			return false;
	}
	return true;
}

void dep_stop(struct dep *s)
{
	nodes_stop(&s->nodes);
	for (int i = 0; i < DEP_NODES; i++)
		quiet_stop(s->links[i]);
	hosted_stop(&s->hosted);
}

/* Tenants t1, t2, ... with the keys k1, k2, ... */
static json_t *tenants(void)
{
	json_t *list = json_array();

	for (int i = 1; i <= DEP_TENANTS; i++) {
		char name[16], key[16];

		snprintf(name, sizeof(name), "t%d", i);
		snprintf(key, sizeof(key), "k%d", i);
		json_array_append_new(list, json_pack("{s:s,s:[s]}", "name",
						      name, "api_keys", key));
	}
	return list;
}

void dep_publish(struct dep *s, json_t *extra_routes)
{
	json_t *routes = json_pack(
		"[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i},"
		"{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i},"
		"{s:s,s:s,s:s,s:s,s:s,s:b,s:i,s:i,s:i}]",
		"name", "book", "host", "h1", "prefix", "/book/", "kind",
		"idempotent", "service", "desk", "target_latency_ms", 150,
		"timeout_ms", 2000, "max_attempts", 2, "name", "learn", "host",
		"h1", "prefix", "/learn/", "kind", "rollout", "service",
		"engines", "max_queue_s", 40, "run_deadline_ms", 7500,
		"max_attempts", 3, "target_latency_ms", 400, "name", "rate",
		"host", "h2", "prefix", "/rate/", "kind", "idempotent",
		"service", "desk", "public", 1, "target_latency_ms", 300,
		"timeout_ms", 2000, "max_attempts", 4);

	if (extra_routes) {
		json_array_extend(routes, extra_routes);
		json_decref(extra_routes);
	}
	s->conf_version += 10;
	hosted_put(&s->hosted, "op/config",
		   json_pack("{s:I,s:o,s:[{s:s,s:{s:i}},{s:s}],s:o}", "version",
			     (json_int_t)s->conf_version, "routes", routes,
			     "services", "name", "engines", "engine",
			     "kv_capacity", 10000, "name", "desk", "tenants",
			     tenants()));
	dep_record("operator: configuration %d is acknowledged by the store",
		   (int)s->conf_version);
}

int dep_submit(struct dep *s, int node, const char *key, const char *path,
	       const char *id, int items)
{
	char *body = batch_body(id, items, 1);
	struct response a;
	int status;

	node_call(&s->nodes, node, "POST", path, key, id, body, &a);
	status = a.status;
	response_free(&a);
	free(body);
	return status;
}

int dep_owner(struct dep *s, const char *id)
{
	char key[96];
	char *value;
	int node = -1;

	snprintf(key, sizeof(key), "catkin/run/%s", id);
	value = hosted_get_value(&s->hosted, key);
	for (int i = 0; value && i < DEP_NODES; i++) {
		char name[64];

		snprintf(name, sizeof(name), "\"%s\"", s->nodes.list[i].id);
		if (strstr(value, name))
			node = i;
	}
	free(value);
	return node;
}

int dep_runs(struct dep *s, const char *batch)
{
	struct hosted *h = &s->hosted;
	size_t len = strlen(batch);
	int n = 0;

	pthread_mutex_lock(&h->lock);
	for (int i = 0; i < h->n_runs; i++) {
		const char *id = h->runs[i].id;

		n += strncmp(id, batch, len) == 0 && id[len] == '.';
	}
	pthread_mutex_unlock(&h->lock);
	return n;
}

void dep_record_runs(struct dep *s)
{
	struct hosted *h = &s->hosted;

	pthread_mutex_lock(&h->lock);
	for (int i = 0; i < h->n_runs; i++)
		dep_record("run: %s of %s at server i-%d, sent by n%d",
			   h->runs[i].id, h->runs[i].team, h->runs[i].server,
			   node_of_run(&s->nodes, &h->runs[i]));
	pthread_mutex_unlock(&h->lock);
}
