// Writer of one shard of the claim log.
#include "claim/shard.h"

#include <stdlib.h>
#include <string.h>

#include "shard_priv.h"

enum {
	SHARD_RETRY_DELAY_MS = 100, ///< after a failed call or load
	SHARD_EXPIRE_INTERVAL_MS = 5000, ///< between segment expiry checks
	SHARD_PUT_MAX_RECORDS = 64,
};

struct claim_shard *claim_shard_new(const struct claim_shard_opts *opts)
{
	struct claim_shard *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->opts = *opts;
	s->opts.prefix = strdup(opts->prefix);
	s->chain.prefix = s->opts.prefix;
	return s;
}

void claim_shard_free(struct claim_shard *s)
{
	if (!s)
		return;
	while (s->n > 0)
		shard_drop(s, s->n - 1);
	segment_chain_reset(&s->chain);
	free(s->put_value);
	free((char *)s->opts.prefix);
	free(s);
}

const struct claim_stats *claim_shard_stats(const struct claim_shard *s)
{
	return &s->stats;
}

/* A key has at most one record in a put. */
static bool put_has_key(const struct claim_shard *s, size_t end,
			struct claim_u128 key)
{
	for (size_t i = 0; i < end; i++) {
		if (s->pending[i].in_put &&
		    claim_u128_eq(s->pending[i].rec.req.key, key))
			return true;
	}
	return false;
}

static bool put_append(struct claim_shard *s, const struct claim_record *r)
{
	char line[CLAIM_LINE_MAX];
	size_t n = claim_record_write(r, line);
	char *grown = n ? realloc(s->put_value, s->put_len + n) : NULL;

	if (!grown)
		return false;
	s->put_value = grown;
	memcpy(s->put_value + s->put_len, line, n);
	s->put_len += n;
	return true;
}

static bool put_init(struct claim_shard *s)
{
	free(s->put_value);
	s->put_len = s->chain.sealed ? 0 : s->chain.len;
	s->put_value = malloc(s->put_len + 1);
	if (s->put_value && s->put_len > 0)
		memcpy(s->put_value, s->chain.text, s->put_len);
	return s->put_value != NULL;
}

/* Resolves what the log decides and appends the rest to the put value.
 * True if there is something to put. */
static bool shard_build_put(struct claim_shard *s, struct claim_time t)
{
	size_t n_records = 0;

	if (!put_init(s))
		return false;
	for (size_t i = 0; i < s->n; i++)
		s->pending[i].in_put = false;
	for (size_t i = 0; i < s->n && n_records < SHARD_PUT_MAX_RECORDS;) {
		struct pending *p = &s->pending[i];
		enum resolve_result r = RESOLVE_WAIT;

		if (!put_has_key(s, i, p->rec.req.key))
			r = shard_resolve(s, i, t);
		if (r == RESOLVE_APPEND && put_append(s, &p->rec)) {
			p->in_put = true;
			n_records++;
		}
		i += r != RESOLVE_REMOVED;
	}
	if (n_records > 0 && s->put_len >= s->opts.segment_max_bytes)
		put_append(s, &(struct claim_record){.op = CLAIM_OP_SEAL});
	return n_records > 0;
}

static void shard_start_list(struct claim_shard *s, struct claim_time t)
{
	s->call = SHARD_CALL_LIST;
	s->call_start_ms = t.now_ms;
	s->stats.gets++;
	s->opts.ops->list(s->opts.ctx, s->opts.prefix);
}

static void shard_start_get(struct claim_shard *s, struct claim_time t)
{
	char key[CLAIM_KEY_SIZE];
	uint64_t rev;

	segment_chain_tail(&s->chain, key, &rev);
	s->call = SHARD_CALL_GET;
	s->call_start_ms = t.now_ms;
	s->stats.gets++;
	s->opts.ops->get(s->opts.ctx, key);
}

static void shard_start_put(struct claim_shard *s, struct claim_time t)
{
	char key[CLAIM_KEY_SIZE];
	uint64_t rev;

	segment_chain_tail(&s->chain, key, &rev);
	s->call = SHARD_CALL_PUT;
	s->call_start_ms = t.now_ms;
	s->next_call_ms = t.now_ms + s->opts.commit_interval_ms;
	s->stats.puts++;
	s->stats.bytes += s->put_len;
	s->opts.ops->put(s->opts.ctx, key, s->put_value, s->put_len, rev);
}

/* Starts the next store call if one is due. */
static void shard_start_call(struct claim_shard *s, struct claim_time t)
{
	if (s->in_call || s->call != SHARD_CALL_NONE || s->n == 0 ||
	    t.now_ms < s->next_call_ms)
		return;
	s->in_call = true;
	if (!s->loaded)
		shard_start_list(s, t);
	else if (!s->stale && shard_build_put(s, t))
		shard_start_put(s, t);
	else if (s->stale)
		shard_start_get(s, t);
	s->in_call = false;
}

static struct pending *shard_enqueue(struct claim_shard *s, struct claim_time t)
{
	struct pending *p;

	if (s->n == CLAIM_PENDING_MAX)
		return NULL;
	p = &s->pending[s->n++];
	*p = (struct pending){.queued_ms = t.now_ms};
	return p;
}

enum err claim_shard_request(struct claim_shard *s, struct claim_time t,
			     const struct claim_request *req, uint64_t cookie)
{
	struct pending *p = shard_enqueue(s, t);

	if (!p)
		return ERR_FULL;
	p->rec = (struct claim_record){.op = CLAIM_OP_CLAIM, .req = *req};
	p->cookie = cookie;
	shard_start_call(s, t);
	return ERR_OK;
}

enum err claim_shard_add_outcome(struct claim_shard *s, struct claim_time t,
				 const struct claim_record *r)
{
	struct pending *p = shard_enqueue(s, t);

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
	shard_start_call(s, t);
	return ERR_OK;
}

static enum err shard_load_segments(struct claim_shard *s, struct claim_time t,
				    const struct claim_kv_result *kv)
{
	for (size_t i = 0; i < kv->n_items; i++) {
		enum err e =
			segment_chain_load(&s->chain, &kv->items[i], t.wall_ms);

		if (e != ERR_OK)
			return e;
	}
	return ERR_OK;
}

static void shard_discard_view(struct claim_shard *s)
{
	segment_chain_reset(&s->chain);
	s->loaded = false;
	s->stale = false;
}

static void shard_on_list(struct claim_shard *s, struct claim_time t,
			  const struct claim_kv_result *kv)
{
	segment_chain_reset(&s->chain);
	if (kv->err != ERR_OK || shard_load_segments(s, t, kv) != ERR_OK) {
		s->stats.bad += kv->err == ERR_OK;
		s->next_call_ms = t.now_ms + SHARD_RETRY_DELAY_MS;
		return;
	}
	s->loaded = true;
	s->stale = s->chain.sealed;
	if (!s->stale)
		s->synced_ms = s->call_start_ms;
}

/* The newest segment, or the successor of a sealed one, if any. */
static void shard_on_get(struct claim_shard *s, struct claim_time t,
			 const struct claim_kv_result *kv)
{
	char key[CLAIM_KEY_SIZE];
	uint64_t rev;

	segment_chain_tail(&s->chain, key, &rev);
	if (kv->err == ERR_NOT_FOUND && rev == 0) {
		s->stale = false;
		s->synced_ms = s->call_start_ms;
	} else if (kv->err == ERR_NOT_FOUND) {
		shard_discard_view(s);
	} else if (kv->err != ERR_OK) {
		s->next_call_ms = t.now_ms + SHARD_RETRY_DELAY_MS;
	} else if (shard_load_segments(s, t, kv) != ERR_OK) {
		s->stats.bad++;
		shard_discard_view(s);
		s->next_call_ms = t.now_ms + SHARD_RETRY_DELAY_MS;
	} else {
		s->stale = s->chain.sealed;
		if (!s->stale)
			s->synced_ms = s->call_start_ms;
	}
}

static void shard_on_committed(struct claim_shard *s, struct claim_time t,
			       uint64_t rev)
{
	char key[CLAIM_KEY_SIZE];
	uint64_t old;
	struct claim_kv_item item = {
		.key = key,
		.value = s->put_value,
		.len = s->put_len,
		.rev = rev,
	};

	segment_chain_tail(&s->chain, key, &old);
	if (segment_chain_load(&s->chain, &item, t.wall_ms) != ERR_OK) {
		shard_discard_view(s);
		return;
	}
	s->synced_ms = s->call_start_ms;
	s->stale = false;
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
			 const struct claim_kv_result *kv)
{
	if (kv->err == ERR_OK) {
		shard_on_committed(s, t, kv->rev);
		return;
	}
	s->stale = true;
	if (kv->err == ERR_KV_CONFLICT) {
		s->stats.conflicts++;
		s->next_call_ms = t.now_ms;
	} else {
		s->stats.unknown++;
		s->next_call_ms = t.now_ms + SHARD_RETRY_DELAY_MS;
	}
}

enum err claim_shard_kv_done(struct claim_shard *s, struct claim_time t,
			     const struct claim_kv_result *kv)
{
	enum shard_call call = s->call;

	if (call == SHARD_CALL_NONE)
		return ERR_INVALID;
	s->call = SHARD_CALL_NONE;
	s->in_call = true;
	if (call == SHARD_CALL_LIST)
		shard_on_list(s, t, kv);
	else if (call == SHARD_CALL_GET)
		shard_on_get(s, t, kv);
	else
		shard_on_put(s, t, kv);
	s->in_call = false;
	shard_start_call(s, t);
	return ERR_OK;
}

/* Rejects claim requests after wait_ms; outcomes have no timeout. */
static void shard_time_out_claims(struct claim_shard *s, struct claim_time t)
{
	for (size_t i = 0; i < s->n;) {
		struct pending *p = &s->pending[i];

		if (t.now_ms - p->queued_ms < s->opts.wait_ms ||
		    p->rec.op != CLAIM_OP_CLAIM)
			i++;
		else
			shard_verdict(s, i, CLAIM_UNAVAILABLE, NULL);
	}
}

static void shard_delete_expired(struct claim_shard *s, struct claim_time t)
{
	char key[CLAIM_KEY_SIZE];
	uint64_t rev;

	if (t.now_ms < s->next_expire_ms)
		return;
	s->next_expire_ms = t.now_ms + SHARD_EXPIRE_INTERVAL_MS;
	if (s->loaded &&
	    segment_chain_pop_expired(&s->chain, t.wall_ms, key, &rev))
		s->opts.ops->del(s->opts.ctx, key, rev);
}

void claim_shard_tick(struct claim_shard *s, struct claim_time t)
{
	shard_time_out_claims(s, t);
	shard_delete_expired(s, t);
	shard_start_call(s, t);
}
