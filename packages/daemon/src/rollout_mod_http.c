// The trainers' HTTP calls: batches and pulls.
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "rollout/batch_json.h"
#include "rollout_mod_int.h"

#define ROLLOUT_PATH "/v1/rollouts"

enum {
	PULL_DEFAULT_MAX = 256, ///< samples of a pull without "max"
	PULL_WAIT_MAX_MS = 30000,
	PULL_NAMES_MAX = 65536, ///< of "ack" or "lost"
};

void rollout_mod_reply_accepted(struct core *c, const struct rollout_action *a)
{
	json_t *obj = json_pack("{s:I}", "slots", (json_int_t)a->slots);
	const struct core_req *r = core_req_get(c, (htab_handle)a->caller);

	if (r && r->user)
		json_object_set_new(obj, "batch", json_string(r->user));
	core_reply_json(c, (htab_handle)a->caller, a->known ? 200 : 202, obj);
}

static json_t *slot_names_json(const struct slot_names *names)
{
	json_t *list = json_array();

	for (size_t i = 0; i < names->n; i++)
		json_array_append_new(list, json_string(names->v[i]));
	return list;
}

void rollout_mod_reply_pull(struct core *c, const struct rollout_action *a)
{
	json_t *samples = json_array();

	for (size_t i = 0; i < a->pull.n; i++) {
		const struct pull_item *item = &a->pull.items[i];

		json_array_append_new(samples,
				      batch_sample_json(item->slot, item->seed,
							&item->sample));
	}
	core_reply_json(c, (htab_handle)a->caller, 200,
			json_pack("{s:o,s:o,s:I,s:b}", "samples", samples,
				  "expired", slot_names_json(&a->pull.expired),
				  "left", (json_int_t)a->pull.left, "done",
				  a->pull.done));
}

void rollout_mod_reply_refused(struct core *c, const struct rollout_action *a)
{
	int64_t retry = a->retry_after_ms;

	if (retry == 0 && err_http(a->err) == 503)
		retry = ROLLOUT_RETRY_AFTER_MS;
	core_reply_err(c, (htab_handle)a->caller, a->err, err_run(a->err),
		       retry, "");
}

static void rollout_on_abort(struct core *c, struct core_req *r, void *user)
{
	rollout_caller_closed(rollout_mod_state(c)->r, r->h);
}

static enum err rollout_auth(struct core *c, const char *route,
			     const char *bearer, char *team, size_t len)
{
	const struct conf *conf = conf_mod_current(c);
	const struct conf_route *r;

	if (!conf)
		return ERR_CONF_NONE;
	r = conf_route_find(conf, route);
	if (!r || r->target != CONF_TARGET_ENGINE)
		return ERR_NOT_FOUND;
	return conf_mod_auth(c, r, bearer, team, len);
}

/* Configured bound for a batch without one, in weight versions. */
static uint64_t rollout_default_staleness(struct core *c, const struct batch *b)
{
	const struct conf *conf = conf_mod_current(c);
	struct conf_scope scope = {
		.route = b->route,
		.trainer = b->trainer,
		.team = b->team,
	};

	return (uint64_t)conf_get_int(conf, CF_MAX_STALENESS, &scope);
}

static void rollout_reply_err(struct core *c, const struct core_req *r,
			      enum err e, const char *detail)
{
	core_reply_err(c, r->h, e, RUN_NO,
		       err_http(e) == 503 ? ROLLOUT_RETRY_AFTER_MS : 0, detail);
}

static void rollout_on_post(struct core *c, struct core_req *r)
{
	struct rollout_mod *m = rollout_mod_state(c);
	struct batch *b = NULL;
	const char *detail = "";
	enum err e = batch_parse(r->body, r->body_len, &b, &detail);

	if (e == ERR_OK) {
		detail = "";
		e = rollout_auth(c, b->route, r->bearer, b->team,
				 sizeof(b->team));
	}
	if (e != ERR_OK) {
		batch_free(b);
		rollout_reply_err(c, r, e, detail);
		return;
	}
	if (b->max_staleness == BATCH_STALENESS_UNSET)
		b->max_staleness = rollout_default_staleness(c, b);
	r->user = arena_strdup(&r->arena, b->id);
	r->on_abort = rollout_on_abort;
	rollout_post(m->r, r->h, b, core_now(c));
	rollout_mod_apply_actions(m);
}

static uint64_t pull_read_int(const json_t *obj, const char *key, uint64_t def)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_integer(v) && json_integer_value(v) >= 0
		       ? (uint64_t)json_integer_value(v)
		       : def;
}

static bool pull_read_name(const json_t *obj, const char *key, char *buf)
{
	const char *s = json_string_value(json_object_get(obj, key));

	if (!batch_name_is_valid(s))
		return false;
	memcpy(buf, s, strlen(s) + 1);
	return true;
}

static bool pull_read_names(const json_t *obj, const char *key,
			    struct slot_names *out)
{
	const json_t *list = json_object_get(obj, key);

	if (list &&
	    (!json_is_array(list) || json_array_size(list) > PULL_NAMES_MAX))
		return false;
	for (size_t i = 0; i < json_array_size(list); i++) {
		const char *s = json_string_value(json_array_get(list, i));

		if (!s || slot_names_add(out, s) != ERR_OK)
			return false;
	}
	return true;
}

/* Batch id of "/v1/rollouts/BATCH/pull". */
static bool pull_read_batch(const char *path, char *buf)
{
	const char *id = path + strlen(ROLLOUT_PATH) + 1;
	const char *end = strchr(id, '/');
	size_t len = end ? (size_t)(end - id) : 0;

	if (len == 0 || len >= BATCH_NAME_SIZE || strcmp(end, "/pull") != 0)
		return false;
	memcpy(buf, id, len);
	buf[len] = '\0';
	return batch_name_is_valid(buf);
}

static enum err pull_parse(const struct core_req *r, struct pull *p)
{
	json_t *obj = json_loadb(r->body, r->body_len, 0, NULL);
	bool ok = json_is_object(obj) &&
		  pull_read_name(obj, "trainer", p->trainer) &&
		  pull_read_name(obj, "route", p->route) &&
		  pull_read_names(obj, "ack", &p->acks) &&
		  pull_read_names(obj, "lost", &p->lost);

	p->session = pull_read_int(obj, "session", 0);
	p->version = pull_read_int(obj, "version", 0);
	p->max = pull_read_int(obj, "max", PULL_DEFAULT_MAX);
	p->wait_ms = (int64_t)pull_read_int(obj, "wait_ms", 0);
	if (p->wait_ms > PULL_WAIT_MAX_MS)
		p->wait_ms = PULL_WAIT_MAX_MS;
	json_decref(obj);
	return ok ? ERR_OK : ERR_BATCH_INVALID;
}

static void rollout_on_pull(struct core *c, struct core_req *r)
{
	struct rollout_mod *m = rollout_mod_state(c);
	struct pull p = {0};
	enum err e = ERR_HTTP_ROUTE;

	if (pull_read_batch(r->path, p.batch))
		e = pull_parse(r, &p);
	if (e == ERR_OK)
		e = rollout_auth(c, p.route, r->bearer, p.team, sizeof(p.team));
	if (e != ERR_OK) {
		pull_clear(&p);
		rollout_reply_err(c, r, e, "");
		return;
	}
	r->on_abort = rollout_on_abort;
	rollout_pull(m->r, r->h, &p, core_now(c));
	rollout_mod_apply_actions(m);
}

static void rollout_on_request(struct core *c, struct core_req *r, void *ctx)
{
	if (strcmp(r->path, ROLLOUT_PATH) == 0)
		rollout_on_post(c, r);
	else if (strncmp(r->path, ROLLOUT_PATH "/", sizeof(ROLLOUT_PATH)) == 0)
		rollout_on_pull(c, r);
	else
		rollout_reply_err(c, r, ERR_HTTP_ROUTE, "");
}

enum err rollout_mod_http_init(struct core *c)
{
	return core_route(c, &(struct core_route_opts){
				     .listener = CORE_LISTENER_PUBLIC,
				     .method = "POST",
				     .prefix = ROLLOUT_PATH,
				     .fn = rollout_on_request,
			     });
}
