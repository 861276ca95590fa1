// Starts and stops the stand-ins and the daemons, and sends clients' requests.
#include "lab.h"

#include <curl/curl.h>
#include <microhttpd.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <fcntl.h>

enum {
	READY_PORT = 8406,
	CONTROL_PORT = 8407,
	PEER_PORT = 7660,
	CALL_MS = 12000,
};

int64_t lab_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void lab_sleep_ms(int ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&ts, NULL);
}

void lab_note(struct lab *l, const char *fmt, ...)
{
	static int64_t start_ms;
	va_list ap;

	pthread_mutex_lock(&l->lock);
	if (!start_ms)
		start_ms = lab_now_ms();
	fprintf(l->record, "%7.3f ", (double)(lab_now_ms() - start_ms) / 1000);
	va_start(ap, fmt);
	vfprintf(l->record, fmt, ap);
	va_end(ap);
	fputc('\n', l->record);
	fflush(l->record);
	pthread_mutex_unlock(&l->lock);
}

bool lab_start(struct lab *l, const char *record, int engines, int desks,
	       const char *conf)
{
	const char *tmp = getenv("TMPDIR");

	signal(SIGPIPE, SIG_IGN);
	memset(l, 0, sizeof(*l));
	pthread_mutex_init(&l->lock, NULL);
	l->record = fopen(record, "we");
	l->runs = calloc(LAB_RUNS_MAX, sizeof(*l->runs));
	l->entry_memory_mb = 260;
	l->storage_memory_mb = 290;
	l->event_ms = 40;
	l->events = 22;
	snprintf(l->dir, sizeof(l->dir), "%s/catkin-review-XXXXXX",
		 tmp ? tmp : "/tmp");
	snprintf(l->net, sizeof(l->net), "127.%d.%d", 64 + getpid() / 250 % 128,
		 1 + getpid() % 250);
	if (!l->record || !l->runs || !mkdtemp(l->dir) || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_DEFAULT) || !lab_store_start(l))
		return false;
	l->n_servers = engines + desks;
	for (int i = 0; i < l->n_servers; i++) {
		l->servers[i].engine = i < engines;
		if (!lab_server_start(l, i))
			return false;
	}
	lab_put(l, "op/config", conf);
	return true;
}

/* As the platform fills in deploy/settings.ini. */
static bool write_settings(const struct lab *l, const struct lab_node *n)
{
	FILE *f = fopen(n->conf, "we");

	if (!f)
		return false;
	fprintf(f,
		"[node]\nid = %s\ndomain = z%c\ndrain_notice = 2500ms\n"
		"memory = %dMB\ngrace = 8s\n\n"
		"[http]\nlisten = %s:%d\nadmin = %s:%d\nmax_body = 32MB\n"
		"max_connections = 1024\n\n[front]\nhedge_percent = 10\n\n"
		"[platform]\nwire = hosted\nurl = http://%s.1:8408\n"
		"duty_url = http://%s.1:8408\ntimeout = 800ms\n"
		"value_max = 1048576B\n\n[peer]\nlisten = %s:%d\n\n"
		"[lead]\ncandidate = %d\n\n[tally]\nwindow = 5s\n\n"
		"[configuration]\napply = 2000ms\nevacuate = 5000ms\n"
		"revoke = 5000ms\n\n[servers]\nleave = 2000ms\n",
		n->name, n->name[strlen(n->name) - 1], n->memory_mb, n->ip,
		n->storage ? CONTROL_PORT : LAB_FRONT_PORT, n->ip,
		n->storage ? PEER_PORT + 15 : READY_PORT, l->net, l->net, n->ip,
		PEER_PORT, n->storage);
	return fclose(f) == 0;
}

/* The command of deploy/system.toml, in the repository's root. */
static bool spawn(struct lab_node *n)
{
	pid_t pid = fork();
	int fd;

	if (pid < 0)
		return false;
	if (pid) {
		n->pid = pid;
		return true;
	}
	fd = open(n->log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execl("target/bin/catkinpathd", "target/bin/catkinpathd", "--config",
	      n->conf, (char *)NULL);
	_exit(127);
}

bool lab_nodes_start(struct lab *l, int entry, int storage)
{
	l->n_entry = entry;
	l->n_nodes = entry + storage;
	for (int i = 0; i < l->n_nodes; i++) {
		struct lab_node *n = &l->nodes[i];

		n->storage = i >= entry;
		n->memory_mb =
			n->storage ? l->storage_memory_mb : l->entry_memory_mb;
		snprintf(n->name, sizeof(n->name), "%s-%c-%d",
			 n->storage ? "storage" : "edge", 'a' + i, i % 2 + 1);
		snprintf(n->ip, sizeof(n->ip), "%s.%d", l->net, 10 + i);
		snprintf(n->conf, sizeof(n->conf), "%s/%s.ini", l->dir,
			 n->name);
		snprintf(n->log, sizeof(n->log), "%s/%s.log", l->dir, n->name);
		if (!write_settings(l, n) || !spawn(n))
			return false;
	}
	return true;
}

bool lab_node_restart(struct lab *l, int i)
{
	return spawn(&l->nodes[i]);
}

int lab_memory_mb(const struct lab_node *n)
{
	return n->memory_mb;
}

static size_t discard(char *data, size_t size, size_t n, void *ctx)
{
	return size * n;
}

bool lab_node_ready(struct lab *l, int i)
{
	const struct lab_node *n = &l->nodes[i];
	CURL *e = curl_easy_init();
	char url[128];
	long status = 0;

	snprintf(url, sizeof(url), "http://%s:%d/catkinpath/readyz", n->ip,
		 n->storage ? PEER_PORT + 15 : READY_PORT);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 500L);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, discard);
	curl_easy_perform(e);
	curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(e);
	return status == 200;
}

bool lab_nodes_wait_ready(struct lab *l, int timeout_ms)
{
	int64_t until = lab_now_ms() + timeout_ms;

	for (int i = 0; i < l->n_nodes; i++) {
		while (!lab_node_ready(l, i)) {
			if (lab_now_ms() > until)
				return false;
			lab_sleep_ms(50);
		}
	}
	return true;
}

void lab_node_signal(struct lab *l, int i, int sig)
{
	if (l->nodes[i].pid)
		kill(l->nodes[i].pid, sig);
}

void lab_stop(struct lab *l)
{
	l->stopping = true;
	for (int i = 0; i < l->n_nodes; i++) {
		struct lab_node *n = &l->nodes[i];

		if (n->pid) {
			kill(n->pid, SIGKILL);
			waitpid(n->pid, NULL, 0);
		}
		unlink(n->conf);
		if (!getenv("KEEP_LOGS"))
			unlink(n->log);
	}
	lab_store_stop(l);
	for (int i = 0; i < l->n_servers; i++) {
		if (l->servers[i].http)
			MHD_stop_daemon(l->servers[i].http);
	}
	if (!getenv("KEEP_LOGS"))
		rmdir(l->dir);
	if (l->record)
		fclose(l->record);
}

static size_t keep(char *data, size_t size, size_t n, void *ctx)
{
	struct lab_answer *a = ctx;
	char *p = realloc(a->body, a->len + size * n + 1);

	if (!p)
		return 0;
	memcpy(p + a->len, data, size * n);
	a->body = p;
	a->len += size * n;
	a->body[a->len] = '\0';
	return size * n;
}

static struct curl_slist *header(struct curl_slist *h, const char *name,
				 const char *value)
{
	char line[512];

	if (!value)
		return h;
	snprintf(line, sizeof(line), "%s: %s", name, value);
	return curl_slist_append(h, line);
}

void lab_call(struct lab *l, int node, const char *method, const char *host,
	      const char *path, const char *key, const char *id,
	      const char *body, int wait_ms, struct lab_answer *out)
{
	CURL *e = curl_easy_init();
	struct curl_slist *h = NULL;
	char url[512], bearer[256], wait[16];
	long status = 0;

	memset(out, 0, sizeof(*out));
	snprintf(url, sizeof(url), "http://%s:%d%s", l->nodes[node].ip,
		 LAB_FRONT_PORT, path);
	snprintf(bearer, sizeof(bearer), "Bearer %s", key ? key : "");
	snprintf(wait, sizeof(wait), "%d", wait_ms);
	h = header(h, "Host", host);
	h = header(h, "Authorization", key ? bearer : NULL);
	h = header(h, "X-Catkinpath-Request-Id", id);
	h = header(h, "X-Catkinpath-Wait-Ms", wait_ms ? wait : NULL);
	h = header(h, "Content-Type", body ? "application/json" : NULL);
	h = header(h, "X-Catkinpath-Deadline-Ms", "12000");
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, h);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)CALL_MS);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, keep);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, out);
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	if (body) {
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, (long)strlen(body));
	}
	if (curl_easy_perform(e) == CURLE_OK)
		curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	out->status = (int)status;
	curl_slist_free_all(h);
	curl_easy_cleanup(e);
}

void lab_answer_free(struct lab_answer *a)
{
	free(a->body);
	memset(a, 0, sizeof(*a));
}
