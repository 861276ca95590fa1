// Module rollout: batches of this node, their samples, and the trainer's calls.
#include "daemon/rollout_mod.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "conf/conf.h"
#include "daemon/conf_mod.h"
#include "daemon/mods.h"
#include "daemon/usage_mod.h"
#include "daemon/work_mod.h"
#include "rollout/batch.h"
#include "rollout/batch_json.h"
#include "rollout/sample.h"

enum {
	ROLLOUT_BATCHES = 64,
	ROLLOUT_AHEAD = 64, ///< slots given to the work module at once
	ROLLOUT_RETRY_MS = 200,
	ROLLOUT_DEADLINE_MS = 600000,
	ROLLOUT_WAIT_MAX_MS = 30000,
};

enum ro_state {
	RO_WAITING,
	RO_RUNNING,
	RO_READY,
	RO_HANDED,
	RO_ACKED,
};

struct ro_batch;

struct ro_slot {
	struct core *c;
	struct ro_batch *batch;
	size_t index;
	enum ro_state state;
	struct sample sample;
	int64_t not_before;
	uint64_t tries;
};

struct ro_pull {
	htab_handle req;
	int64_t until_ms;
	size_t max;
	uint64_t version;
};

struct ro_batch {
	struct batch *spec;
	struct ro_slot *slots;
	uint64_t session;
	size_t acked;
	struct ro_pull pull;
};

struct rollout_mod {
	struct ro_batch batches[ROLLOUT_BATCHES];
	size_t n;
	size_t running;
};

static struct rollout_mod *rollout_state(struct core *c)
{
	return core_mod_state(c, MOD_ROLLOUT);
}

static struct ro_batch *rollout_find(struct rollout_mod *m, const char *id,
				     size_t len)
{
	for (size_t i = 0; i < m->n; i++) {
		if (strlen(m->batches[i].spec->id) == len &&
		    memcmp(m->batches[i].spec->id, id, len) == 0)
			return &m->batches[i];
	}
	return NULL;
}

static void rollout_on_line(struct core *c, void *ctx, const char *line,
			    size_t len)
{
	struct ro_slot *s = ctx;
	enum engine_line_kind kind;

	if (engine_line(&s->sample, line, len, &kind) != ERR_OK)
		s->sample.finish = SAMPLE_OPEN;
}

static void rollout_on_done(struct core *c, void *ctx,
			    const struct work_result *res)
{
	struct ro_slot *s = ctx;

	rollout_state(c)->running--;
	snprintf(s->sample.server, sizeof(s->sample.server), "%s",
		 res->server ? res->server : "");
	if (s->sample.finish != SAMPLE_OPEN) {
		s->state = RO_READY;
		return;
	}
	s->state = RO_WAITING;
	s->not_before = core_now(c) + ROLLOUT_RETRY_MS;
}

static enum err rollout_start_slot(struct core *c, struct ro_slot *s)
{
	struct ro_batch *b = s->batch;
	const struct batch_group *g = batch_group_of(b->spec, s->index);
	char id[128];
	char name[BATCH_SLOT_NAME];
	struct work_opts opts = {
		.cls = WORK_ROLLOUT,
		.kind = VM_ENGINE,
		.service = "",
		.team = b->spec->team,
		.method = "POST",
		.path = "/v1/generate",
		.ctype = "application/json",
		.idempotent = true,
		.deadline_ms = core_now(c) + ROLLOUT_DEADLINE_MS,
		.cost = g->expect_tokens,
		.prefix = g->prefix,
		.may_cut = true,
		.on_line = rollout_on_line,
		.on_done = rollout_on_done,
		.ctx = s,
	};
	int64_t retry = 0;
	htab_handle h;
	char *body;
	enum err e;

	batch_slot_name(b->spec, s->index, name);
	snprintf(id, sizeof(id), "%.48s/%.64s/%llu", b->spec->id, name,
		 (unsigned long long)s->tries++);
	body = batch_engine_request(b->spec, s->index, id, &s->sample);
	if (!body)
		return ERR_NOMEM;
	opts.body = body;
	opts.body_len = strlen(body);
	e = work_submit(c, &opts, &h, &retry);
	free(body);
	s->not_before = core_now(c) + retry;
	return e;
}

static void rollout_start_slots(struct core *c, struct rollout_mod *m,
				struct ro_batch *b)
{
	for (size_t i = 0; i < b->spec->n_slots; i++) {
		struct ro_slot *s = &b->slots[i];

		if (m->running >= ROLLOUT_AHEAD)
			return;
		if (s->state != RO_WAITING || s->not_before > core_now(c))
			continue;
		if (rollout_start_slot(c, s) != ERR_OK)
			return;
		s->state = RO_RUNNING;
		m->running++;
	}
}

static size_t rollout_collect(struct ro_batch *b, json_t *samples)
{
	size_t n = 0;

	for (size_t i = 0; i < b->spec->n_slots && n < b->pull.max; i++) {
		struct ro_slot *s = &b->slots[i];

		if (s->state == RO_READY &&
		    !sample_fresh(&s->sample, b->pull.version,
				  b->spec->max_staleness)) {
			sample_clear(&s->sample);
			s->state = RO_WAITING;
		}
		if (s->state != RO_READY && s->state != RO_HANDED)
			continue;
		s->state = RO_HANDED;
		n++;
		json_array_append_new(
			samples, batch_sample_json(b->spec, i, &s->sample));
	}
	return n;
}

static void rollout_answer(struct core *c, struct ro_batch *b)
{
	json_t *samples = json_array();
	size_t n = rollout_collect(b, samples);
	bool done = b->acked == b->spec->n_slots;
	htab_handle req = b->pull.req;

	if (n == 0 && !done && core_now(c) < b->pull.until_ms) {
		json_decref(samples);
		return;
	}
	b->pull.req = 0;
	core_reply_json(c, req, 200,
			json_pack("{s:o,s:[],s:I,s:b}", "samples", samples,
				  "expired", "left",
				  (json_int_t)(b->spec->n_slots - b->acked),
				  "done", done));
}

static enum err rollout_auth(struct core *c, const char *route,
			     const char *bearer, char *team, size_t len)
{
	const struct conf *conf = conf_mod_current(c);
	const struct conf_route *r;

	if (!conf)
		return ERR_CONF_NONE;
	r = conf_route_find(conf, route);
	if (!r || r->target != CONF_ENGINE)
		return ERR_NOT_FOUND;
	return conf_mod_auth(c, r, bearer, team, len);
}

static void rollout_reply_batch(struct core *c, htab_handle h, int status,
				const struct batch *b)
{
	core_reply_json(c, h, status,
			json_pack("{s:s,s:I}", "batch", b->id, "slots",
				  (json_int_t)b->n_slots));
}

static enum err rollout_take(struct core *c, struct core_req *r,
			     struct batch *spec)
{
	struct rollout_mod *m = rollout_state(c);
	struct ro_batch *b = rollout_find(m, spec->id, strlen(spec->id));

	if (b) {
		rollout_reply_batch(c, r->h, 200, b->spec);
		batch_free(spec);
		return ERR_OK;
	}
	if (m->n == ROLLOUT_BATCHES)
		return ERR_BATCH_LIMIT;
	b = &m->batches[m->n];
	*b = (struct ro_batch){.spec = spec};
	b->slots = calloc(spec->n_slots, sizeof(*b->slots));
	if (!b->slots)
		return ERR_NOMEM;
	for (size_t i = 0; i < spec->n_slots; i++) {
		b->slots[i].c = c;
		b->slots[i].batch = b;
		b->slots[i].index = i;
	}
	m->n++;
	rollout_reply_batch(c, r->h, 202, spec);
	return ERR_OK;
}

static void rollout_on_post(struct core *c, struct core_req *r)
{
	const struct conf *conf = conf_mod_current(c);
	struct batch *spec = NULL;
	const char *why = "";
	enum err e;

	e = batch_parse(r->body, r->body_len,
			conf ? (uint64_t)conf_int(conf, CF_MAX_STALENESS,
						  &(struct conf_scope){0})
			     : 0,
			&spec, &why);
	if (e == ERR_OK) {
		why = "";
		e = rollout_auth(c, spec->route, r->bearer, spec->team,
				 sizeof(spec->team));
	}
	if (e == ERR_OK)
		e = rollout_take(c, r, spec);
	if (e != ERR_OK) {
		batch_free(spec);
		core_reply_err(c, r->h, e, RUN_NO, 0, why);
	}
}

static void rollout_ack(struct core *c, struct ro_batch *b, const json_t *acks)
{
	for (size_t i = 0; i < json_array_size(acks); i++) {
		const char *name = json_string_value(json_array_get(acks, i));
		size_t slot;

		if (!name || batch_slot_find(b->spec, name, &slot) != ERR_OK ||
		    b->slots[slot].state != RO_HANDED)
			continue;
		b->slots[slot].state = RO_ACKED;
		b->acked++;
		usage_mod_add(c, b->spec->team, USAGE_SAMPLES, 1);
		usage_mod_add(c, b->spec->team, USAGE_TOKENS,
			      b->slots[slot].sample.n);
		sample_clear(&b->slots[slot].sample);
	}
}

static uint64_t rollout_u64(const json_t *obj, const char *key, uint64_t def)
{
	const json_t *v = json_object_get(obj, key);

	return json_is_integer(v) && json_integer_value(v) >= 0
		       ? (uint64_t)json_integer_value(v)
		       : def;
}

static enum err rollout_pull(struct core *c, struct core_req *r,
			     struct ro_batch *b, const json_t *obj)
{
	uint64_t session = rollout_u64(obj, "session", 0);
	uint64_t wait = rollout_u64(obj, "wait_ms", 0);
	char team[BATCH_NAME] = "";
	enum err e;

	e = rollout_auth(c, b->spec->route, r->bearer, team, sizeof(team));
	if (e != ERR_OK)
		return e;
	if (strcmp(team, b->spec->team) != 0)
		return ERR_KEY_TEAM;
	if (session < b->session)
		return ERR_SESSION_OLD;
	if (b->pull.req && core_req_get(c, b->pull.req))
		core_reply_err(c, b->pull.req, ERR_SESSION_OLD, RUN_NO, 0,
			       "a newer pull took over");
	b->session = session;
	rollout_ack(c, b, json_object_get(obj, "ack"));
	if (wait > ROLLOUT_WAIT_MAX_MS)
		wait = ROLLOUT_WAIT_MAX_MS;
	b->pull = (struct ro_pull){
		.req = r->h,
		.until_ms = core_now(c) + (int64_t)wait,
		.max = rollout_u64(obj, "max", 64),
		.version = rollout_u64(obj, "version", b->spec->version),
	};
	rollout_answer(c, b);
	return ERR_OK;
}

static void rollout_on_pull(struct core *c, struct core_req *r)
{
	const char *id = r->path + strlen("/v1/rollouts/");
	const char *end = strchr(id, '/');
	json_t *obj = json_loadb(r->body, r->body_len, 0, NULL);
	struct ro_batch *b =
		end ? rollout_find(rollout_state(c), id, (size_t)(end - id))
		    : NULL;
	enum err e = ERR_BATCH_UNKNOWN;

	if (!json_is_object(obj))
		e = ERR_PARSE;
	else if (b)
		e = rollout_pull(c, r, b, obj);
	json_decref(obj);
	if (e != ERR_OK)
		core_reply_err(c, r->h, e, RUN_NO, 0, "");
}

static void rollout_on_request(struct core *c, struct core_req *r, void *ctx)
{
	size_t len = strlen(r->path);

	if (strcmp(r->path, "/v1/rollouts") == 0)
		rollout_on_post(c, r);
	else if (len > 5 && strcmp(r->path + len - 5, "/pull") == 0)
		rollout_on_pull(c, r);
	else
		core_reply_err(c, r->h, ERR_HTTP_ROUTE, RUN_NO, 0, "");
}

static enum err rollout_start(struct core *c, void **state)
{
	*state = calloc(1, sizeof(struct rollout_mod));
	if (!*state)
		return ERR_NOMEM;
	return core_route(c, &(struct core_route_opts){
				     .listener = CORE_PUBLIC,
				     .method = "POST",
				     .prefix = "/v1/rollouts",
				     .fn = rollout_on_request,
			     });
}

static void rollout_tick(struct core *c, void *state, int64_t now_ms)
{
	struct rollout_mod *m = state;

	for (size_t i = 0; i < m->n; i++) {
		rollout_start_slots(c, m, &m->batches[i]);
		if (m->batches[i].pull.req &&
		    !core_req_get(c, m->batches[i].pull.req))
			m->batches[i].pull.req = 0;
		if (m->batches[i].pull.req)
			rollout_answer(c, &m->batches[i]);
	}
}

static void rollout_stop(struct core *c, void *state)
{
	struct rollout_mod *m = state;

	for (size_t i = 0; i < m->n; i++) {
		struct ro_batch *b = &m->batches[i];

		for (size_t j = 0; j < b->spec->n_slots; j++)
			sample_clear(&b->slots[j].sample);
		free(b->slots);
		batch_free(b->spec);
	}
	free(m);
}

const struct core_mod_ops rollout_mod_ops = {
	.name = "rollout",
	.start = rollout_start,
	.tick = rollout_tick,
	.stop = rollout_stop,
};
