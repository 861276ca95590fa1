// Tracks the operators' and the servers' keys in the platform's store.
#include "daemon/site_mod.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/metric.h"
#include "base/table_full.h"
#include "core/settings.h"
#include "daemon/job_mod.h"
#include "daemon/mods.h"
#include "site/hello.h"
#include "site/limits.h"
#include "site/site.h"
#include "store_keys.h"

enum {
	/// Liveness keys change rarely. The key of a lost home expires after 1.8 s,
	/// and its items must be at servers again within 5 s.
	NODES_REFRESH_MS = 2000,
	NODES_OVERDUE_MS = 2800,
	/// Minimum times between two watches of a node that currently follows no
	/// relay: nodes start and return together, and the writes of each must not
	/// wake all the others.
	CONF_WATCH_INTERVAL_MIN_MS = 250,
	NODES_WATCH_INTERVAL_MIN_MS = 1500,
	/// Bytes of a server's entry; a message between nodes has room for a list
	/// of valid ones, and an entry of another writer may have a megabyte.
	SERVER_ENTRY_MAX = 16384,
	RETIRE_RETRY_MS = 500,
	/// Batches are handed over within this fraction of the time that operators
	/// give; the remainder is for the answer, with an outage of the store.
	RETIRE_HANDOVER_NUM = 3,
	RETIRE_HANDOVER_DEN = 4,
	RETIRE_HANDOVER_DEFAULT_MS = 3000, ///< if operators give no time
	/// Without a relay, watches are answered at least every REFRESH_MAX_MS of
	/// site/fresh.c; one of two may be lost.
	OWN_CONTACT_MAX_AGE_MS = 2000,
};

struct site *site_of(const struct core *c)
{
	return core_mod_state(c, MOD_SITE);
}

const struct site_conf *site_mod_conf(struct core *c)
{
	return site_of(c)->conf;
}

struct site_servers *site_mod_servers(struct core *c)
{
	return site_of(c)->servers;
}

int64_t site_mod_conf_age_ms(struct core *c)
{
	const struct site *s = site_of(c);

	return feed_age_ms(c, &s->operator_feed);
}

int64_t site_mod_servers_age_ms(struct core *c)
{
	return feed_age_ms(c, &site_of(c)->server_feed);
}

bool site_mod_keys_fresh(struct core *c)
{
	const struct site *s = site_of(c);

	return s->conf && site_mod_conf_age_ms(c) <= s->keys_fresh.limit_ms;
}

int64_t site_mod_valid_until(struct core *c)
{
	const struct site *s = site_of(c);
	int64_t unanswered_since_ms = kv_unreachable_since(c);
	int64_t conf_until_ms = site_fresh_valid_until(
		&s->conf_fresh, s->operator_feed.confirmed_ms,
		unanswered_since_ms);
	int64_t servers_until_ms = site_fresh_valid_until(
		&s->servers_fresh, s->server_feed.confirmed_ms,
		unanswered_since_ms);

	return conf_until_ms < servers_until_ms ? conf_until_ms
						: servers_until_ms;
}

int64_t site_mod_send_until(struct core *c)
{
	int64_t until_ms = site_mod_valid_until(c);
	int64_t cap_ms = core_now(c) + site_of(c)->servers_fresh.send_ms;

	return until_ms < cap_ms ? until_ms : cap_ms;
}

bool site_mod_may_start_work(struct core *c)
{
	return core_now(c) <= site_mod_valid_until(c);
}

uint64_t site_mod_weight_version(struct core *c, const char *model)
{
	const struct site *s = site_of(c);

	for (int i = 0; i < s->n_weights; i++) {
		if (strcmp(s->weights[i].model, model) == 0)
			return s->weights[i].version;
	}
	return 0;
}

const char *site_mod_model(struct core *c, int i)
{
	const struct site *s = site_of(c);

	return i < s->n_weights ? s->weights[i].model : NULL;
}

bool site_mod_loads_weights(struct core *c, const char *service)
{
	const struct site *s = site_of(c);
	const struct site_service *svc;

	if (!s->conf || !s->n_weights)
		return false;
	svc = site_conf_service(s->conf, service);
	return svc && svc->memory_tokens;
}

enum err site_mod_auth(struct core *c, const struct site_route *route,
		       const char *bearer, const char **team)
{
	const struct site *s = site_of(c);
	const char *name;

	*team = "";
	if (!s->conf)
		return ERR_CONF_NONE;
	if (!s->conf->has_teams)
		return ERR_OK;
	name = site_conf_team_of_key(s->conf, bearer);
	if (name)
		*team = name;
	if (route && route->open)
		return ERR_OK;
	if (!site_mod_keys_fresh(c))
		return ERR_CONF_CUT_OFF;
	if (!bearer)
		return ERR_KEY_MISSING;
	return name ? ERR_OK : ERR_KEY_UNKNOWN;
}

static void apply_conf(struct site *s, const struct kv_item *item)
{
	struct site_conf *conf = NULL;
	enum err e = s->wire->conf(item->value, item->len, &conf);

	if (e != ERR_OK) {
		log_event(EV_SITE_CONF_BAD, "error=%s rev=%llu bytes=%zu",
			  err_code(e), (unsigned long long)item->rev,
			  item->len);
		return;
	}
	if (s->conf && conf->version <= s->conf->version) {
		site_conf_free(conf);
		return;
	}
	site_conf_free(s->conf);
	s->conf = conf;
	log_event(EV_SITE_CONF,
		  "version=%llu rev=%llu routes=%zu services=%zu teams=%zu",
		  (unsigned long long)conf->version,
		  (unsigned long long)item->rev, conf->n_routes,
		  conf->n_services, conf->n_teams);
}

/* Add an empty row. */
static bool weights_grow(struct site *s)
{
	struct publish_weights *p =
		realloc(s->weights, (size_t)(s->n_weights + 1) * sizeof(*p));

	if (!p)
		return false;
	s->weights = p;
	s->n_weights++;
	return true;
}

static void apply_weights(struct site *s, const struct kv_item *item)
{
	struct publish_weights w;
	int i = 0;

	if (s->wire->weights(item->value, item->len, &w) != ERR_OK) {
		log_event(EV_SITE_CONF_BAD, "error=parse key=%s", item->key);
		return;
	}
	while (i < s->n_weights && strcmp(s->weights[i].model, w.model) != 0)
		i++;
	if (i < s->n_weights && s->weights[i].version >= w.version)
		return;
	if (i == s->n_weights && !weights_grow(s)) {
		log_event(EV_SITE_CONF_BAD, "error=%s key=%s",
			  err_code(ERR_NOMEM), item->key);
		return;
	}
	s->weights[i] = w;
	log_event(EV_SITE_WEIGHTS, "model=%s version=%llu", w.model,
		  (unsigned long long)w.version);
}

static void operator_list_begin(struct core *c, void *ctx)
{
	struct site *s = ctx;

	site_servers_begin_domains(s->servers);
}

static void apply_retire(struct core *c, struct site *s, const char *node,
			 const struct kv_item *item)
{
	int64_t given_ms;

	if (strcmp(node, core_node(c)) != 0)
		return;
	s->retire_pending = true;
	if (s->retire_until_ms)
		return;
	given_ms = s->wire->retire(item->value, item->len);
	s->retire_until_ms =
		core_now(c) +
		(given_ms ? given_ms * RETIRE_HANDOVER_NUM / RETIRE_HANDOVER_DEN
			  : RETIRE_HANDOVER_DEFAULT_MS);
	log_event(EV_SITE_RETIRE, "given_ms=%lld until_ms=%lld",
		  (long long)given_ms,
		  (long long)(s->retire_until_ms - core_now(c)));
}

bool site_mod_retiring(struct core *c, int64_t *until_ms)
{
	const struct site *s = site_of(c);

	*until_ms = s->retire_until_ms;
	return s->retiring;
}

static void operator_item(struct core *c, void *ctx, const struct kv_item *item)
{
	struct site *s = ctx;
	char name[SITE_NAME_SIZE];

	switch (s->wire->kind(item->key, name)) {
	case PUBLISH_CONF:
		apply_conf(s, item);
		break;
	case PUBLISH_DOMAIN_OUT:
		log_event(EV_SITE_DOMAIN, "domain=%s out=1 error=%s", name,
			  err_code(site_servers_set_domain_out(s->servers, name,
							       true)));
		break;
	case PUBLISH_WEIGHTS:
		apply_weights(s, item);
		break;
	case PUBLISH_RETIRE:
		apply_retire(c, s, name, item);
		break;
	case PUBLISH_OTHER:
		break;
	}
}

static void operator_deleted(struct core *c, void *ctx, const char *key)
{
	struct site *s = ctx;
	char name[SITE_NAME_SIZE];

	if (s->wire->kind(key, name) != PUBLISH_DOMAIN_OUT)
		return;
	site_servers_set_domain_out(s->servers, name, false);
	log_event(EV_SITE_DOMAIN, "domain=%s out=0", name);
}

static void operator_list_end(struct core *c, void *ctx)
{
	struct site *s = ctx;

	site_servers_end_domains(s->servers);
}

static const struct feed_ops operator_ops = {
	.list_begin = operator_list_begin,
	.item = operator_item,
	.item_deleted = operator_deleted,
	.list_end = operator_list_end,
};

static void server_list_begin(struct core *c, void *ctx)
{
	struct site *s = ctx;

	site_servers_begin_list(s->servers);
}

static const char *server_id_of(const struct site *s, const char *key)
{
	return key + strlen(s->wire->server_prefix);
}

/* Age of the update that a feed is applying. */
static long long source_age_ms(struct core *c, const struct feed *f)
{
	return core_now(c) - f->source_as_of_ms;
}

static void server_item(struct core *c, void *ctx, const struct kv_item *item)
{
	struct site *s = ctx;
	struct site_server_entry e;
	enum err err = s->wire->server(item->key, item->value, item->len, &e);

	/* The previous entry is no longer valid, whoever wrote this one. */
	if (err != ERR_OK) {
		site_servers_remove(s->servers, server_id_of(s, item->key),
				    core_now(c), false);
		metric_add(M_SERVER_ENTRIES_BAD, 1);
		log_event(EV_SITE_SERVER_BAD,
			  "key=%s rev=%llu from=%s error=%s", item->key,
			  (unsigned long long)item->rev, s->server_feed.source,
			  err_code(err));
		return;
	}
	if (e.n_models_left_out)
		table_full("models-of-server", e.id, SITE_MODELS_MAX);
	err = site_servers_put(s->servers, item->rev, core_now(c), &e);
	log_event(EV_SITE_SERVER,
		  "id=%s service=%s addr=%s domain=%s leaving=%d cold_ms=%lld "
		  "rev=%llu from=%s age_ms=%lld error=%s",
		  e.id, e.service, e.addr, e.domain, e.leaving,
		  (long long)e.cold_left_ms, (unsigned long long)item->rev,
		  s->server_feed.source, source_age_ms(c, &s->server_feed),
		  err_code(err));
}

/* A node that follows a relay makes few calls, so its own view of the store counts
 * only for a short time. */
static int64_t store_up_since(struct core *c)
{
	bool recent =
		core_now(c) - kv_last_response(c) < OWN_CONTACT_MAX_AGE_MS;

	return site_store_up_since(recent ? kv_up_since(c) : 0,
				   relay_store_up_since(c, &site_of(c)->relay));
}

/* Entries expire during an outage of the store though their servers are alive. */
static bool in_outage(struct core *c)
{
	int64_t up_since_ms = store_up_since(c);

	return !up_since_ms || core_now(c) - up_since_ms < SITE_REREGISTER_MS;
}

static void server_deleted(struct core *c, void *ctx, const char *key)
{
	struct site *s = ctx;
	const char *id = server_id_of(s, key);

	log_event(EV_SITE_SERVER, "id=%s gone=1 outage=%d from=%s age_ms=%lld",
		  id, in_outage(c), s->server_feed.source,
		  source_age_ms(c, &s->server_feed));
	site_servers_remove(s->servers, id, core_now(c), in_outage(c));
}

static void server_list_end(struct core *c, void *ctx)
{
	struct site *s = ctx;

	site_servers_end_list(s->servers, core_now(c), in_outage(c));
}

static const struct feed_ops server_ops = {
	.list_begin = server_list_begin,
	.item = server_item,
	.item_deleted = server_deleted,
	.list_end = server_list_end,
};

static void start_feed(struct feed *f, const struct site_freshness *fresh,
		       const struct feed_opts *partial)
{
	struct feed_opts opts = *partial;

	opts.refresh_ms = fresh->refresh_ms;
	opts.relay_max_age_ms = fresh->told_ms;
	opts.overdue_ms = fresh->overdue_ms;
	feed_init(f, &opts);
}

static enum err start_feeds(struct core *c, struct site *s)
{
	struct feed *const feeds[] = {&s->operator_feed, &s->server_feed,
				      &s->node_feed};
	bool is_relay = settings_int(core_settings(c), S_LEAD_CANDIDATE) == 1;
	const struct site_freshness node_limits = {
		.refresh_ms = NODES_REFRESH_MS,
		.told_ms = NODES_OVERDUE_MS,
		.overdue_ms = NODES_OVERDUE_MS,
	};
	const struct feed_opts operator_opts = {
		.prefix = s->wire->operator_prefix,
		.watch_interval_min_ms =
			is_relay ? 0 : CONF_WATCH_INTERVAL_MIN_MS,
		.keep_copy = is_relay,
		.ops = &operator_ops,
		.ctx = s,
	};
	/* Entries change in bursts: one call per refresh is enough. */
	const struct feed_opts server_opts = {
		.prefix = s->wire->server_prefix,
		.watch_interval_min_ms = s->servers_fresh.refresh_ms,
		.keep_copy = is_relay,
		.value_max = SERVER_ENTRY_MAX,
		.ops = &server_ops,
		.ctx = s,
	};
	const struct feed_opts node_opts = {
		.prefix = KEY_LIVE,
		.watch_interval_min_ms =
			is_relay ? 0 : NODES_WATCH_INTERVAL_MIN_MS,
		.keep_copy = is_relay,
		.ops = &site_nodes_ops,
		.ctx = s,
	};

	start_feed(&s->operator_feed, &s->conf_fresh, &operator_opts);
	start_feed(&s->server_feed, &s->servers_fresh, &server_opts);
	start_feed(&s->node_feed, &node_limits, &node_opts);
	return relay_init(c, &s->relay, feeds,
			  s->conf_fresh.hold_ms < s->servers_fresh.hold_ms
				  ? s->conf_fresh.hold_ms
				  : s->servers_fresh.hold_ms);
}

/* Operators' keys include evacuated domains: the shorter limit applies to both. */
static void set_freshness_limits(struct core *c, struct site *s)
{
	const struct settings *set = core_settings(c);
	int64_t apply = settings_int(set, S_CONF_APPLY);
	int64_t evacuate = settings_int(set, S_CONF_EVACUATE);

	s->conf_fresh =
		site_fresh_from_bound(apply < evacuate ? apply : evacuate);
	s->keys_fresh = site_fresh_from_bound(settings_int(set, S_CONF_REVOKE));
	s->servers_fresh =
		site_fresh_from_bound(settings_int(set, S_SERVERS_LEAVE));
}

/* Only an answer to a request that ran shows that a server names no limit any more. */
static void observe_limit(struct core *c, uint32_t tag,
			  const struct front_response *v)
{
	struct site_server *s = site_servers_get(site_mod_servers(c), tag);

	if (!s || v->other_server ||
	    (!v->limit_per_s && (!v->id || v->not_run)))
		return;
	limits_observe(c, s, v->limit_per_s);
}

static void on_server_head(struct core *c, uint32_t tag, int status,
			   const struct upstream_head *head)
{
	struct front_response v;
	const char *id;

	core_wire(c)->front->verdict(status, head, &v);
	observe_limit(c, tag, &v);
	id = v.leaving ? site_servers_mark_leaving(site_mod_servers(c), tag)
		       : NULL;
	if (!id)
		return;
	metric_add(M_SERVERS_LEFT, 1);
	log_event(EV_SITE_SERVER_LEAVES, "id=%s http=%d", id, status);
}

static enum err site_start(struct core *c, void **state)
{
	struct site *s = calloc(1, sizeof(*s));

	if (!s)
		return ERR_NOMEM;
	s->wire = core_wire(c)->publish;
	s->start_ms = core_now(c);
	set_freshness_limits(c, s);
	s->servers = site_servers_new();
	if (!s->servers) {
		free(s);
		return ERR_NOMEM;
	}
	*state = s;
	core_on_response_heads(c, on_server_head);
	return hello_start(c) == ERR_OK && limits_start(c) == ERR_OK
		       ? start_feeds(c, s)
		       : ERR_NOMEM;
}

static void retire_answer_written(struct core *c, void *ctx,
				  const struct kv_result *res)
{
	struct site *s = ctx;

	s->retire_in_flight = false;
	if (res->err == ERR_OK || res->err == ERR_KV_CONFLICT) {
		s->retire_pending = false;
		log_event(EV_SITE_RETIRED, "retired=%s", core_node(c));
	}
}

/* An order that an earlier process answered does not apply to this one. */
static void retire_answer_read(struct core *c, void *ctx,
			       const struct kv_result *res)
{
	struct site *s = ctx;

	s->retire_in_flight = false;
	if (res->err == ERR_OK)
		s->retire_pending = false;
	s->retiring = res->err == ERR_NOT_FOUND;
	if (s->retiring)
		s->retire_next_ms = 0;
}

/* A node keeps no data of its own: it is empty once it runs no batches. */
static void retire_step(struct core *c, struct site *s)
{
	struct kv_put_opts put = {0};
	char key[256];
	enum err e;

	if (!s->retire_pending || s->retire_in_flight ||
	    core_now(c) < s->retire_next_ms)
		return;
	if (s->retiring && core_now(c) < s->retire_until_ms &&
	    !job_mod_drained(c))
		return;
	s->wire->retired(core_node(c), key, sizeof(key), &put.value);
	put.key = key;
	put.len = strlen(put.value);
	s->retire_next_ms = core_now(c) + RETIRE_RETRY_MS;
	e = s->retiring
		    ? kv_put(c, &put, (struct kv_cb){retire_answer_written, s})
		    : kv_get(c, key, (struct kv_cb){retire_answer_read, s});
	s->retire_in_flight = e == ERR_OK;
}

static void log_freshness(struct core *c, struct site *s)
{
	bool stale = s->conf && !site_mod_keys_fresh(c);

	if (stale == s->stale_logged)
		return;
	s->stale_logged = stale;
	log_event(stale ? EV_SITE_CONF_STALE : EV_SITE_CONF_CONFIRMED,
		  "age_ms=%lld", (long long)site_mod_conf_age_ms(c));
}

static void site_tick(struct core *c, void *state, int64_t now_ms)
{
	struct site *s = state;

	relay_step(c, &s->relay);
	hello_step(c, s);
	limits_step(c, s);
	site_feeds_step(c, s);
	site_servers_expire(s->servers, now_ms, store_up_since(c));
	retire_step(c, s);
	log_freshness(c, s);
	if (s->conf) {
		metric_set(M_CONF_REV, s->conf->version);
		metric_set(M_CONF_AGE, (uint64_t)site_mod_conf_age_ms(c));
	}
	if (s->server_feed.confirmed_ms)
		metric_set(M_SERVERS_AGE, (uint64_t)site_mod_servers_age_ms(c));
}

static bool site_ready(struct core *c, void *state)
{
	struct site *s = state;
	size_t iter = 0;

	return site_mod_keys_fresh(c) && s->server_feed.listed &&
	       site_servers_next(s->servers, &iter);
}

static void site_stop(struct core *c, void *state)
{
	struct site *s = state;

	feed_free(&s->operator_feed);
	feed_free(&s->server_feed);
	feed_free(&s->node_feed);
	site_conf_free(s->conf);
	site_servers_free(s->servers);
	free(s->weights);
	free(s);
}

const struct core_mod_ops site_mod_ops = {
	.name = "site",
	.start = site_start,
	.tick = site_tick,
	.ready = site_ready,
	.stop = site_stop,
};
