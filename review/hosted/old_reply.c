// An entry node is killed while clients wait there for results, and starts again at
// once. The home's replies to the reads of the old process reach the new process, which
// takes them for replies to its own reads: clients of another tenant get them.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <pthread.h>

#include "base/clock.h"
#include "dep.h"

enum {
	ENTRY = 0, ///< the node that is killed
	OTHER_ENTRY = 1, ///< accepts the batches
	FIRST_BATCHES = 4, ///< of the first tenant
	FIRST_ITEMS = 8, ///< of each
	SECOND_ITEMS = 12, ///< of the second tenant's batch
	FIRST_READERS = 12, ///< that wait when the node is killed
	SECOND_READERS = 30, ///< that come afterwards
	SECOND_FROM_MS = 600, ///< after the kill
	SECOND_INTERVAL_MS = 12,
	EVENT_MS = 100, ///< between two events of a text
	/// From the first tenant's batches to its reads: results are there a second later.
	FIRST_READ_AFTER_MS = 330,
	KILL_AFTER_MS = 25, ///< from the first tenant's reads
	RESTART_MS = 50, ///< from the kill to the new process
	SETTLE_MS = 2500,
};

static struct dep dep;

struct reader {
	const char *key;
	char batch[32];
	int total; ///< items of the batch
	int status;
	int wrong; ///< signs of another batch in the answer
	pthread_t thread;
};

struct text {
	char *bytes;
	size_t len;
};

static size_t append(char *data, size_t size, size_t n, void *ctx)
{
	struct text *t = ctx;
	char *p = realloc(t->bytes, t->len + size * n + 1);

	if (!p)
		return 0;
	memcpy(p + t->len, data, size * n);
	t->bytes = p;
	t->len += size * n;
	p[t->len] = '\0';
	return size * n;
}

/* Count what does not belong to the reader's batch. */
static int count_wrong(const struct reader *r, const char *text)
{
	json_t *page = json_loads(text ? text : "", 0, NULL);
	const json_t *results = json_object_get(page, "results");
	int wrong = 0;

	if (json_integer_value(json_object_get(page, "total")) != r->total) {
		wrong++;
		dep_record("client: %s asked for %s (%d items), got %.200s",
			   r->key, r->batch, r->total, text);
	}
	for (size_t i = 0; i < json_array_size(results); i++) {
		const json_t *result = json_array_get(results, i);
		const char *id =
			json_string_value(json_object_get(result, "id"));

		if (!id || strncmp(id, r->batch, strlen(r->batch)) != 0)
			wrong++;
	}
	json_decref(page);
	return wrong;
}

/* Read a batch from the start, as trainers do: wait a second for results. */
static void *read_batch(void *ctx)
{
	struct reader *r = ctx;
	struct curl_slist *headers = NULL;
	struct text text = {0};
	CURL *e = curl_easy_init();
	char url[160], auth[64];
	long status = 0;
	CURLcode ended;

	snprintf(url, sizeof(url), "http://%s:%d/catkinpath/lots/%s?after=0",
		 dep.nodes.list[ENTRY].ip, NODE_FRONT_PORT, r->batch);
	snprintf(auth, sizeof(auth), "Authorization: Bearer %s", r->key);
	headers = curl_slist_append(headers, "Host: h1");
	headers = curl_slist_append(headers, auth);
	headers = curl_slist_append(headers, "X-Catkinpath-Wait-Ms: 1000");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, append);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, &text);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, 4000L);
	ended = curl_easy_perform(e);
	curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);
	r->status = (int)status;
	dep_record("client: %s read %s at n%d: %ld, %s", r->key, r->batch,
		   ENTRY, status, curl_easy_strerror(ended));
	/* An answer that the kill broke off is no answer of another read. */
	if (status == 200 && ended == CURLE_OK)
		r->wrong = count_wrong(r, text.bytes);
	curl_slist_free_all(headers);
	curl_easy_cleanup(e);
	free(text.bytes);
	return NULL;
}

static bool start_reader(struct reader *r, const char *key, const char *batch,
			 int total)
{
	r->key = key;
	snprintf(r->batch, sizeof(r->batch), "%s", batch);
	r->total = total;
	return pthread_create(&r->thread, NULL, read_batch, r) == 0;
}

static int home_of(const char *key)
{
	char id[32], path[48];

	snprintf(id, sizeof(id), "probe-%s", key);
	snprintf(path, sizeof(path), "/learn/%s", id);
	dep_submit(&dep, OTHER_ENTRY, key, path, id, 2);
	return dep_owner(&dep, id);
}

/* Another tenant whose batches have the same home, NULL if there is none. */
static const char *second_tenant(int home)
{
	static const char *const keys[] = {"k2", "k3", "k4", "k5",
					   "k6", "k7", "k8"};

	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		if (home_of(keys[i]) == home)
			return keys[i];
	}
	return NULL;
}

static bool submit(const char *key, const char *id, int items)
{
	char path[48];
	int status;

	snprintf(path, sizeof(path), "/learn/%s", id);
	status = dep_submit(&dep, OTHER_ENTRY, key, path, id, items);
	dep_record("trainer: %s submits %s with %d items at n%d: %d, owner "
		   "n%d",
		   key, id, items, OTHER_ENTRY, status, dep_owner(&dep, id));
	return status == 202;
}

static void kill_entry(void)
{
	proc_kill(&dep.nodes.list[ENTRY].proc);
	dep_record("disruption: the process of n%d is killed", ENTRY);
	dep_sleep_ms(RESTART_MS);
	node_start(&dep.nodes, ENTRY);
	dep_record("n%d starts again", ENTRY);
}

/* @return signs of another batch in the clients' answers, -1 if a batch was refused */
static int run_round(const char *key, int round, int *answered)
{
	static struct reader first[FIRST_READERS];
	static struct reader second[SECOND_READERS];
	int64_t killed_ms;
	int wrong = 0;
	char id[32], own[32];

	memset(first, 0, sizeof(first));
	memset(second, 0, sizeof(second));
	snprintf(own, sizeof(own), "Lsecond%d", round);
	if (!submit(key, own, SECOND_ITEMS))
		return -1;
	for (int i = 0; i < FIRST_BATCHES; i++) {
		snprintf(id, sizeof(id), "first%d-%d", round, i);
		if (!submit("k1", id, FIRST_ITEMS))
			return -1;
	}
	dep_sleep_ms(FIRST_READ_AFTER_MS);
	for (int i = 0; i < FIRST_READERS; i++) {
		snprintf(id, sizeof(id), "first%d-%d", round,
			 i % FIRST_BATCHES);
		start_reader(&first[i], "k1", id, FIRST_ITEMS);
	}
	dep_sleep_ms(KILL_AFTER_MS);
	killed_ms = clock_now_ms();
	if (dep_trouble())
		kill_entry();
	for (int i = 0; i < SECOND_READERS; i++) {
		int64_t due_ms =
			killed_ms + SECOND_FROM_MS + i * SECOND_INTERVAL_MS;

		if (due_ms > clock_now_ms())
			dep_sleep_ms((int)(due_ms - clock_now_ms()));
		start_reader(&second[i], key, own, SECOND_ITEMS);
	}
	for (int i = 0; i < FIRST_READERS; i++) {
		pthread_join(first[i].thread, NULL);
		wrong += first[i].wrong;
	}
	for (int i = 0; i < SECOND_READERS; i++) {
		pthread_join(second[i].thread, NULL);
		wrong += second[i].wrong;
		*answered += second[i].status == 200;
	}
	dep_record("%s read %s %d times, %d signs of another tenant's batch",
		   key, own, SECOND_READERS, wrong);
	return wrong;
}

static int run_case(void)
{
	const char *key = NULL;
	int answered = 0;
	int wrong = 0;
	int home;

	/* Nodes don't ask homes in their first 600 ms. */
	dep_sleep_ms(SETTLE_MS);
	home = home_of("k1");
	if (home >= DEP_ENTRY_NODES)
		key = second_tenant(home);
	if (!key)
		return CASE_NOT_RUN;
	dep_record("home of k1 and %s: n%d; clients read at n%d", key, home,
		   ENTRY);
	dep_sleep_ms(SETTLE_MS);
	dep.hosted.event_ms = EVENT_MS;
	wrong = run_round(key, 0, &answered);
	if (!answered || wrong < 0)
		return CASE_NOT_RUN;
	return wrong ? CASE_BROKEN : CASE_HELD;
}

int main(void)
{
	int code = dep_start(&dep) ? run_case() : CASE_NOT_RUN;

	dep_record_runs(&dep);
	dep_record("exit code %d", code);
	dep_stop(&dep);
	return code;
}
