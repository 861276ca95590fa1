// Makes the ownership record name this node and a backup with a complete copy.
//
// The copy is completed before the record is written, so each node that the
// record names has everything that was delivered. Until the outcome of a write
// is known, both the old and the new backup must acknowledge.
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "rollout_defs.h"

static bool claim_node_is_slow(const struct owner *o, const char *node)
{
	return o->r->now_ms < o->slow_until_ms &&
	       strcmp(o->slow_node, node) == 0;
}

/* A new stream to this node would discard its complete copy. */
static bool claim_is_backup(const struct owner *o, const char *node)
{
	return o->backup && !o->backup->failed &&
	       strcmp(o->backup->node, node) == 0;
}

/* Rendezvous hash; nodes of other failure domains rank first. */
static uint64_t claim_rank(const struct owner *o,
			   const struct rollout_member *m)
{
	uint64_t h = XXH64(m->id, strlen(m->id), 0);

	h = XXH64(o->home->trainer, strlen(o->home->trainer), h) >> 1;
	if (strcmp(m->domain, o->r->opts.domain) != 0)
		h |= 1ull << 63;
	return h;
}

static const struct rollout_member *claim_pick_backup(const struct owner *o)
{
	const struct rollout_member *best = NULL;

	for (size_t i = 0; i < o->r->n_members; i++) {
		const struct rollout_member *m = &o->r->members[i];

		if (!m->alive || m->draining || claim_node_is_slow(o, m->id) ||
		    claim_is_backup(o, m->id))
			continue;
		if (!best || claim_rank(o, m) > claim_rank(o, best))
			best = m;
	}
	return best;
}

static bool claim_backup_bad(struct owner *o)
{
	const struct rollout_member *m;

	if (!o->backup)
		return true;
	if (stream_is_stalled(o->backup, o->r->now_ms, COPY_STALL_MS)) {
		if (!o->backup->failed) {
			memcpy(o->slow_node, o->backup->node,
			       sizeof(o->slow_node));
			o->slow_until_ms = o->r->now_ms + COPY_SLOW_NODE_MS;
		}
		return true;
	}
	m = rollout_member(o->r, o->backup->node);
	return !m || !m->alive || m->draining;
}

/* Whether a node of another failure domain can replace a backup in this. */
static bool claim_backup_same_domain(const struct owner *o)
{
	const struct rollout_member *now =
		rollout_member(o->r, o->backup->node);
	const struct rollout_member *best = claim_pick_backup(o);

	return best && now && strcmp(now->domain, o->r->opts.domain) == 0 &&
	       strcmp(best->domain, o->r->opts.domain) != 0;
}

static bool claim_needs_change(struct owner *o)
{
	bool needs_change;

	if (!o->active)
		return true;
	needs_change = claim_backup_bad(o);
	if (!needs_change)
		needs_change = claim_backup_same_domain(o);
	if (!needs_change)
		o->change_since_ms = 0;
	return needs_change;
}

static void claim_propose(struct owner *o, const char *backup)
{
	struct rollout *r = o->r;

	memset(&o->proposed, 0, sizeof(o->proposed));
	o->proposed.epoch = o->rec.epoch + 1;
	memcpy(o->proposed.owner, r->opts.node, sizeof(o->proposed.owner));
	memcpy(o->proposed.owner_inc, r->opts.inc,
	       sizeof(o->proposed.owner_inc));
	snprintf(o->proposed.backup, sizeof(o->proposed.backup), "%s", backup);
	if (*backup)
		o->next_backup =
			copy_start_stream(o, backup, o->proposed.epoch);
	o->proposing = !*backup || o->next_backup;
}

/* Continue without a backup only after NO_BACKUP_AFTER_MS without a
 * candidate. */
static void claim_begin(struct owner *o)
{
	const struct rollout_member *m = claim_pick_backup(o);
	bool alone = o->active && !o->backup && !*o->rec.backup;

	if (o->change_since_ms == 0)
		o->change_since_ms = o->r->now_ms;
	if (m)
		claim_propose(o, m->id);
	else if (!alone && !rollout_alive(o->r, o->rec.backup) &&
		 o->r->now_ms - o->change_since_ms >= NO_BACKUP_AFTER_MS)
		claim_propose(o, "");
}

static void claim_cancel(struct owner *o)
{
	stream_free(o->next_backup);
	o->next_backup = NULL;
	o->proposing = false;
}

/* A proposal may still be cancelled before the record is written. */
static void claim_check_proposal(struct owner *o)
{
	if (!o->next_backup)
		return;
	if (stream_is_stalled(o->next_backup, o->r->now_ms, COPY_STALL_MS) ||
	    !rollout_alive(o->r, o->next_backup->node)) {
		memcpy(o->slow_node, o->next_backup->node,
		       sizeof(o->slow_node));
		o->slow_until_ms = o->r->now_ms + COPY_SLOW_NODE_MS;
		claim_cancel(o);
	}
}

static void claim_adopt(struct owner *o, uint64_t rev)
{
	bool was_active = o->active;

	stream_free(o->backup);
	o->backup = o->next_backup;
	o->next_backup = NULL;
	o->rec = o->proposed;
	o->rev = rev;
	o->proposing = false;
	o->write_sent = false;
	o->change_since_ms = 0;
	rcache_set(o->r, o->home->team, o->home->trainer, &o->rec, rev);
	if (!was_active)
		owner_activate(o);
}

static void claim_write(struct owner *o)
{
	if (o->kv_call != 0 || o->r->now_ms < o->retry_ms)
		return;
	if (o->write_sent) {
		o->kv_call = kv_read(o->r, KV_READ_OWNER, o->home->team,
				     o->home->trainer);
		return;
	}
	if (o->next_backup && !stream_is_synced(o->next_backup))
		return;
	if (o->r->opts.flaw == ROLLOUT_FLAW_NO_RECORD && o->rec.epoch > 0) {
		claim_adopt(o, o->rev);
		return;
	}
	o->kv_call = kv_write(o->r, o);
	o->write_sent = o->kv_call != 0;
}

void claim_step(struct owner *o)
{
	if (!o->write_sent) {
		bool needs_change = claim_needs_change(o);

		if (o->proposing && !needs_change)
			claim_cancel(o);
		if (o->proposing)
			claim_check_proposal(o);
		if (needs_change && !o->proposing)
			claim_begin(o);
	}
	if (o->proposing)
		claim_write(o);
}

/* Another node changed the record; it has everything that was delivered. */
static void claim_superseded(struct owner *o, const struct record *rec,
			     uint64_t rev)
{
	rcache_set(o->r, o->home->team, o->home->trainer, rec, rev);
	o->r->stats.ownerships_lost++;
	owner_drop(o);
}

static void claim_write_done(struct owner *o, const struct rollout_kv *res)
{
	if (res->err == ERR_OK)
		claim_adopt(o, res->rev);
	else if (res->err != ERR_KV_CONFLICT)
		o->retry_ms = o->r->now_ms + KV_RETRY_MS;
}

/* Handle the read that settles a write with unknown outcome. */
static void claim_read_done(struct owner *o, const struct rollout_kv *res)
{
	struct record rec;

	if (res->err == ERR_NOT_FOUND && o->rev == 0) {
		o->write_sent = false;
		return;
	}
	if (res->err != ERR_OK ||
	    record_parse(res->value, res->len, &rec) != ERR_OK) {
		o->retry_ms = o->r->now_ms + KV_RETRY_MS;
		return;
	}
	if (record_same(&rec, &o->proposed))
		claim_adopt(o, res->rev);
	else if (res->rev != o->rev)
		claim_superseded(o, &rec, res->rev);
	else
		o->kv_call = kv_write(o->r, o);
}

void claim_kv_done(struct rollout *r, const struct kv_call *call,
		   const struct rollout_kv *res)
{
	struct owner *o = owner_find(r, call->team, call->trainer);

	if (!o || o->kv_call != res->call)
		return;
	o->kv_call = 0;
	if (call->purpose == KV_PUT_OWNER)
		claim_write_done(o, res);
	else
		claim_read_done(o, res);
}
