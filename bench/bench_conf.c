// Cost of the configuration: document size, parse time, bytes per node and store
// calls to keep it in force, in virtual time.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <jansson.h>

#include "conf/edit.h"
#include "conf/sync.h"
#include "support/bench.h"

enum {
	NODES_MAX = 370,
	DOMAINS_MAX = 10,
	CONTACTS_PER_DOMAIN = 6, ///< known in each other failure domain
	TICK_MS = 20,
	RUN_MS = 20000,
	QUEUE_CAPACITY = 65536,
	FRAME_BYTES = 70, ///< TCP, IP and ZeroMQ overhead of a message
	HEADER_BYTES = 22, ///< largest message without a document
	EDITS_PER_DAY = 2000,
	DAY_S = 86400,
	BYTES_PER_S_MAX = 7000, ///< limit of a node's whole control traffic
	PARSES = 20,
};

struct node {
	struct conf_sync *sync;
	char id[16];
	char domain[16];
	uint64_t bytes; ///< sent and received
};

struct queued_msg {
	int from;
	int to;
	struct conf_msg m; ///< its text points to the global document
};

static struct node nodes[NODES_MAX];
static int n_nodes;
static struct queued_msg queue[QUEUE_CAPACITY];
static size_t q_head, q_tail;
static int64_t now_ms;
static uint64_t store_calls;
static char *doc;
static size_t doc_len;
static uint64_t doc_rev;

/// A document with the given number of exceptions and of keys.
static struct conf *make_document(int size)
{
	struct conf *c = NULL;
	struct conf_edit_info info;
	char id[32];

	for (int i = 0; i <= size; i++) {
		struct conf *next = NULL;
		json_t *op[2] = {json_pack("{s:s,s:s}", "op", "team-add",
					   "team", "depot"),
				 NULL};
		json_t *e;

		snprintf(id, sizeof(id), "e%05d", i);
		if (i > 0) {
			json_decref(op[0]);
			op[0] = json_pack(
				"{s:s,s:s,s:s,s:s,s:i,s:s}", "op", "except",
				"scope", "team", "name", id, "field",
				"queue.max", "value", 100, "reason",
				"agreed with the planners for this season");
			snprintf(id, sizeof(id), "abcdefg%05d", i);
			op[1] = json_pack(
				"{s:s,s:s,s:s,s:s,s:s}", "op", "key-grant",
				"key", id, "team", "depot", "salt",
				"00112233445566778899aabbccddeeff", "hash",
				"00112233445566778899aabbccddeeff"
				"00112233445566778899aabbccddeeff");
		}
		e = json_pack("{s:s,s:s,s:[o,o*]}", "id", id, "author", "bench",
			      "ops", op[0], op[1]);
		if (conf_edit_apply(c, e, &next, &info) != ERR_OK)
			abort();
		json_decref(e);
		conf_free(c);
		c = next;
	}
	return c;
}

static double cpu_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec * 1000 + (double)ts.tv_nsec / 1e6;
}

/// CPU time of a parse, ms: the minimum of several, since the effects of other
/// processes on caches and pages only add to it.
static double parse_ms(const char *text, size_t len)
{
	double min_ms = 0;

	for (int i = 0; i < PARSES; i++) {
		double start_ms = cpu_ms();
		struct conf *c;

		if (conf_parse(text, len, &c) != ERR_OK)
			abort();
		conf_free(c);
		if (i == 0 || cpu_ms() - start_ms < min_ms)
			min_ms = cpu_ms() - start_ms;
	}
	return min_ms;
}

static bool bench_documents(void)
{
	static const int sizes[] = {10, 100, 1000};
	double ms[3];
	size_t bytes[3];
	char name[64];
	bool ok = true;

	for (int i = 0; i < 3; i++) {
		struct conf *c = make_document(sizes[i]);
		const char *text = conf_text(c, &bytes[i]);

		ms[i] = parse_ms(text, bytes[i]);
		conf_free(c);
		snprintf(name, sizeof(name), "conf_document_%d_exceptions_keys",
			 sizes[i]);
		ok &= bench_check(name, (double)bytes[i], "bytes",
				  BENCH_AT_MOST, CONF_DOC_MAX_BYTES);
		snprintf(name, sizeof(name), "conf_parse_%d", sizes[i]);
		ok &= bench_check(name, ms[i], "ms", BENCH_AT_MOST, 100);
	}
	/* Parse time may grow 3 times as fast as the document: margin for noise. */
	ok &= bench_check("conf_parse_growth_100_to_1000", ms[2] / ms[1],
			  "times", BENCH_AT_MOST,
			  3.0 * (double)bytes[2] / (double)bytes[1]);
	return ok;
}

static void deliver_kv_result(struct node *n, int64_t sent_ms, bool changed)
{
	struct conf_sync_kv_result kv = {
		.asked_ms = sent_ms,
		.unchanged = !changed,
		.kv_rev = doc_rev + 1,
	};

	if (changed) {
		kv.text = doc;
		kv.len = doc_len;
	}
	conf_sync_on_kv(n->sync, now_ms, &kv);
}

/// Store calls complete on the node's next tick.
struct pending {
	bool in_flight;
	bool watch;
	uint64_t after;
	int64_t sent_ms;
	int64_t deadline_ms;
};

static struct pending pending[NODES_MAX];

static void on_watch(void *ctx, uint64_t after, int64_t wait_ms)
{
	struct node *n = ctx;

	store_calls++;
	pending[n - nodes] =
		(struct pending){true, true, after, now_ms, now_ms + wait_ms};
}

static void on_read(void *ctx)
{
	struct node *n = ctx;

	store_calls++;
	pending[n - nodes] = (struct pending){true, false, 0, now_ms, now_ms};
}

static void on_send(void *ctx, const char *to, const struct conf_msg *m)
{
	struct node *n = ctx;
	struct queued_msg *msg = &queue[q_tail++ % QUEUE_CAPACITY];
	uint64_t bytes = FRAME_BYTES + HEADER_BYTES + m->len;

	msg->from = (int)(n - nodes);
	msg->to = (int)strtol(to + 1, NULL, 10);
	msg->m = *m;
	if (m->text) {
		msg->m.text = doc;
		msg->m.len = doc_len;
	}
	n->bytes += bytes;
	nodes[msg->to].bytes += bytes;
}

static void on_changed(void *ctx)
{
}

static void on_bad(void *ctx, const char *from, enum err e)
{
	if (e != ERR_CONF_OLDER)
		abort();
}

static const struct conf_sync_ops ops = {
	on_watch, on_read, on_send, on_changed, on_bad,
};

static void nodes_start(int count, int domains)
{
	n_nodes = count;
	for (int i = 0; i < count; i++) {
		struct node *n = &nodes[i];
		struct conf_sync_opts o = {n->id, n->domain, (uint64_t)i, &ops,
					   n};

		memset(n, 0, sizeof(*n));
		snprintf(n->id, sizeof(n->id), "n%03d", i);
		snprintf(n->domain, sizeof(n->domain), "d%d", i % domains);
		if (conf_sync_new(&o, &n->sync) != ERR_OK)
			abort();
	}
	for (int i = 0; i < count; i++) {
		struct conf_sync_member m[NODES_MAX];
		int seen[DOMAINS_MAX] = {0};
		size_t k = 0;

		memset(m, 0, sizeof(m));
		for (int j = 0; j < count; j++) {
			int d = j % domains;

			if (j == i || (d != i % domains &&
				       seen[d]++ >= CONTACTS_PER_DOMAIN))
				continue;
			snprintf(m[k].id, sizeof(m[k].id), "n%03d", j);
			snprintf(m[k].domain, sizeof(m[k].domain), "d%d", d);
			m[k++].alive = true;
		}
		conf_sync_set_members(nodes[i].sync, m, k);
	}
}

static void deliver_queued(void)
{
	while (q_head != q_tail) {
		struct queued_msg msg = queue[q_head++ % QUEUE_CAPACITY];

		conf_sync_on_msg(nodes[msg.to].sync, now_ms, nodes[msg.from].id,
				 &msg.m);
	}
}

static void answer_store_call(int i)
{
	struct pending *p = &pending[i];
	bool changed = !p->watch || doc_rev + 1 > p->after;

	if (!p->in_flight || (!changed && now_ms < p->deadline_ms))
		return;
	p->in_flight = false;
	deliver_kv_result(&nodes[i], p->sent_ms, changed);
}

static void run(int64_t ms)
{
	for (int64_t end = now_ms + ms; now_ms < end; now_ms += TICK_MS) {
		for (int i = 0; i < n_nodes; i++) {
			answer_store_call(i);
			conf_sync_tick(nodes[i].sync, now_ms);
		}
		deliver_queued();
	}
}

static uint64_t take_max_node_bytes(void)
{
	uint64_t max_bytes = 0;

	for (int i = 0; i < n_nodes; i++) {
		max_bytes =
			nodes[i].bytes > max_bytes ? nodes[i].bytes : max_bytes;
		nodes[i].bytes = 0;
	}
	return max_bytes;
}

static void store_put(struct conf *c)
{
	const char *text = conf_text(c, &doc_len);

	free(doc);
	doc = strdup(text);
	doc_rev = conf_rev(c);
}

/// Costs of a fleet: bytes per second of the busiest node, idle and with edits; store
/// calls per second.
static bool bench_fleet(int count, int domains, int size)
{
	struct conf *c = make_document(size);
	struct conf_edit_info info;
	json_t *e = json_loads("{\"id\":\"last\",\"author\":\"b\",\"ops\":[{"
			       "\"op\":\"set\",\"field\":\"queue.max\","
			       "\"value\":5}]}",
			       0, NULL);
	struct conf *next;
	double steady_bytes_s, edit_bytes, calls_s;
	char name[80];
	bool ok = true;

	store_put(c);
	memset(pending, 0, sizeof(pending));
	nodes_start(count, domains);
	run(5000);
	take_max_node_bytes();
	store_calls = 0;
	run(RUN_MS);
	steady_bytes_s = (double)take_max_node_bytes() * 1000 / RUN_MS;
	calls_s = (double)store_calls * 1000 / RUN_MS;
	conf_edit_apply(c, e, &next, &info);
	store_put(next);
	run(3000);
	edit_bytes = (double)take_max_node_bytes() - steady_bytes_s * 3;
	for (int i = 0; i < n_nodes; i++) {
		ok &= conf_rev(conf_sync_doc(nodes[i].sync)) == doc_rev;
		conf_sync_free(nodes[i].sync);
	}
	snprintf(name, sizeof(name), "conf_steady_%d_nodes", count);
	ok &= bench_check(name, steady_bytes_s, "bytes/s", BENCH_AT_MOST,
			  BYTES_PER_S_MAX / 2.0);
	snprintf(name, sizeof(name), "conf_with_edits_%d_nodes_%zu_bytes",
		 count, doc_len);
	ok &= bench_check(name,
			  steady_bytes_s + edit_bytes * EDITS_PER_DAY / DAY_S,
			  "bytes/s", BENCH_AT_MOST, BYTES_PER_S_MAX);
	snprintf(name, sizeof(name), "conf_store_calls_%d_nodes", count);
	ok &= bench_check(name, calls_s, "calls/s", BENCH_AT_MOST, 200);
	json_decref(e);
	conf_free(next);
	conf_free(c);
	return ok;
}

int main(void)
{
	bool ok = bench_documents();

	ok &= bench_fleet(9, 3, 20);
	ok &= bench_fleet(40, 4, 20);
	ok &= bench_fleet(100, 10, 100);
	ok &= bench_fleet(370, 10, 100);
	free(doc);
	return ok ? 0 : 1;
}
