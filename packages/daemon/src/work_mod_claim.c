// The claim log of idempotency keys: shards on this node, their KV calls, and
// claims requested by other nodes.
#include "claim/shard.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metric.h"
#include "daemon/member_mod.h"
#include "daemon/platform_mod.h"
#include "work_mod_claim_msg.h"

enum {
	CLAIM_COMMIT_INTERVAL_MS = 50, ///< minimum between writes of a shard
	CLAIM_VERDICT_TIMEOUT_MS = 1200, ///< then the claim is unavailable
	CLAIM_SEGMENT_MAX_BYTES = 16 << 10, ///< longer segments are sealed
};

/// Shard of the log on this node, created at its first use.
struct claim_local_shard {
	struct core *c;
	int index;
	char prefix[32];
	struct claim_shard *shard;
	bool kv_failed; ///< a KV call did not start; reported at a tick
	struct claim_stats counted; ///< already in the metrics
};

/// Sender of a claim request.
struct claim_requester {
	struct core_peer_run from; ///< node "" for this node
	uint64_t ticket; ///< handle of the API call there
};

struct work_claims {
	struct claim_local_shard shards[WORK_CLAIM_SHARDS];
	struct htab *requesters; ///< struct claim_requester
};

static struct claim_time claim_now(const struct core *c)
{
	return (struct claim_time){core_now(c), clock_wall_ms()};
}

static int claim_shard_of(struct claim_u128 key)
{
	return (int)(key.hi % WORK_CLAIM_SHARDS);
}

// --- KV calls of a shard ----------------------------------------------------

/* Pass a KV result to its shard, which ignores an unrequested one. */
static void claim_apply_kv(struct core *c, struct claim_local_shard *s,
			   const struct claim_kv_result *kv)
{
	enum err e = claim_shard_kv_done(s->shard, claim_now(c), kv);

	if (e != ERR_OK)
		log_event(EV_WORK_FAULT,
			  "what=unrequested-claim-kv-result error=%s",
			  err_code(e));
}

static void claim_on_kv(struct core *c, void *ctx, const struct kv_result *res)
{
	struct claim_local_shard *s = ctx;
	struct claim_kv_item *items = calloc(res->n_items + 1, sizeof(*items));
	struct claim_kv_result kv = {
		.err = items ? res->err : ERR_NOMEM,
		.rev = res->rev,
		.items = items,
		.n_items = items ? res->n_items : 0,
	};

	for (size_t i = 0; i < kv.n_items; i++)
		items[i] = (struct claim_kv_item){
			res->items[i].key, res->items[i].value,
			res->items[i].len, res->items[i].rev};
	claim_apply_kv(c, s, &kv);
	free(items);
}

static void claim_check_started(struct claim_local_shard *s, enum err e)
{
	if (e != ERR_OK)
		s->kv_failed = true;
}

static void claim_list(void *ctx, const char *prefix)
{
	struct claim_local_shard *s = ctx;

	claim_check_started(
		s, kv_list(s->c, prefix, (struct kv_cb){claim_on_kv, s}));
}

static void claim_get(void *ctx, const char *key)
{
	struct claim_local_shard *s = ctx;

	claim_check_started(s,
			    kv_get(s->c, key, (struct kv_cb){claim_on_kv, s}));
}

static void claim_put(void *ctx, const char *key, const char *value, size_t len,
		      uint64_t prev_rev)
{
	struct claim_local_shard *s = ctx;
	struct kv_put_opts o = {
		.key = key,
		.value = value,
		.len = len,
		.prev_rev = prev_rev,
	};

	claim_check_started(s,
			    kv_put(s->c, &o, (struct kv_cb){claim_on_kv, s}));
}

static void claim_on_del(struct core *c, void *ctx, const struct kv_result *res)
{
	/* A later writer retries a failed delete. */
}

static void claim_del(void *ctx, const char *key, uint64_t rev)
{
	struct claim_local_shard *s = ctx;

	kv_del(s->c, key, rev, (struct kv_cb){claim_on_del, s});
}

static void claim_verdict(void *ctx, uint64_t ticket, enum claim_verdict v,
			  const struct claim_answer *a)
{
	struct claim_local_shard *s = ctx;
	struct htab *requesters = work_state(s->c)->claims->requesters;
	struct claim_requester *found =
		htab_get(requesters, (htab_handle)ticket);
	struct claim_requester requester;

	if (!found)
		return;
	requester = *found;
	htab_del(requesters, (htab_handle)ticket);
	if (*requester.from.node)
		claim_verdict_send(s->c, &requester.from, requester.ticket, v,
				   a);
	else
		work_keyed_verdict(s->c, (htab_handle)requester.ticket, v, a,
				   true);
}

static const struct claim_shard_ops claim_local_ops = {
	.list = claim_list,
	.get = claim_get,
	.put = claim_put,
	.del = claim_del,
	.verdict = claim_verdict,
};

static struct claim_shard *claim_shard_get(struct core *c,
					   struct claim_u128 key)
{
	int i = claim_shard_of(key);
	struct claim_local_shard *s = &work_state(c)->claims->shards[i];
	struct claim_shard_opts o = {
		.prefix = s->prefix,
		.ops = &claim_local_ops,
		.ctx = s,
		.commit_interval_ms = CLAIM_COMMIT_INTERVAL_MS,
		.wait_ms = CLAIM_VERDICT_TIMEOUT_MS,
		.segment_max_bytes = CLAIM_SEGMENT_MAX_BYTES,
	};

	if (s->shard)
		return s->shard;
	s->c = c;
	s->index = i;
	snprintf(s->prefix, sizeof(s->prefix), "claim/%d/", i);
	s->shard = claim_shard_new(&o);
	return s->shard;
}

// --- choice of a shard's writer ---------------------------------------------

struct claim_candidate {
	const char *name;
	uint64_t score;
};

/* Rendezvous hashing: the highest score wins. */
static void claim_keep_higher(struct claim_candidate *best, const char *name,
			      int shard)
{
	uint64_t score = XXH64(name, strlen(name), (uint64_t)shard);

	if (!best->name || score > best->score)
		*best = (struct claim_candidate){name, score};
}

static bool claim_reachable(const struct member_view *m)
{
	return m->state == MEMBER_ALIVE && !m->draining;
}

/* Writer of a shard: first its home failure domain, then a node there. Views
 * may differ between nodes; the log is safe with any number of writers. */
static const char *claim_writer(struct core *c, int shard)
{
	struct claim_candidate home_domain = {0};
	struct claim_candidate node = {0};
	size_t n;
	const struct member_view *all = member_mod_members(c, &n);

	claim_keep_higher(&home_domain, core_domain(c), shard);
	for (size_t i = 0; i < n; i++) {
		if (claim_reachable(&all[i]))
			claim_keep_higher(&home_domain, all[i].domain, shard);
	}
	if (strcmp(home_domain.name, core_domain(c)) == 0)
		claim_keep_higher(&node, core_node(c), shard);
	for (size_t i = 0; i < n; i++) {
		if (claim_reachable(&all[i]) &&
		    strcmp(all[i].domain, home_domain.name) == 0)
			claim_keep_higher(&node, all[i].id, shard);
	}
	return node.name;
}

bool work_claim_is_writer(struct core *c, struct claim_u128 key)
{
	return strcmp(claim_writer(c, claim_shard_of(key)), core_node(c)) == 0;
}

// --- claims and their outcomes ----------------------------------------------

static void claim_reject(struct core *c, const struct claim_requester *a)
{
	if (*a->from.node)
		claim_verdict_send(c, &a->from, a->ticket, CLAIM_UNAVAILABLE,
				   NULL);
}

static void claim_ask_local(struct core *c, const struct claim_request *req,
			    const struct claim_requester *from)
{
	struct htab *requesters = work_state(c)->claims->requesters;
	struct claim_shard *shard = claim_shard_get(c, req->key);
	htab_handle h;
	struct claim_requester *a = shard ? htab_add(requesters, &h) : NULL;

	if (!a) {
		claim_reject(c, from);
		return;
	}
	*a = *from;
	metric_add(M_CLAIM_ASKED, 1);
	if (claim_shard_request(shard, claim_now(c), req, h) == ERR_OK)
		return;
	htab_del(requesters, h);
	claim_reject(c, from);
}

void work_claim_ask(struct core *c, const struct claim_request *req,
		    htab_handle call, bool self)
{
	struct claim_requester self_requester = {.ticket = call};

	if (self)
		claim_ask_local(c, req, &self_requester);
	else
		claim_ask_send(c, claim_writer(c, claim_shard_of(req->key)),
			       call, req);
}

static void claim_note_local(struct core *c, const struct claim_record *r)
{
	struct claim_shard *shard = claim_shard_get(c, r->req.key);

	if (shard)
		claim_shard_add_outcome(shard, claim_now(c), r);
}

void work_claim_note(struct core *c, const struct claim_record *r)
{
	const char *writer = claim_writer(c, claim_shard_of(r->req.key));

	if (strcmp(writer, core_node(c)) == 0 ||
	    claim_note_send(c, writer, r) != ERR_OK)
		claim_note_local(c, r);
}

static void claim_on_ask(struct core *c, void *ctx, const char *from,
			 const void *buf, size_t len)
{
	struct claim_requester a = {0};
	struct claim_request req;

	if (!claim_ask_read(buf, len, &a.ticket, &req)) {
		log_event(EV_WORK_PEER_BAD, "from=%s message=claim-ask", from);
		return;
	}
	a.from = core_peer_sender(c);
	claim_ask_local(c, &req, &a);
}

static void claim_on_verdict(struct core *c, void *ctx, const char *from,
			     const void *buf, size_t len)
{
	struct claim_verdict_msg m;

	if (claim_verdict_read(buf, len, &m))
		work_keyed_verdict(c, (htab_handle)m.ticket, m.verdict,
				   &m.answer, false);
	else
		log_event(EV_WORK_PEER_BAD, "from=%s message=claim-verdict",
			  from);
	claim_verdict_msg_free(&m);
}

static void claim_on_note(struct core *c, void *ctx, const char *from,
			  const void *buf, size_t len)
{
	struct claim_note_msg m;

	if (claim_note_read(buf, len, &m))
		claim_note_local(c, &m.rec);
	else
		log_event(EV_WORK_PEER_BAD, "from=%s message=claim-note", from);
	claim_note_msg_free(&m);
}

// --- tick, start and stop ---------------------------------------------------

static void claim_update_metrics(struct claim_local_shard *s)
{
	const struct claim_stats *now = claim_shard_stats(s->shard);

	metric_add(M_CLAIM_PUTS, now->puts - s->counted.puts);
	metric_add(M_CLAIM_GETS, now->gets - s->counted.gets);
	if (now->bad != s->counted.bad)
		log_event(EV_CLAIM_BAD, "shard=%d", s->index);
	s->counted = *now;
}

void work_claim_tick(struct core *c, int64_t now)
{
	struct work_claims *k = work_state(c)->claims;

	for (int i = 0; i < WORK_CLAIM_SHARDS; i++) {
		struct claim_local_shard *s = &k->shards[i];
		struct claim_kv_result kv_down = {.err = ERR_KV_DOWN};

		if (!s->shard)
			continue;
		if (s->kv_failed) {
			s->kv_failed = false;
			claim_apply_kv(c, s, &kv_down);
		}
		claim_shard_tick(s->shard, claim_now(c));
		claim_update_metrics(s);
	}
}

enum err work_claim_start(struct core *c, struct work_state *s)
{
	enum err e;

	s->claims = calloc(1, sizeof(*s->claims));
	if (!s->claims)
		return ERR_NOMEM;
	s->claims->requesters = htab_new(WORK_CLAIM_REQUESTS_MAX,
					 sizeof(struct claim_requester));
	if (!s->claims->requesters)
		return ERR_NOMEM;
	e = core_peer_on(c, PEER_CLAIM_ASK, claim_on_ask, NULL);
	if (e == ERR_OK)
		e = core_peer_on(c, PEER_CLAIM_VERDICT, claim_on_verdict, NULL);
	if (e == ERR_OK)
		e = core_peer_on(c, PEER_CLAIM_OUTCOME, claim_on_note, NULL);
	return e;
}

void work_claim_stop(struct work_state *s)
{
	if (!s->claims)
		return;
	for (int i = 0; i < WORK_CLAIM_SHARDS; i++)
		claim_shard_free(s->claims->shards[i].shard);
	htab_free(s->claims->requesters);
	free(s->claims);
}
