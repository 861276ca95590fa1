// Writer of one shard of the claim log.
#include "claim/shard.h"

#include <stdlib.h>
#include <string.h>

#include "shard_priv.h"

enum {
	SHARD_RETRY_MS = 100, ///< pause after the store gave no answer
	SHARD_EXPIRE_MS = 5000, ///< interval of looking for old segments
	SHARD_BATCH = 64, ///< records in one put
};

struct claim_shard *claim_shard_new(const struct claim_shard_opts *opts)
{
	struct claim_shard *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->o = *opts;
	s->o.prefix = strdup(opts->prefix);
	s->chain.prefix = s->o.prefix;
	return s;
}

void claim_shard_free(struct claim_shard *s)
{
	if (!s)
		return;
	while (s->n > 0)
		shard_drop(s, s->n - 1);
	segment_chain_reset(&s->chain);
	free(s->put);
	free((char *)s->o.prefix);
	free(s);
}

const struct claim_stats *claim_shard_stats(const struct claim_shard *s)
{
	return &s->stats;
}

/* A key has at most one record in a put. */
static bool batch_has(const struct claim_shard *s, size_t end,
		      struct claim_name key)
{
	for (size_t i = 0; i < end; i++) {
		if (s->pending[i].in_put &&
		    claim_name_eq(s->pending[i].rec.req.key, key))
			return true;
	}
	return false;
}

static bool put_append(struct claim_shard *s, const struct claim_record *r)
{
	char line[CLAIM_LINE_MAX];
	size_t n = claim_record_write(r, line);
	char *grown = n ? realloc(s->put, s->put_len + n) : NULL;

	if (!grown)
		return false;
	s->put = grown;
	memcpy(s->put + s->put_len, line, n);
	s->put_len += n;
	return true;
}

static bool put_begin(struct claim_shard *s)
{
	free(s->put);
	s->put_len = s->chain.sealed ? 0 : s->chain.len;
	s->put = malloc(s->put_len + 1);
	if (s->put && s->put_len > 0)
		memcpy(s->put, s->chain.text, s->put_len);
	return s->put != NULL;
}

/* Settle what can be settled and gather the rest into a value.
 * True if there is something to put. */
static bool shard_gather(struct claim_shard *s, struct claim_time t)
{
	size_t batch = 0;

	if (!put_begin(s))
		return false;
	for (size_t i = 0; i < s->n; i++)
		s->pending[i].in_put = false;
	for (size_t i = 0; i < s->n && batch < SHARD_BATCH;) {
		struct pending *p = &s->pending[i];
		enum review r = REVIEW_KEEP;

		if (!batch_has(s, i, p->rec.req.key))
			r = shard_review(s, i, t);
		if (r == REVIEW_PUT && put_append(s, &p->rec)) {
			p->in_put = true;
			batch++;
		}
		i += r != REVIEW_GONE;
	}
	if (batch > 0 && s->put_len >= s->o.segment_max)
		put_append(s, &(struct claim_record){.op = CLAIM_OP_SEAL});
	return batch > 0;
}

static void shard_list(struct claim_shard *s, struct claim_time t)
{
	s->out = SHARD_OUT_LIST;
	s->out_ms = t.now_ms;
	s->stats.gets++;
	s->o.ops->list(s->o.ctx, s->o.prefix);
}

static void shard_get(struct claim_shard *s, struct claim_time t)
{
	char key[CLAIM_KEY_LEN];
	uint64_t rev;

	segment_chain_tail(&s->chain, key, &rev);
	s->out = SHARD_OUT_GET;
	s->out_ms = t.now_ms;
	s->stats.gets++;
	s->o.ops->get(s->o.ctx, key);
}

static void shard_put(struct claim_shard *s, struct claim_time t)
{
	char key[CLAIM_KEY_LEN];
	uint64_t rev;

	segment_chain_tail(&s->chain, key, &rev);
	s->out = SHARD_OUT_PUT;
	s->out_ms = t.now_ms;
	s->next_ms = t.now_ms + s->o.commit_ms;
	s->stats.puts++;
	s->stats.bytes += s->put_len;
	s->o.ops->put(s->o.ctx, key, s->put, s->put_len, rev);
}

/* Begin the next call to the store, if one is due. */
static void shard_run(struct claim_shard *s, struct claim_time t)
{
	if (s->busy || s->out != SHARD_OUT_NONE || s->n == 0 ||
	    t.now_ms < s->next_ms)
		return;
	s->busy = true;
	if (!s->loaded)
		shard_list(s, t);
	else if (!s->behind && shard_gather(s, t))
		shard_put(s, t);
	else if (s->behind)
		shard_get(s, t);
	s->busy = false;
}

static struct pending *shard_add(struct claim_shard *s, struct claim_time t)
{
	struct pending *p;

	if (s->n == CLAIM_PENDING)
		return NULL;
	p = &s->pending[s->n++];
	*p = (struct pending){.asked_ms = t.now_ms};
	return p;
}

enum err claim_shard_ask(struct claim_shard *s, struct claim_time t,
			 const struct claim_request *req, uint64_t ticket)
{
	struct pending *p = shard_add(s, t);

	if (!p)
		return ERR_FULL;
	p->rec = (struct claim_record){.op = CLAIM_OP_CLAIM, .req = *req};
	p->ticket = ticket;
	shard_run(s, t);
	return ERR_OK;
}

enum err claim_shard_note(struct claim_shard *s, struct claim_time t,
			  const struct claim_record *r)
{
	struct pending *p = shard_add(s, t);

	if (!p)
		return ERR_FULL;
	p->rec = *r;
	p->rec.answer.body = NULL;
	if (r->op == CLAIM_OP_DONE) {
		p->ctype = strdup(r->answer.ctype ? r->answer.ctype : "");
		p->rec.answer.ctype = p->ctype;
	}
	if (r->answer.body && r->answer.len <= CLAIM_BODY_MAX) {
		p->body = malloc(r->answer.len + 1);
		if (p->body)
			memcpy(p->body, r->answer.body, r->answer.len);
		p->rec.answer.body = p->body;
	}
	shard_run(s, t);
	return ERR_OK;
}

static enum err shard_load(struct claim_shard *s, struct claim_time t,
			   const struct claim_kv *kv)
{
	for (size_t i = 0; i < kv->n_items; i++) {
		enum err e =
			segment_chain_load(&s->chain, &kv->items[i], t.wall_ms);

		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

static void shard_reload(struct claim_shard *s)
{
	segment_chain_reset(&s->chain);
	s->loaded = false;
	s->behind = false;
}

static void shard_on_list(struct claim_shard *s, struct claim_time t,
			  const struct claim_kv *kv)
{
	segment_chain_reset(&s->chain);
	if (kv->err != ERR_OK || shard_load(s, t, kv) != ERR_OK) {
		s->stats.bad += kv->err == ERR_OK;
		s->next_ms = t.now_ms + SHARD_RETRY_MS;
		return;
	}
	s->loaded = true;
	s->behind = s->chain.sealed;
	if (!s->behind)
		s->view_ms = s->out_ms;
}

/* The newest segment, or the one that may follow a sealed one. */
static void shard_on_get(struct claim_shard *s, struct claim_time t,
			 const struct claim_kv *kv)
{
	char key[CLAIM_KEY_LEN];
	uint64_t rev;

	segment_chain_tail(&s->chain, key, &rev);
	if (kv->err == ERR_NOT_FOUND && rev == 0) {
		s->behind = false;
		s->view_ms = s->out_ms;
	} else if (kv->err == ERR_NOT_FOUND) {
		shard_reload(s);
	} else if (kv->err != ERR_OK) {
		s->next_ms = t.now_ms + SHARD_RETRY_MS;
	} else if (shard_load(s, t, kv) != ERR_OK) {
		s->stats.bad++;
		shard_reload(s);
		s->next_ms = t.now_ms + SHARD_RETRY_MS;
	} else {
		s->behind = s->chain.sealed;
		if (!s->behind)
			s->view_ms = s->out_ms;
	}
}

static void shard_committed(struct claim_shard *s, struct claim_time t,
			    uint64_t rev)
{
	char key[CLAIM_KEY_LEN];
	uint64_t old;
	struct claim_kv_item item = {
		.key = key,
		.value = s->put,
		.len = s->put_len,
		.rev = rev,
	};

	segment_chain_tail(&s->chain, key, &old);
	if (segment_chain_load(&s->chain, &item, t.wall_ms) != ERR_OK) {
		shard_reload(s);
		return;
	}
	s->view_ms = s->out_ms;
	s->behind = false;
	for (size_t i = 0; i < s->n;) {
		struct pending *p = &s->pending[i];

		if (!p->in_put) {
			i++;
			continue;
		}
		s->stats.records++;
		if (p->rec.op == CLAIM_OP_CLAIM)
			shard_verdict(s, i, CLAIM_GRANTED, NULL);
		else
			shard_drop(s, i);
	}
}

static void shard_on_put(struct claim_shard *s, struct claim_time t,
			 const struct claim_kv *kv)
{
	if (kv->err == ERR_OK) {
		shard_committed(s, t, kv->rev);
		return;
	}
	s->behind = true;
	if (kv->err == ERR_KV_CONFLICT) {
		s->stats.conflicts++;
		s->next_ms = t.now_ms;
	} else {
		s->stats.unknown++;
		s->next_ms = t.now_ms + SHARD_RETRY_MS;
	}
}

enum err claim_shard_kv(struct claim_shard *s, struct claim_time t,
			const struct claim_kv *kv)
{
	enum shard_out out = s->out;

	if (out == SHARD_OUT_NONE)
		return ERR_INVALID;
	s->out = SHARD_OUT_NONE;
	s->busy = true;
	if (out == SHARD_OUT_LIST)
		shard_on_list(s, t, kv);
	else if (out == SHARD_OUT_GET)
		shard_on_get(s, t, kv);
	else
		shard_on_put(s, t, kv);
	s->busy = false;
	shard_run(s, t);
	return ERR_OK;
}

/* Claims that waited too long are refused; outcomes too old are dropped. */
static void shard_time_out(struct claim_shard *s, struct claim_time t)
{
	for (size_t i = 0; i < s->n;) {
		struct pending *p = &s->pending[i];

		if (t.now_ms - p->asked_ms < s->o.wait_ms ||
		    p->rec.op != CLAIM_OP_CLAIM)
			i++;
		else
			shard_verdict(s, i, CLAIM_UNAVAILABLE, NULL);
	}
}

static void shard_expire(struct claim_shard *s, struct claim_time t)
{
	char key[CLAIM_KEY_LEN];
	uint64_t rev;

	if (t.now_ms < s->expire_ms)
		return;
	s->expire_ms = t.now_ms + SHARD_EXPIRE_MS;
	if (s->loaded && segment_chain_expire(&s->chain, t.wall_ms, key, &rev))
		s->o.ops->del(s->o.ctx, key, rev);
}

void claim_shard_tick(struct claim_shard *s, struct claim_time t)
{
	shard_time_out(s, t);
	shard_expire(s, t);
	shard_run(s, t);
}
