// Starts and stops the fake platform; publishes operators' and servers' keys.
#include "hosted.h"

#include <microhttpd.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "support/addr.h"

/* Record when the store got a server's leaving or return. */
static void record_leaving(struct hosted *h, struct hosted_server *s,
			   bool leaving_now)
{
	pthread_mutex_lock(&h->lock);
	if (!leaving_now)
		s->leaving_at_ms = 0;
	else if (!s->leaving_at_ms)
		s->leaving_at_ms = clock_now_ms();
	pthread_mutex_unlock(&h->lock);
}

void hosted_publish(struct hosted *h, struct hosted_server *s)
{
	char key[64];
	json_t *entry =
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i}", "service",
			  s->engine ? "engines" : "desk", "addr", s->addr,
			  "zone", s->index % 2 ? "d2" : "d1", "version", "v1",
			  "slots", HOSTED_ENGINE_SLOTS, "state",
			  s->leaving ? "draining" : "ready", "cold_left_ms", 0,
			  "born", 1000 + s->index + 10 * s->n_restarts);

	if (s->engine)
		json_object_set_new(entry, "models",
				    json_pack("[{s:s,s:I}]", "name", "m",
					      "version",
					      (json_int_t)s->version));
	snprintf(key, sizeof(key), "servers/%s", s->id);
	hosted_put(h, key, entry);
	record_leaving(h, s, s->leaving);
}

void hosted_delete(struct hosted *h, const char *key)
{
	uint64_t rev;

	pthread_mutex_lock(&h->lock);
	kv_del(&h->kv, key, 0, &rev);
	pthread_cond_broadcast(&h->changed);
	pthread_mutex_unlock(&h->lock);
}

void hosted_withdraw(struct hosted *h, struct hosted_server *s)
{
	char key[64];

	snprintf(key, sizeof(key), "servers/%s", s->id);
	hosted_delete(h, key);
	record_leaving(h, s, true);
}

void hosted_server_leave(struct hosted *h, struct hosted_server *s,
			 bool announce)
{
	s->leaving = true;
	if (announce)
		hosted_publish(h, s);
	else
		hosted_withdraw(h, s);
}

void hosted_server_return(struct hosted *h, struct hosted_server *s)
{
	s->leaving = false;
	hosted_publish(h, s);
}

void hosted_mute_watches(struct hosted *h, const char *prefix)
{
	pthread_mutex_lock(&h->lock);
	h->mute_prefix = prefix;
	h->mute_before_ms = clock_now_ms();
	pthread_mutex_unlock(&h->lock);
}

void hosted_delay_watches(struct hosted *h, const char *prefix, int ms)
{
	pthread_mutex_lock(&h->lock);
	h->delay_prefix = prefix;
	h->delay_before_ms = clock_now_ms();
	h->delay_ms = ms;
	pthread_mutex_unlock(&h->lock);
}

int64_t hosted_max_since_leaving_ms(struct hosted *h, int64_t since_ms)
{
	int64_t max_ms = 0;

	pthread_mutex_lock(&h->lock);
	for (int i = 0; i < h->n_runs; i++) {
		if (h->runs[i].start_ms >= since_ms &&
		    h->runs[i].since_leaving_ms > max_ms)
			max_ms = h->runs[i].since_leaving_ms;
	}
	pthread_mutex_unlock(&h->lock);
	return max_ms;
}

void hosted_publish_conf(struct hosted *h, const char *const *keys)
{
	json_t *list = json_array();
	json_t *conf;

	for (; *keys; keys++)
		json_array_append_new(list, json_string(*keys));
	h->conf_version += 3;
	conf = json_pack(
		"{s:I,s:[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i},"
		"{s:s,s:s,s:s,s:s,s:s,s:i,s:i},"
		"{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i},"
		"{s:s,s:s,s:s,s:s,s:s,s:b,s:i,s:i,s:i}],"
		"s:[{s:s,s:{s:i},s:{s:i,s:i,s:i,s:{s:i,s:i}}},{s:s}],"
		"s:[{s:s,s:o}]}",
		"version", (json_int_t)h->conf_version, "routes", "name",
		"book", "host", "h1", "prefix", "/book/", "kind", "idempotent",
		"service", "desk", "target_latency_ms", 150, "timeout_ms", 2000,
		"max_attempts", 2, "name", "pay", "host", "h1", "prefix",
		"/pay/", "kind", "non_idempotent", "service", "desk",
		"timeout_ms", 2000, "max_attempts", 2, "name", "learn", "host",
		"h1", "prefix", "/learn/", "kind", "rollout", "service",
		"engines", "max_queue_s", 40, "run_deadline_ms", 7500,
		"max_attempts", 3, "name", "rate", "host", "h2", "prefix",
		"/rate/", "kind", "idempotent", "service", "desk", "public", 1,
		"target_latency_ms", 300, "timeout_ms", 2000, "max_attempts", 4,
		"services", "name", "engines", "engine", "kv_capacity", 10000,
		"scaling", "min", 1, "max", 4, "boot_s", 1, "zone_prices", "d1",
		1, "d2", 1, "name", "desk", "tenants", "name", "t1", "api_keys",
		list);
	hosted_put(h, "op/config", conf);
}

void hosted_publish_team(struct hosted *h, const char *name, const char *key)
{
	char *text = hosted_get_value(h, "op/config");
	json_t *conf = json_loads(text, 0, NULL);

	h->conf_version += 3;
	json_object_set_new(conf, "version",
			    json_integer((json_int_t)h->conf_version));
	json_array_append_new(
		json_object_get(conf, "tenants"),
		json_pack("{s:s,s:[s]}", "name", name, "api_keys", key));
	hosted_put(h, "op/config", conf);
	free(text);
}

void hosted_set_version(struct hosted *h, uint64_t version)
{
	hosted_put(h, "op/version/m",
		   json_pack("{s:s,s:I}", "model", "m", "version",
			     (json_int_t)version));
}

void hosted_set_other_version(struct hosted *h, uint64_t version)
{
	hosted_put(h, "op/version/m2",
		   json_pack("{s:s,s:I}", "model", "m2", "version",
			     (json_int_t)version));
}

int hosted_run_count(struct hosted *h, const char *id)
{
	int n = 0;

	pthread_mutex_lock(&h->lock);
	for (int i = 0; i < h->n_runs; i++)
		n += strcmp(h->runs[i].id, id) == 0;
	pthread_mutex_unlock(&h->lock);
	return n;
}

bool hosted_start(struct hosted *h)
{
	static const char *const keys[] = {"k1", "k2", NULL};

	memset(h, 0, sizeof(*h));
	pthread_mutex_init(&h->lock, NULL);
	pthread_cond_init(&h->changed, NULL);
	addr_ip(0, h->ip);
	h->reports = json_object();
	h->ordered_sizes = json_object();
	h->event_ms = 15;
	if (sodium_init() < 0 || !hosted_store_start(h))
		return false;
	for (int i = 0; i < HOSTED_SERVERS; i++) {
		if (!hosted_server_start(h, i))
			return false;
		hosted_publish(h, &h->servers[i]);
	}
	hosted_publish_conf(h, keys);
	return true;
}

void hosted_stop(struct hosted *h)
{
	pthread_mutex_lock(&h->lock);
	h->stopping = true;
	pthread_cond_broadcast(&h->changed);
	pthread_mutex_unlock(&h->lock);
	if (h->store)
		MHD_stop_daemon(h->store);
	for (int i = 0; i < HOSTED_SERVERS; i++) {
		if (h->servers[i].http)
			MHD_stop_daemon(h->servers[i].http);
	}
	json_decref(h->reports);
	json_decref(h->ordered_sizes);
}
