// The gate's thread sends one order at a time, each on a new connection.
#include "gate/gate.h"

#include <curl/curl.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/mbox.h"
#include "gate_conn.h"
#include "upstream/head_check.h"

enum {
	GATE_RING_ENTRIES = 2 * GATE_ORDERS_MAX, ///< of each ring buffer
	GATE_URL_MAX = 512, ///< bytes
	GATE_BODY_MAX = 65536, ///< bytes of a reply
};

struct gate {
	struct gate_opts opts;
	char url[GATE_URL_MAX];
	struct gate_conn conn;
	struct mbox *orders;
	struct mbox *replies;
	_Atomic int n_outstanding; ///< orders whose reply was not taken yet
	_Atomic bool ended;
	pthread_t thread;
};

struct gate_job {
	struct gate_reply reply;
	struct head_check head; ///< of the reply
	char *path;
	char *body;
	size_t len;
};

static void job_free(struct gate_job *job)
{
	free(job->path);
	free(job->body);
	free(job);
}

static struct gate_job *job_new(const struct gate_order *o)
{
	struct gate_job *job = calloc(1, sizeof(*job));

	if (!job)
		return NULL;
	job->reply.tag = o->tag;
	job->path = strdup(o->path);
	job->body = malloc(o->len + 1);
	job->len = o->len;
	if (!job->path || !job->body) {
		job_free(job);
		return NULL;
	}
	memcpy(job->body, o->body, o->len);
	job->body[o->len] = '\0';
	return job;
}

static size_t gate_on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct gate_reply *r = ctx;
	char *body;

	if (r->len + size * n > GATE_BODY_MAX)
		return 0;
	body = realloc(r->body, r->len + size * n + 1);
	if (!body)
		return 0;
	memcpy(body + r->len, data, size * n);
	r->body = body;
	r->len += size * n;
	r->body[r->len] = '\0';
	return size * n;
}

static size_t gate_on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct gate_job *job = ctx;

	return head_check_line(&job->head, data, size * n) ? size * n : 0;
}

static bool gate_is_closed(const struct gate *g)
{
	return g->conn.closed || g->conn.close_requested ||
	       clock_now_ms() >= g->conn.deadline_ms;
}

static void gate_set_opts(struct gate *g, struct gate_job *job, CURL *h,
			  struct curl_slist *headers)
{
	const struct gate_opts *o = &g->opts;
	char url[2 * GATE_URL_MAX];

	snprintf(url, sizeof(url), "%s%s", g->url, job->path);
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h, CURLOPT_POSTFIELDS, job->body);
	curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, (long)job->len);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(h, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)o->connect_timeout_ms);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, gate_on_body);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, &job->reply);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, gate_on_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, job);
	gate_conn_attach(&g->conn, h);
}

/* libcurl takes an answer for whole that ended within its head, or with its connection;
 * the gate's own closing ends one so, too. */
static enum err gate_result(const struct gate *g, const struct head_check *head,
			    CURLcode code)
{
	if (code == CURLE_OK && head_check_framed(head))
		return ERR_OK;
	if (g->conn.closed)
		return ERR_CLOSED;
	return code == CURLE_OK || code == CURLE_PARTIAL_FILE ? ERR_UP_BROKEN
							      : ERR_TIMEOUT;
}

/* Fills the reply from the result of the HTTP request. */
static void gate_set_result(struct gate *g, struct gate_job *job, CURL *h,
			    CURLcode code)
{
	struct gate_reply *r = &job->reply;
	curl_off_t connected = 0;
	long status = 0;

	curl_easy_getinfo(h, CURLINFO_CONNECT_TIME_T, &connected);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
	r->sent = connected > 0;
	r->err = gate_result(g, &job->head, code);
	if (r->err == ERR_OK)
		r->status = (int)status;
}

static void gate_perform(struct gate *g, struct gate_job *job)
{
	struct curl_slist *headers = NULL;
	CURL *h = curl_easy_init();

	job->reply.err = ERR_NOMEM;
	if (!h)
		return;
	headers = curl_slist_append(headers, "Content-Type: application/json");
	headers = curl_slist_append(headers, "Expect:");
	gate_set_opts(g, job, h, headers);
	gate_set_result(g, job, h, curl_easy_perform(h));
	curl_easy_cleanup(h);
	curl_slist_free_all(headers);
}

static void gate_process(struct gate *g, struct gate_job *job)
{
	if (gate_is_closed(g))
		job->reply.err = ERR_CLOSED;
	else
		gate_perform(g, job);
	/* Never full: n_outstanding limits the entries of both rings. */
	mbox_put(g->replies, job);
}

static void gate_process_queue(struct gate *g)
{
	struct gate_job *job;

	while ((job = mbox_get(g->orders)))
		gate_process(g, job);
}

static void *gate_main(void *arg)
{
	struct gate *g = arg;
	struct pollfd pfd = {mbox_fd(g->orders), POLLIN, 0};

	if (!gate_conn_arm(&g->conn))
		g->conn.closed = true;
	while (!gate_is_closed(g)) {
		poll(&pfd, 1, -1);
		mbox_clear(g->orders);
		gate_process_queue(g);
	}
	g->conn.closed = true;
	gate_process_queue(g);
	gate_conn_disarm(&g->conn);
	g->ended = true;
	return NULL;
}

static struct gate *gate_alloc(const struct gate_opts *opts)
{
	struct gate *g = calloc(1, sizeof(*g));

	if (!g)
		return NULL;
	g->opts = *opts;
	snprintf(g->url, sizeof(g->url), "%s", opts->url);
	g->conn.deadline_ms = opts->deadline_ms;
	g->conn.user_timeout_ms = (int)opts->user_timeout_ms;
	g->orders = mbox_new(GATE_RING_ENTRIES);
	g->replies = mbox_new(GATE_RING_ENTRIES);
	if (g->orders && g->replies) {
		g->conn.wake_fd = mbox_fd(g->orders);
		return g;
	}
	mbox_free(g->orders);
	mbox_free(g->replies);
	free(g);
	return NULL;
}

static void gate_destroy(struct gate *g)
{
	struct gate_job *job;

	while ((job = mbox_get(g->orders)))
		job_free(job);
	while ((job = mbox_get(g->replies))) {
		free(job->reply.body);
		job_free(job);
	}
	mbox_free(g->orders);
	mbox_free(g->replies);
	free(g);
}

enum err gate_open(const struct gate_opts *opts, struct gate **out)
{
	struct gate *g = gate_alloc(opts);

	if (!g)
		return ERR_NOMEM;
	if (!gate_conn_init(&g->conn)) {
		gate_destroy(g);
		return ERR_SYS;
	}
	if (pthread_create(&g->thread, NULL, gate_main, g) != 0) {
		gate_conn_fini(&g->conn);
		gate_destroy(g);
		return ERR_SYS;
	}
	*out = g;
	return ERR_OK;
}

void gate_extend(struct gate *g, int64_t deadline_ms)
{
	if (deadline_ms > g->conn.deadline_ms)
		g->conn.deadline_ms = deadline_ms;
}

enum err gate_send(struct gate *g, const struct gate_order *o)
{
	struct gate_job *job;

	if (g->ended || gate_is_closed(g))
		return ERR_CLOSED;
	if (g->n_outstanding >= GATE_ORDERS_MAX)
		return ERR_FULL;
	job = job_new(o);
	if (!job)
		return ERR_NOMEM;
	g->n_outstanding++;
	mbox_put(g->orders, job);
	return ERR_OK;
}

/* An order queued while the thread was ending: it was never read. */
static struct gate_job *gate_take_unread(struct gate *g)
{
	struct gate_job *job = g->ended ? mbox_get(g->orders) : NULL;

	if (job)
		job->reply.err = ERR_CLOSED;
	return job;
}

bool gate_reply(struct gate *g, struct gate_reply *out)
{
	struct gate_job *job = mbox_get(g->replies);

	if (!job)
		job = gate_take_unread(g);
	if (!job)
		return false;
	g->n_outstanding--;
	*out = job->reply;
	job_free(job);
	return true;
}

void gate_close(struct gate *g)
{
	g->conn.close_requested = true;
	if (!g->ended)
		gate_conn_signal(&g->conn, g->thread);
}

bool gate_ended(const struct gate *g)
{
	return g->ended;
}

void gate_free(struct gate *g)
{
	if (!g)
		return;
	gate_close(g);
	pthread_join(g->thread, NULL);
	gate_conn_fini(&g->conn);
	gate_destroy(g);
}
