// A trainer's batches are larger than usual, but within what clients may send. The platform
// ends a process that uses more memory than its VM has, and starts it again.
#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "conf.h"
#include "lab.h"

enum {
	ENTRY = 6,
	STORAGE = 3,
	CALLERS = 48,
	ITEMS = 64,
	BIG_ITEM_BYTES = 320000, ///< in base64: a batch has 20 MB
	SMALL_ITEM_BYTES = 3200,
	STEPS = 10,
	STEP_MS = 4000,
	ATTEMPTS = 2, ///< the sheet: one retry
	READY_MS = 20000,
	SETTLE_MS = 3000,
	THINK_MS = 300, ///< between a caller's bookings
	ANSWER_MS = 1500, ///< deadline of a booking
	CHECK_MS = 10, ///< of the memory
	RESTART_MS = 300,
	LOST_MAX = 3, ///< the rule: more than three times
};

struct caller {
	struct lab *lab;
	int index;
	pthread_t thread;
};

/// A booking that got no answer.
struct lost {
	char id[LAB_NAME_BYTES];
	int node;
	bool kept; ///< not the first request of its connection
};

static struct {
	pthread_mutex_t lock;
	struct lost lost[4096];
	int n_lost;
	int answered;
	int ends[LAB_NODES_MAX]; ///< of a node's processes, by their memory
	volatile bool stop;
} seen = {.lock = PTHREAD_MUTEX_INITIALIZER};

static int dial(struct lab *l, int node)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons(LAB_FRONT_PORT)};
	struct timeval limit = {.tv_sec = ANSWER_MS / 1000,
				.tv_usec = ANSWER_MS % 1000 * 1000};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, l->nodes[node].ip, &sa.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Read one answer.
 *
 * @return its status, 0 if the connection ended before it was whole, -1 for a timeout */
static int read_answer(int fd)
{
	char buf[8192];
	size_t len = 0;

	for (;;) {
		ssize_t n = recv(fd, buf + len, sizeof(buf) - 1 - len, 0);
		const char *end, *field;

		if (n <= 0)
			return n < 0 && len == 0 && (errno == EAGAIN) ? -1 : 0;
		len += (size_t)n;
		buf[len] = '\0';
		end = strstr(buf, "\r\n\r\n");
		field = strcasestr(buf, "Content-Length:");
		if (!end)
			continue;
		if (!field || len >= (size_t)(end + 4 - buf) +
					      strtoul(field + 15, NULL, 10))
			return atoi(buf + 9);
	}
}

static void note_lost(const char *id, int node, bool kept)
{
	pthread_mutex_lock(&seen.lock);
	if (seen.n_lost < (int)(sizeof(seen.lost) / sizeof(*seen.lost))) {
		struct lost *x = &seen.lost[seen.n_lost++];

		snprintf(x->id, sizeof(x->id), "%s", id);
		x->node = node;
		x->kept = kept;
	}
	pthread_mutex_unlock(&seen.lock);
}

/* Bookings of one caller, one after the other, on a connection that is kept. */
static void *call_on(void *ctx)
{
	struct caller *c = ctx;
	int node = c->index % ENTRY;
	int on_conn = 0;
	int fd = -1;

	for (int i = 0; !seen.stop; i++) {
		char id[32], text[512];
		int status;

		if (fd < 0) {
			fd = dial(c->lab, node);
			on_conn = 0;
		}
		if (fd < 0) {
			lab_sleep_ms(THINK_MS);
			continue;
		}
		snprintf(id, sizeof(id), "b%03d%06d", c->index, i);
		snprintf(text, sizeof(text),
			 "POST /book/%s HTTP/1.1\r\nHost: desk.example\r\n"
			 "X-Catkinpath-Request-Id: %s\r\n"
			 "X-Catkinpath-Deadline-Ms: %d\r\n"
			 "Authorization: Bearer key-of-beta\r\n"
			 "Content-Length: 4\r\n\r\nbook",
			 id, id, ANSWER_MS);
		status = send(fd, text, strlen(text), MSG_NOSIGNAL) < 0
				 ? 0
				 : read_answer(fd);
		if (status > 0) {
			pthread_mutex_lock(&seen.lock);
			seen.answered++;
			pthread_mutex_unlock(&seen.lock);
		} else {
			if (status == 0)
				note_lost(id, node, on_conn > 0);
			close(fd);
			fd = -1;
		}
		on_conn++;
		lab_sleep_ms(THINK_MS);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static long resident_kb(pid_t pid)
{
	char path[64], line[256];
	long kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "re");
	while (f && fgets(line, sizeof(line), f)) {
		if (strncmp(line, "VmRSS:", 6) == 0)
			kb = strtol(line + 6, NULL, 10);
	}
	if (f)
		fclose(f);
	return kb;
}

/* DEPLOY.md: "A process that uses more than `memory_mb` is killed." and "A process that
 * exits or is killed is restarted after a short delay". */
static void *guard_memory(void *ctx)
{
	struct lab *l = ctx;

	while (!seen.stop) {
		for (int i = 0; i < l->n_nodes; i++) {
			struct lab_node *n = &l->nodes[i];
			long kb = resident_kb(n->pid);

			if (kb <= (long)lab_memory_mb(n) * 1024)
				continue;
			lab_note(l, "%s uses %ld MB, its VM has %d: ended",
				 n->name, kb / 1024, lab_memory_mb(n));
			kill(n->pid, SIGKILL);
			waitpid(n->pid, NULL, 0);
			n->pid = 0;
			seen.ends[i]++;
			lab_sleep_ms(RESTART_MS);
			lab_node_restart(l, i);
		}
		lab_sleep_ms(CHECK_MS);
	}
	return NULL;
}

static char *batch(const char *batch_id, int step, size_t item_bytes)
{
	json_t *items = json_array();
	char *body = malloc(item_bytes + 1);
	json_t *obj;
	char *text;

	memset(body, 'A', item_bytes);
	body[item_bytes] = '\0';
	for (int i = 0; i < ITEMS; i++) {
		char id[48], group[32];

		snprintf(id, sizeof(id), "%.12s%04d", batch_id, i);
		snprintf(group, sizeof(group), "g%d", i / 4);
		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:{s:s,s:s,s:s},s:s,s:i,s:s}", "id",
				  id, "path", "/learn/3/91c4", "headers",
				  "X-Catkinpath-Model", "m",
				  "X-Catkinpath-Token-Count", "1016,400",
				  "X-Catkinpath-Prompt-Prefix",
				  "9c2e41:1000,5d07b8:16", "body", body,
				  "token_count", 1416, "group", group));
	}
	obj = json_pack("{s:i,s:s,s:i,s:i,s:o}", "step", step, "model", "m",
			"min_version", 1, "target_groups", 14, "items", items);
	text = json_dumps(obj, JSON_COMPACT);
	json_decref(obj);
	free(body);
	return text;
}

/* One step: the batch, and once more at another node after no answer. */
static void submit(struct lab *l, int step, size_t item_bytes)
{
	char id[32], path[64];
	char *body;
	int status = 0;

	snprintf(id, sizeof(id), "7c41%08x%04d", 0x52d6a3f8, step);
	snprintf(path, sizeof(path), "/learn/%s", id);
	body = batch(id, step, item_bytes);
	for (int i = 0; i < ATTEMPTS; i++) {
		int node = (step + i) % ENTRY;
		struct lab_answer a;

		lab_call(l, node, "POST", "learn.example", path, "key-of-alpha",
			 id, body, 0, &a);
		status = a.status;
		lab_note(l, "sent batch %s of %zu bytes to %s, answer %d", id,
			 strlen(body), l->nodes[node].name, status);
		lab_answer_free(&a);
		if (status && status != 503 && status != 429 && status != 504)
			break;
	}
	free(body);
}

static bool was_run(const struct lab *l, const char *id)
{
	for (int i = 0; i < l->n_runs; i++) {
		if (strcmp(l->runs[i].id, id) == 0)
			return true;
	}
	return false;
}

static int judge(struct lab *l)
{
	int lost = 0;
	int often = 0;

	for (int i = 0; i < seen.n_lost; i++) {
		const struct lost *x = &seen.lost[i];
		bool run = was_run(l, x->id);

		lab_note(l,
			 "booking %s at %s: connection closed, no answer%s%s",
			 x->id, l->nodes[x->node].name,
			 x->kept ? "" : ", first of its connection",
			 run ? "" : ", not passed on");
		lost += run && x->kept;
	}
	for (int i = 0; i < l->n_nodes; i++) {
		if (seen.ends[i])
			lab_note(l, "%s ended %d times", l->nodes[i].name,
				 seen.ends[i]);
		often += seen.ends[i] >= 3;
	}
	lab_note(l,
		 "%d bookings answered; %d on kept connections were passed on "
		 "and closed without an answer; %d nodes ended three times",
		 seen.answered, lost, often);
	if (!seen.answered)
		return LAB_EXIT_CANNOT_RUN;
	return lost > LOST_MAX ? LAB_EXIT_BROKEN : LAB_EXIT_HELD;
}

static int play(struct lab *l, size_t item_bytes)
{
	static struct caller callers[CALLERS];
	pthread_t guard;

	pthread_create(&guard, NULL, guard_memory, l);
	for (int i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){.lab = l, .index = i};
		pthread_create(&callers[i].thread, NULL, call_on, &callers[i]);
	}
	lab_sleep_ms(SETTLE_MS);
	for (int step = 0; step < STEPS; step++) {
		int64_t next_ms = lab_now_ms() + STEP_MS;

		submit(l, step, item_bytes);
		while (lab_now_ms() < next_ms)
			lab_sleep_ms(20);
	}
	seen.stop = true;
	for (int i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	pthread_join(guard, NULL);
	return judge(l);
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool big = !trouble || strcmp(trouble, "0") != 0;
	int code = LAB_EXIT_CANNOT_RUN;
	static struct lab l;

	if (lab_start(&l, argc > 1 ? argv[1] : "record.txt", 4, 3, LAB_CONF)) {
		l.entry_memory_mb = 110;
		l.storage_memory_mb = 130;
		if (lab_nodes_start(&l, ENTRY, STORAGE) &&
		    lab_nodes_wait_ready(&l, READY_MS)) {
			lab_sleep_ms(SETTLE_MS);
			code = play(&l,
				    big ? BIG_ITEM_BYTES : SMALL_ITEM_BYTES);
		}
	}
	lab_stop(&l);
	printf("%s\n", code == LAB_EXIT_BROKEN ? "broken"
		       : code == LAB_EXIT_HELD ? "held"
					       : "cannot run");
	return code;
}
