// The platform's store, and its calls for usage reports and orders of servers.
#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "lab.h"

enum {
	STORE_PORT = 8408,
	PAGE_ITEMS = 500, ///< of a list, see the page on the store
	PAGE_BYTES = 1000000,
	BASE64 = sodium_base64_VARIANT_ORIGINAL,
	HISTORY_MS_TICK = 10, ///< between checks of the leases
	CONNECTIONS_MAX = 2000,
};

struct call {
	char *data;
	size_t len;
};

/* Position of a key, or where it would stand. */
static size_t find(const struct lab_store *s, const char *key)
{
	size_t from = 0;
	size_t to = s->n;

	while (from < to) {
		size_t mid = from + (to - from) / 2;

		if (strcmp(s->keys[mid].key, key) < 0)
			from = mid + 1;
		else
			to = mid;
	}
	return from;
}

static struct lab_key *get(struct lab_store *s, const char *key)
{
	size_t i = find(s, key);

	return i < s->n && strcmp(s->keys[i].key, key) == 0 ? &s->keys[i]
							    : NULL;
}

static void *grow(void *p, size_t n, size_t *cap, size_t size)
{
	if (n < *cap)
		return p;
	*cap = *cap ? 2 * *cap : 1024;
	p = realloc(p, *cap * size);
	if (!p)
		abort();
	return p;
}

static struct lab_key *add(struct lab_store *s, const char *key)
{
	size_t i = find(s, key);

	s->keys = grow(s->keys, s->n, &s->cap, sizeof(*s->keys));
	memmove(s->keys + i + 1, s->keys + i, (s->n - i) * sizeof(*s->keys));
	s->n++;
	s->keys[i] = (struct lab_key){.key = strdup(key)};
	return &s->keys[i];
}

static void log_change(struct lab_store *s, const char *key, const char *value)
{
	s->changes = grow(s->changes, s->n_changes, &s->changes_cap,
			  sizeof(*s->changes));
	s->changes[s->n_changes++] = (struct lab_change){
		s->rev, strdup(key), value ? strdup(value) : NULL};
	pthread_cond_broadcast(&s->changed);
}

static void set(struct lab_store *s, const char *key, const char *value,
		uint64_t lease)
{
	struct lab_key *k = get(s, key);

	if (!k)
		k = add(s, key);
	free(k->value);
	k->value = value ? strdup(value) : NULL;
	k->rev = ++s->rev;
	k->lease = lease;
	log_change(s, key, value);
}

static char *encode(const char *text)
{
	size_t len = strlen(text);
	size_t max = sodium_base64_ENCODED_LEN(len, BASE64);
	char *out = malloc(max);

	sodium_bin2base64(out, max, (const unsigned char *)text, len, BASE64);
	return out;
}

void lab_put(struct lab *l, const char *key, const char *text)
{
	char *value = encode(text);

	pthread_mutex_lock(&l->store.lock);
	set(&l->store, key, value, 0);
	pthread_mutex_unlock(&l->store.lock);
	free(value);
}

void lab_fill(struct lab *l, const char *key, const char *text)
{
	struct lab_store *s = &l->store;

	s->keys = grow(s->keys, s->n, &s->cap, sizeof(*s->keys));
	s->keys[s->n++] = (struct lab_key){
		.key = strdup(key), .value = encode(text), .rev = ++s->rev};
}

static int by_key(const void *a, const void *b)
{
	const struct lab_key *x = a;
	const struct lab_key *y = b;

	return strcmp(x->key, y->key);
}

void lab_fill_end(struct lab *l)
{
	qsort(l->store.keys, l->store.n, sizeof(*l->store.keys), by_key);
}

char *lab_get(struct lab *l, const char *key)
{
	const struct lab_key *k;
	char *out = NULL;
	size_t len = 0;

	pthread_mutex_lock(&l->store.lock);
	k = get(&l->store, key);
	if (k && k->value) {
		out = calloc(1, strlen(k->value) + 1);
		sodium_base642bin((unsigned char *)out, strlen(k->value),
				  k->value, strlen(k->value), NULL, &len, NULL,
				  BASE64);
	}
	pthread_mutex_unlock(&l->store.lock);
	return out;
}

static void drop_lease(struct lab_store *s, struct lab_lease *lease)
{
	uint64_t id = lease->id;

	lease->id = 0;
	for (size_t i = 0; i < s->n; i++) {
		if (s->keys[i].lease == id && s->keys[i].value)
			set(s, s->keys[i].key, NULL, 0);
	}
}

static void expire(struct lab_store *s)
{
	int64_t now = lab_now_ms();

	for (size_t i = 0; i < sizeof(s->leases) / sizeof(*s->leases); i++) {
		if (s->leases[i].id && now >= s->leases[i].end_ms)
			drop_lease(s, &s->leases[i]);
	}
}

static struct lab_lease *find_lease(struct lab_store *s, uint64_t id)
{
	for (size_t i = 0; i < sizeof(s->leases) / sizeof(*s->leases); i++) {
		if (s->leases[i].id == id)
			return &s->leases[i];
	}
	return NULL;
}

static void wait_change(struct lab_store *s)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_nsec += HISTORY_MS_TICK * 1000000L;
	if (ts.tv_nsec >= 1000000000L) {
		ts.tv_nsec -= 1000000000L;
		ts.tv_sec++;
	}
	pthread_cond_timedwait(&s->changed, &s->lock, &ts);
	expire(s);
}

int lab_mhd_query(struct MHD_Connection *conn, const char *name, char *out,
		  size_t len)
{
	const char *v =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	snprintf(out, len, "%s", v ? v : "");
	return v != NULL;
}

static void print_item(FILE *f, const char *key, const char *value,
		       uint64_t rev, uint64_t lease)
{
	if (value)
		fprintf(f,
			"{\"key\":\"%s\",\"value\":\"%s\",\"rev\":%llu,"
			"\"created\":%llu,\"lease\":%llu}",
			key, value, (unsigned long long)rev,
			(unsigned long long)rev, (unsigned long long)lease);
	else
		fprintf(f, "{\"key\":\"%s\",\"rev\":%llu,\"deleted\":true}",
			key, (unsigned long long)rev);
}

static void list(struct lab_store *s, struct MHD_Connection *conn, FILE *f)
{
	char prefix[256], after[256];
	size_t len, bytes = 0;
	int n = 0;
	bool more = false;

	lab_mhd_query(conn, "prefix", prefix, sizeof(prefix));
	lab_mhd_query(conn, "after", after, sizeof(after));
	len = strlen(prefix);
	s->list_calls += strcmp(prefix, "catkin/run/") == 0;
	fputs("{\"items\":[", f);
	for (size_t i = find(s, *after ? after : prefix); i < s->n; i++) {
		const struct lab_key *k = &s->keys[i];

		if (strncmp(k->key, prefix, len) != 0)
			break;
		if (!k->value || (*after && strcmp(k->key, after) <= 0))
			continue;
		if (n == PAGE_ITEMS || (n && bytes > PAGE_BYTES)) {
			more = true;
			break;
		}
		if (n++)
			fputc(',', f);
		bytes += strlen(k->value);
		print_item(f, k->key, k->value, k->rev, k->lease);
	}
	fprintf(f, "],\"has_more\":%s,\"at\":%llu}", more ? "true" : "false",
		(unsigned long long)s->rev);
}

/* First change after a revision. */
static size_t first_change(const struct lab_store *s, uint64_t after)
{
	size_t i = s->n_changes;

	while (i && s->changes[i - 1].rev > after)
		i--;
	return i;
}

static bool has_change(const struct lab_store *s, const char *prefix,
		       uint64_t after)
{
	for (size_t i = first_change(s, after); i < s->n_changes; i++) {
		if (strncmp(s->changes[i].key, prefix, strlen(prefix)) == 0)
			return true;
	}
	return false;
}

static void watch(struct lab_store *s, struct MHD_Connection *conn, FILE *f)
{
	char prefix[256], text[32];
	int64_t until = lab_now_ms();
	uint64_t after;
	int n = 0;

	lab_mhd_query(conn, "prefix", prefix, sizeof(prefix));
	lab_mhd_query(conn, "after", text, sizeof(text));
	after = strtoull(text, NULL, 10);
	lab_mhd_query(conn, "wait_ms", text, sizeof(text));
	until += atoi(text);
	while (!s->stopping && lab_now_ms() < until &&
	       !has_change(s, prefix, after))
		wait_change(s);
	fputs("{\"events\":[", f);
	for (size_t i = first_change(s, after); i < s->n_changes; i++) {
		const struct lab_change *c = &s->changes[i];

		if (strncmp(c->key, prefix, strlen(prefix)) != 0)
			continue;
		if (n++)
			fputc(',', f);
		print_item(f, c->key, c->value, c->rev, 0);
	}
	fprintf(f, "],\"at\":%llu}", (unsigned long long)s->rev);
}

static bool holds(struct lab_store *s, const json_t *row)
{
	const struct lab_key *k =
		get(s, json_string_value(json_object_get(row, "key")));
	uint64_t rev = k && k->value ? k->rev : 0;

	return rev == (uint64_t)json_integer_value(json_object_get(row, "rev"));
}

static int txn(struct lab_store *s, const char *body, FILE *f)
{
	json_t *obj = json_loads(body, 0, NULL);
	const json_t *exp = json_object_get(obj, "expected");
	const json_t *puts = json_object_get(obj, "puts");
	const json_t *rm = json_object_get(obj, "remove");
	int status = 200;

	for (size_t i = 0; i < json_array_size(exp); i++) {
		if (!holds(s, json_array_get(exp, i)))
			status = 412;
	}
	for (size_t i = 0; status == 200 && i < json_array_size(puts); i++) {
		uint64_t lease = (uint64_t)json_integer_value(
			json_object_get(json_array_get(puts, i), "lease"));

		if (lease && !find_lease(s, lease))
			status = 404;
		if (json_string_length(
			    json_object_get(json_array_get(puts, i), "value")) >
		    sodium_base64_ENCODED_LEN(LAB_VALUE_BYTES, BASE64))
			status = 413;
	}
	for (size_t i = 0; status == 200 && i < json_array_size(puts); i++) {
		const json_t *p = json_array_get(puts, i);

		set(s, json_string_value(json_object_get(p, "key")),
		    json_string_value(json_object_get(p, "value")),
		    (uint64_t)json_integer_value(json_object_get(p, "lease")));
	}
	for (size_t i = 0; status == 200 && i < json_array_size(rm); i++)
		set(s, json_string_value(json_array_get(rm, i)), NULL, 0);
	json_decref(obj);
	if (status == 200)
		fprintf(f, "{\"rev\":%llu}", (unsigned long long)s->rev);
	else
		fputs("{\"items\":[]}", f);
	return status;
}

static int lease_call(struct lab_store *s, const char *url, const char *body,
		      FILE *f)
{
	uint64_t id = strtoull(strrchr(url, '/') + 1, NULL, 10);
	struct lab_lease *lease;
	json_t *obj;

	if (strcmp(url, "/catkinpath/kv-lease") == 0) {
		lease = find_lease(s, 0);
		if (!lease)
			return 503;
		obj = json_loads(body, 0, NULL);
		lease->ttl_ms =
			json_integer_value(json_object_get(obj, "ttl_ms"));
		json_decref(obj);
		lease->id = ++s->last_lease;
		lease->end_ms = lab_now_ms() + lease->ttl_ms;
		fprintf(f, "{\"lease\":%llu,\"ttl_ms\":%lld}",
			(unsigned long long)lease->id,
			(long long)lease->ttl_ms);
		return 200;
	}
	lease = id ? find_lease(s, id) : NULL;
	if (!lease) {
		fputs("{}", f);
		return 404;
	}
	if (strstr(url, "/kv-lease-end/"))
		drop_lease(s, lease);
	else
		lease->end_ms = lab_now_ms() + lease->ttl_ms;
	fprintf(f, "{\"ttl_ms\":%lld}", (long long)lease->ttl_ms);
	return 200;
}

static int run(struct lab_store *s, struct MHD_Connection *conn,
	       const char *url, const char *body, FILE *f)
{
	char key[256];
	const struct lab_key *k;

	expire(s);
	if (strcmp(url, "/catkinpath/kv-watch") == 0) {
		watch(s, conn, f);
	} else if (strcmp(url, "/catkinpath/kv-range") == 0) {
		list(s, conn, f);
	} else if (strcmp(url, "/catkinpath/kv-txn") == 0) {
		return txn(s, body, f);
	} else if (strncmp(url, "/catkinpath/kv-lease", 20) == 0 ||
		   strncmp(url, "/catkinpath/kv-keep/", 20) == 0) {
		return lease_call(s, url, body, f);
	} else if (strcmp(url, "/catkinpath/kv-key") == 0) {
		lab_mhd_query(conn, "key", key, sizeof(key));
		k = get(s, key);
		if (!k || !k->value) {
			fputs("{}", f);
			return 404;
		}
		print_item(f, k->key, k->value, k->rev, k->lease);
	} else {
		fputs("{}", f); /* Usage reports and orders of servers. */
	}
	return 200;
}

static enum MHD_Result on_call(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *data,
			       size_t *len, void **state)
{
	struct lab *l = ctx;
	struct call *c = *state;
	struct MHD_Response *res;
	enum MHD_Result ok;
	char *text = NULL;
	size_t size = 0;
	FILE *f;
	int status;

	if (!c) {
		*state = calloc(1, sizeof(*c));
		return MHD_YES;
	}
	if (*len) {
		c->data = realloc(c->data, c->len + *len + 1);
		memcpy(c->data + c->len, data, *len);
		c->len += *len;
		c->data[c->len] = '\0';
		*len = 0;
		return MHD_YES;
	}
	lab_sleep_ms(l->store.answer_ms);
	f = open_memstream(&text, &size);
	pthread_mutex_lock(&l->store.lock);
	status = run(&l->store, conn, url, c->data ? c->data : "", f);
	pthread_mutex_unlock(&l->store.lock);
	fclose(f);
	res = MHD_create_response_from_buffer(size, text,
					      MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(res, "Content-Type", "application/json");
	ok = MHD_queue_response(conn, (unsigned int)status, res);
	MHD_destroy_response(res);
	return ok;
}

static void on_end(void *ctx, struct MHD_Connection *conn, void **state,
		   enum MHD_RequestTerminationCode why)
{
	struct call *c = *state;

	if (!c)
		return;
	free(c->data);
	free(c);
	*state = NULL;
}

bool lab_store_start(struct lab *l)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_port = htons(STORE_PORT)};
	char ip[32];

	pthread_mutex_init(&l->store.lock, NULL);
	pthread_cond_init(&l->store.changed, NULL);
	l->store.answer_ms = 4;
	snprintf(ip, sizeof(ip), "%s.1", l->net);
	inet_pton(AF_INET, ip, &sa.sin_addr);
	l->store_http = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
		0, NULL, NULL, on_call, l, MHD_OPTION_SOCK_ADDR, &sa,
		MHD_OPTION_NOTIFY_COMPLETED, on_end, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
		MHD_OPTION_END);
	return l->store_http != NULL;
}

void lab_store_stop(struct lab *l)
{
	pthread_mutex_lock(&l->store.lock);
	l->store.stopping = true;
	pthread_cond_broadcast(&l->store.changed);
	pthread_mutex_unlock(&l->store.lock);
	if (l->store_http)
		MHD_stop_daemon(l->store_http);
}
