// Settings and processes of the daemons, callers, and the record.
#include "rig.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "support/addr.h"

enum {
	READY_MS = 15000,
	CALL_MS = 6000,
};

static FILE *record_file;
static int64_t record_start_ms;
static int wait_ms = 1000; ///< X-Catkinpath-Wait-Ms

bool rig_trouble(void)
{
	const char *v = getenv("TROUBLE");

	return !v || strcmp(v, "0") != 0;
}

bool rig_record_open(const char *path)
{
	record_file = fopen(path, "we");
	record_start_ms = clock_now_ms();
	return record_file != NULL;
}

void rig_record(const char *fmt, ...)
{
	va_list args;

	if (!record_file)
		return;
	fprintf(record_file, "%7.3f ",
		(double)(clock_now_ms() - record_start_ms) / 1000);
	va_start(args, fmt);
	vfprintf(record_file, fmt, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

void rig_sleep_ms(int ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000L};

	nanosleep(&ts, NULL);
}

bool rig_platform_start(struct rig *r)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return hosted_start(&r->h);
}

struct rig_node *rig_add(struct rig *r, const char *domain, bool home)
{
	const char *dir = getenv("TMPDIR");
	struct rig_node *n = &r->nodes[r->n];

	snprintf(n->id, sizeof(n->id), "n%d", r->n);
	snprintf(n->domain, sizeof(n->domain), "%s", domain);
	snprintf(n->conf, sizeof(n->conf), "%s/catkin-%d-%s.ini",
		 dir ? dir : "/tmp", (int)getpid(), n->id);
	addr_ip(r->n + 1, n->ip);
	n->home = home;
	r->n++;
	return n;
}

/* The fields of deploy/settings.ini, filled in for a small deployment. */
static bool write_settings(const struct rig *r, const struct rig_node *n)
{
	FILE *f = fopen(n->conf, "we");
	int store_port = n->by_proxy ? RIG_PROXY_PORT : HOSTED_STORE_PORT;

	if (!f)
		return false;
	fprintf(f,
		"[node]\nid = %s\ndomain = %s\ndrain_notice = 2500ms\n"
		"memory = 260MB\ngrace = 8s\n"
		"[http]\nlisten = %s:%d\nadmin = %s:%d\nmax_body = 32MB\n"
		"max_connections = 1024\n"
		"[front]\nhedge_percent = 10\n"
		"[platform]\nwire = hosted\nurl = http://%s:%d\n"
		"duty_url = http://%s:%d\ntimeout = 800ms\n"
		"value_max = 1048576B\n"
		"[peer]\nlisten = %s:%d\n[upstream]\nsource = %s\n"
		"[lead]\ncandidate = %d\n[tally]\nwindow = 5s\n"
		"[configuration]\napply = 2000ms\nevacuate = 5000ms\n"
		"revoke = 5000ms\n[servers]\nleave = 2000ms\n%s",
		n->id, n->domain, n->ip, RIG_FRONT_PORT, n->ip, RIG_ADMIN_PORT,
		r->h.ip, store_port, r->h.ip, HOSTED_STORE_PORT, n->ip,
		RIG_PEER_PORT, n->ip, n->home, r->settings ? r->settings : "");
	return fclose(f) == 0;
}

bool rig_node_start(struct rig *r, struct rig_node *n)
{
	const char *const argv[] = {"catkinpathd", "--config", n->conf, NULL};

	return write_settings(r, n) && proc_start(&n->proc, n->id, argv);
}

static size_t append_body(char *data, size_t size, size_t n, void *ctx)
{
	struct rig_answer *a = ctx;
	char *p = realloc(a->body, a->len + size * n + 1);

	if (!p)
		return 0;
	memcpy(p + a->len, data, size * n);
	a->body = p;
	a->len += size * n;
	a->body[a->len] = '\0';
	return size * n;
}

static bool is_ready(void *ctx)
{
	const struct rig_node *n = ctx;
	struct rig_answer a = {0};
	CURL *e = curl_easy_init();
	char url[128];
	long status = 0;

	snprintf(url, sizeof(url), "http://%s:%d/catkinpath/readyz", n->ip,
		 RIG_ADMIN_PORT);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, &a);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 500L);
	curl_easy_perform(e);
	curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(e);
	rig_answer_free(&a);
	return status == 200;
}

bool rig_start(struct rig *r)
{
	for (int i = 0; i < r->n; i++) {
		if (!rig_node_start(r, &r->nodes[i]))
			return false;
	}
	for (int i = 0; i < r->n; i++) {
		if (!wait_until(is_ready, &r->nodes[i], READY_MS)) {
			rig_record("%s does not get ready", r->nodes[i].id);
			return false;
		}
	}
	return true;
}

void rig_stop(struct rig *r)
{
	for (int i = 0; i < r->n; i++) {
		proc_signal(&r->nodes[i].proc, SIGCONT);
		proc_kill(&r->nodes[i].proc);
		unlink(r->nodes[i].conf);
	}
	hosted_stop(&r->h);
}

static struct curl_slist *add_header(struct curl_slist *l, const char *name,
				     const char *value)
{
	char line[512];

	if (!value)
		return l;
	snprintf(line, sizeof(line), "%s: %s", name, value);
	return curl_slist_append(l, line);
}

void rig_call(const struct rig_node *n, const char *method, const char *path,
	      const char *key, const char *id, const char *body,
	      struct rig_answer *out)
{
	struct curl_slist *l = NULL;
	CURL *e = curl_easy_init();
	char url[512], auth[128], wait[16];
	long status = 0;

	memset(out, 0, sizeof(*out));
	snprintf(url, sizeof(url), "http://%s:%d%s", n->ip, RIG_FRONT_PORT,
		 path);
	snprintf(auth, sizeof(auth), "Bearer %s", key);
	l = add_header(l, "Host", "h1");
	l = add_header(l, "Authorization", auth);
	l = add_header(l, "X-Catkinpath-Request-Id", id);
	l = add_header(l, "X-Catkinpath-Deadline-Ms", "5000");
	snprintf(wait, sizeof(wait), "%d", wait_ms);
	l = add_header(l, "X-Catkinpath-Wait-Ms", wait);
	l = curl_slist_append(l, "Expect:");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, method);
	if (body)
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, l);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, out);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)CALL_MS);
	curl_easy_perform(e);
	curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	out->status = (int)status;
	curl_easy_cleanup(e);
	curl_slist_free_all(l);
}

void rig_set_wait(int ms)
{
	wait_ms = ms;
}

void rig_answer_free(struct rig_answer *a)
{
	free(a->body);
	memset(a, 0, sizeof(*a));
}
